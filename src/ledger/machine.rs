use {
  super::{Answer, Settings},
  crate::Code,
  std::{
    collections::{HashMap, VecDeque},
    time::Instant,
  },
};

/// The memory that is counted for an entry besides its answer, in bytes.
const ENTRY_BYTES: usize = 160;

/// What is known about earlier requests with a key at its previous homes: the targets that
/// were responsible for the key within the repeat window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EarlierRuns {
  /// The key was not run elsewhere: there is no previous home, or each has given the key up without
  /// having run it.
  Clear,
  /// A previous home is dead or has restarted, so whether it ran the key is unknown.
  Lost,
  /// A previous home cannot be reached; it may be alive and still run the key.
  Unreachable,
}

/// An input of the machine.
#[derive(Clone, Debug)]
pub enum Event {
  /// Another process takes over as the key's home. If no request with the key has run here, none
  /// does within the repeat window.
  Claimed(u128),
  /// The key's request has ended.
  Finished(u128, Outcome),
  /// A request arrived.
  Request {
    /// A hash of the request's content, which tells different requests with the same key apart.
    fingerprint: u64,
    /// Whether the caller states that it never sent this key before.
    first: bool,
    /// A hash of the idempotency key.
    key: u128,
    /// What is known about the key at its previous homes; used only if the key is unknown here.
    earlier_runs: EarlierRuns,
  },
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
  /// The upstream returned this complete answer.
  Answered(Answer),
  /// It was certainly not run.
  NotRun(Code),
  /// It may have been run.
  Unknown,
}

/// What becomes of a request or a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
  /// It is rejected: its key was used before by a request with another fingerprint.
  Conflict,
  /// Nothing to do; for a claim: the key was not run here.
  Nothing,
  /// It is rejected without having been run, with this result code.
  NotRun(Code),
  /// It gets the cached answer of the same key.
  Replay(Answer),
  /// It runs. Returned again for the same key only after the request was certainly not run, or
  /// after the repeat window.
  Run,
  /// It isn't run, and its caller learns that the outcome is unknown; for a claim: the key may have
  /// been run here.
  Unknown,
  /// A request with the same key runs already; both get its answer.
  Wait,
}

#[derive(Clone, Debug)]
enum State {
  Done(Answer),
  /// Another process claimed the key, and no request with it was known here.
  Moved,
  Running,
  Unknown,
}

#[derive(Clone, Debug)]
struct Entry {
  fingerprint: u64,
  last_use: Instant,
  state: State,
}

/// Remembers each key for the repeat window. When the memory is full, requests with new keys are
/// refused; no key is evicted before its window is over.
#[derive(Debug)]
pub struct Machine {
  entries: HashMap<u128, Entry>,
  memory: usize,
  /// Keys to check for expiry, each when the repeat window has passed since its time; may contain a
  /// key more than once.
  expiry_queue: VecDeque<(Instant, u128)>,
  run_count: u64,
  settings: Settings,
}

impl Machine {
  /// An empty ledger.
  pub fn new(settings: Settings) -> Self {
    Self {
      entries: HashMap::new(),
      memory: 0,
      expiry_queue: VecDeque::new(),
      run_count: 0,
      settings,
    }
  }

  /// The number of keys, and the memory in bytes that they take with their cached answers.
  pub fn size(&self) -> (usize, usize) {
    (self.entries.len(), self.memory)
  }

  /// How many requests were allowed to run since the start.
  pub fn run_count(&self) -> u64 {
    self.run_count
  }

  /// Whether the key is remembered, so that its previous homes need not be queried. Expires old
  /// keys first.
  pub fn knows(&mut self, now: Instant, key: u128) -> bool {
    self.expire(now);
    self.entries.contains_key(&key)
  }

  /// Changes the repeat window; it applies to the keys that are remembered already, too.
  pub fn set_window(&mut self, window: std::time::Duration) {
    self.settings.window = window;
  }

  /// Expires old keys and processes an event.
  pub fn step(&mut self, now: Instant, event: Event) -> Action {
    self.expire(now);
    match event {
      Event::Claimed(key) => self.give_up(now, key),
      Event::Finished(key, outcome) => {
        self.finish(now, key, outcome);
        Action::Nothing
      }
      Event::Request {
        fingerprint,
        first,
        key,
        earlier_runs,
      } => self.admit(now, key, fingerprint, first, earlier_runs),
    }
  }

