use {
  super::{Answer, Settings},
  crate::Code,
  std::{
    collections::{HashMap, VecDeque},
    time::Instant,
  },
};

/// What an entry takes besides its answer, in bytes.
const ENTRY_SIZE: usize = 160;

/// What is known of a key's earlier requests elsewhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Past {
  /// Nothing ran: this ledger has been the key's home for the whole window, or those that were
  /// its home before have handed it over.
  Clear,
  /// An earlier home is dead, and what it knew died with it.
  Lost,
  /// An earlier home cannot be reached; it may be alive and run the key.
  Unreachable,
}

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum Event {
  /// Another process becomes the key's home and asks for what is known; from now on the key does
  /// not run here.
  Claimed(u128),
  /// The key's request has ended.
  Finished(u128, Outcome),
  /// A request arrived.
  Request {
    /// A hash of what is asked, by which another request under the same key is told.
    fingerprint: u64,
    /// Whether the caller says that it never sent this key before.
    first: bool,
    /// The key, by its hash.
    key: u128,
    /// What is known of the key elsewhere; only asked for where the key is unknown here.
    past: Past,
  },
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
  /// The upstream's whole answer.
  Answered(Answer),
  /// It was certainly not run.
  NotRun(Code),
  /// It may have been run.
  Unknown,
}

/// What a request may do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
  /// Another request came under the same key before.
  Conflict,
  /// Nothing is known of the key here.
  Nothing,
  /// The request is not run, for this reason.
  NotRun(Code),
  /// Give this answer again.
  Replay(Answer),
  /// Run it: this is the one time.
  Run,
  /// Say that the outcome is unknown.
  Unknown,
  /// It runs already: wait for the one answer.
  Wait,
}

#[derive(Clone, Debug)]
enum State {
  Done(Answer),
  Moved,
  Running,
  Unknown,
}

#[derive(Clone, Debug)]
struct Entry {
  fingerprint: u64,
  seen: Instant,
  state: State,
}

/// Remembers each key for the repeat window. When its memory is full it refuses new keys rather
/// than forget one that counts.
#[derive(Debug)]
pub struct Machine {
  entries: HashMap<u128, Entry>,
  memory: usize,
  /// Keys by the time that they were last seen, for expiry; may hold a key more than once.
  order: VecDeque<(Instant, u128)>,
  ran: u64,
  settings: Settings,
}

impl Machine {
  /// A ledger that knows no key.
  pub fn new(settings: Settings) -> Self {
    Self {
      entries: HashMap::new(),
      memory: 0,
      order: VecDeque::new(),
      ran: 0,
      settings,
    }
  }

  /// How many keys are held, and the memory that they take in bytes.
  pub fn size(&self) -> (usize, usize) {
    (self.entries.len(), self.memory)
  }

  /// How many requests were run.
  pub fn ran(&self) -> u64 {
    self.ran
  }

  /// Whether the key is held, so that no other home needs to be asked.
  pub fn knows(&mut self, now: Instant, key: u128) -> bool {
    self.expire(now);
    self.entries.contains_key(&key)
  }

  /// Changes the window, as the operator states it.
  pub fn set_window(&mut self, window: std::time::Duration) {
    self.settings.window = window;
  }

  /// Takes an event.
  pub fn step(&mut self, now: Instant, event: Event) -> Action {
    self.expire(now);
    match event {
      Event::Claimed(key) => self.claimed(now, key),
      Event::Finished(key, outcome) => {
        self.finished(now, key, outcome);
        Action::Nothing
      }
      Event::Request {
        fingerprint,
        first,
        key,
        past,
      } => self.request(now, key, fingerprint, first, past),
    }
  }

  fn claimed(&mut self, now: Instant, key: u128) -> Action {
    let Some(entry) = self.entries.get_mut(&key) else {
      // The tombstone goes in even when memory is full: a late copy must find it.
      self.insert(now, key, 0, State::Moved);
      return Action::Nothing;
    };
    entry.seen = now;
    match &entry.state {
      State::Done(answer) => Action::Replay(answer.clone()),
      State::Moved => Action::Nothing,
      State::Running | State::Unknown => Action::Unknown,
    }
  }

  fn request(
    &mut self,
    now: Instant,
    key: u128,
    fingerprint: u64,
    first: bool,
    past: Past,
  ) -> Action {
    if let Some(entry) = self.entries.get_mut(&key) {
      entry.seen = now;
      if !matches!(entry.state, State::Moved) && entry.fingerprint != fingerprint {
        return Action::Conflict;
      }
      return match &entry.state {
        State::Done(answer) => Action::Replay(answer.clone()),
        State::Moved | State::Unknown => Action::Unknown,
        State::Running => Action::Wait,
      };
    }
    match (past, first) {
      (Past::Clear, _) | (Past::Lost, true) => {}
      (Past::Lost | Past::Unreachable, false) => return Action::Unknown,
      (Past::Unreachable, true) => return Action::NotRun(Code::RequestHomeUnreachable),
    }
    if self.memory + ENTRY_SIZE > self.settings.memory_max {
      return Action::NotRun(Code::RequestLedgerFull);
    }
    self.insert(now, key, fingerprint, State::Running);
    self.ran += 1;
    Action::Run
  }

  fn finished(&mut self, now: Instant, key: u128, outcome: Outcome) {
    let Some(entry) = self.entries.get_mut(&key) else {
      debug_assert!(false, "a key was forgotten while its request ran");
      return;
    };
    debug_assert!(
      matches!(entry.state, State::Running),
      "a request ended twice"
    );
    entry.seen = now;
    match outcome {
      Outcome::Answered(answer) => self.hold(key, answer),
      Outcome::NotRun(_) => {
        self.entries.remove(&key);
        self.memory -= ENTRY_SIZE;
      }
      Outcome::Unknown => entry.state = State::Unknown,
    }
  }

  /// Keeps an answer while there is room; without it the key still never runs again.
  fn hold(&mut self, key: u128, answer: Answer) {
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
    self.memory += ENTRY_SIZE;
    self.order.push_back((now, key));
    let entry = Entry {
      fingerprint,
      seen: now,
      state,
    };
    let before = self.entries.insert(key, entry);
    debug_assert!(before.is_none(), "a key was entered twice");
  }

  /// Forgets keys whose window is over; one that still runs stays.
  fn expire(&mut self, now: Instant) {
    while let Some((at, key)) = self.order.front().copied() {
      if now.duration_since(at) < self.settings.window {
        return;
      }
      self.order.pop_front();
      let Some(entry) = self.entries.get(&key) else {
        continue;
      };
      let running = matches!(entry.state, State::Running);
      if running || now.duration_since(entry.seen) < self.settings.window {
        let again = if running { now } else { entry.seen };
        self.order.push_back((again, key));
        continue;
      }
      if let Some(Entry { state, .. }) = self.entries.remove(&key) {
        let answer = match state {
          State::Done(answer) => answer.size(),
          _ => 0,
        };
        self.memory -= ENTRY_SIZE + answer;
      }
    }
  }
}