  fn give_up(&mut self, now: Instant, key: u128) -> Action {
    let Some(entry) = self.entries.get_mut(&key) else {
      // The limit on memory doesn't apply: a delayed duplicate of the request must not run here.
      self.insert(now, key, 0, State::Moved);
      return Action::Nothing;
    };
    entry.last_use = now;
    match &entry.state {
      State::Done(answer) => Action::Replay(answer.clone()),
      State::Moved => Action::Nothing,
      State::Running | State::Unknown => Action::Unknown,
    }
  }

  fn admit(
    &mut self,
    now: Instant,
    key: u128,
    fingerprint: u64,
    first: bool,
    earlier_runs: EarlierRuns,
  ) -> Action {
    if let Some(entry) = self.entries.get_mut(&key) {
      entry.last_use = now;
      if !matches!(entry.state, State::Moved) && entry.fingerprint != fingerprint {
        return Action::Conflict;
      }
      return match &entry.state {
        State::Done(answer) => Action::Replay(answer.clone()),
        State::Moved | State::Unknown => Action::Unknown,
        State::Running => Action::Wait,
      };
    }
    match (earlier_runs, first) {
      (EarlierRuns::Clear, _) | (EarlierRuns::Lost, true) => {}
      (EarlierRuns::Lost | EarlierRuns::Unreachable, false) => return Action::Unknown,
      (EarlierRuns::Unreachable, true) => return Action::NotRun(Code::RequestHomeUnreachable),
    }
    if self.memory + ENTRY_BYTES > self.settings.memory_max {
      return Action::NotRun(Code::RequestLedgerFull);
    }
    self.insert(now, key, fingerprint, State::Running);
    self.run_count += 1;
    Action::Run
  }

  fn finish(&mut self, now: Instant, key: u128, outcome: Outcome) {
    let Some(entry) = self.entries.get_mut(&key) else {
      debug_assert!(false, "a key was forgotten while its request ran");
      return;
    };
    debug_assert!(
      matches!(entry.state, State::Running),
      "a request ended twice"
    );
    entry.last_use = now;
    match outcome {
      Outcome::Answered(answer) => self.cache(key, answer),
      Outcome::NotRun(_) => {
        self.entries.remove(&key);
        self.memory -= ENTRY_BYTES;
      }
      Outcome::Unknown => entry.state = State::Unknown,
    }
  }

  /// Caches an answer if it fits. Otherwise the key's outcome counts as unknown, and the key still
  /// doesn't run again.
  fn cache(&mut self, key: u128, answer: Answer) {
    let size = answer.size();
    let fits = size <= self.settings.answer_max && self.memory + size <= self.settings.memory_max;
    if let Some(entry) = self.entries.get_mut(&key) {
      if fits {
        self.memory += size;
        entry.state = State::Done(answer);
      } else {
        entry.state = State::Unknown;
      }
    }
  }

  fn insert(&mut self, now: Instant, key: u128, fingerprint: u64, state: State) {
    self.memory += ENTRY_BYTES;
    self.expiry_queue.push_back((now, key));
    let entry = Entry {
      fingerprint,
      last_use: now,
      state,
    };
    let previous = self.entries.insert(key, entry);
    debug_assert!(previous.is_none(), "a key was inserted twice");
  }

  /// Removes keys whose window is over, except those whose request still runs.
  fn expire(&mut self, now: Instant) {
    while let Some((at, key)) = self.expiry_queue.front().copied() {
      if now.duration_since(at) < self.settings.window {
        return;
      }
      self.expiry_queue.pop_front();
      let Some(entry) = self.entries.get(&key) else {
        continue;
      };
      let running = matches!(entry.state, State::Running);
      if running || now.duration_since(entry.last_use) < self.settings.window {
        let last_use = if running { now } else { entry.last_use };
        self.expiry_queue.push_back((last_use, key));
        continue;
      }
      if let Some(Entry { state, .. }) = self.entries.remove(&key) {
        let answer_bytes = match state {
          State::Done(answer) => answer.size(),
          _ => 0,
        };
        self.memory -= ENTRY_BYTES + answer_bytes;
      }
    }
  }
}
