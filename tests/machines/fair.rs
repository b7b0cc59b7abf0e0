use {
  fallwell::{
    admission::{Action, Event, Machine, Settings, Ticket},
    fair::Queue,
  },
  proptest::prelude::*,
  std::time::{Duration, Instant},
};

/// A caller with a hundred entries must not delay the single entry of another by more than one.
#[test]
fn single_entry_waits_behind_one_entry_of_a_caller_with_many() {
  let mut queue = Queue::new();
  for entry in 0..100 {
    queue.insert('a', 0, entry);
  }
  queue.insert('b', 0, 100);
  assert_eq!(queue.first(), Some(('a', 0)));
  assert!(queue.remove('a', &0));
  assert_eq!(queue.first(), Some(('b', 100)));
}

/// Entries that run elsewhere must count, or a caller regains its first place with each start.
#[test]
fn running_entries_raise_the_level() {
  let mut queue = Queue::new();
  queue.insert('a', 2, 0);
  queue.insert('b', 1, 1);
  assert_eq!(queue.first(), Some(('b', 1)));
  assert_eq!(queue.last(), Some(('b', 1)));
}

/// Searches must pass over a level whose entries are all below the bound.
#[test]
fn search_goes_to_the_lowest_level_that_has_such_an_entry() {
  let mut queue = Queue::new();
  queue.insert('a', 0, 1);
  queue.insert('b', 7, 5);
  queue.insert('c', usize::MAX, 9);
  assert_eq!(queue.first_since(&1), Some(('a', 1)));
  assert_eq!(queue.first_since(&2), Some(('b', 5)));
  assert_eq!(queue.first_since(&6), Some(('c', 9)));
  assert_eq!(queue.first_since(&10), None);
}

/// A caller without entries must leave nothing behind, or memory grows with every caller seen.
#[test]
fn caller_without_entries_is_forgotten() {
  let mut queue = Queue::new();
  queue.insert('a', 0, 1);
  queue.insert('a', 0, 2);
  assert_eq!((queue.callers(), queue.flows_of('a')), (1, 2));
  assert!(queue.remove('a', &2) && queue.remove('a', &1));
  assert!(!queue.remove('a', &1));
  assert_eq!(
    (queue.callers(), queue.flows_of('a'), queue.len()),
    (0, 0, 0)
  );
  assert_eq!(queue.longest(), None);
}

/// The queue's rules, by scanning all entries.
#[derive(Debug, Default)]
struct Model(Vec<(usize, u16, u8)>);

impl Model {
  fn flows_of(&self, caller: u8) -> usize {
    self.0.iter().filter(|(.., other)| *other == caller).count()
  }

  fn insert(&mut self, caller: u8, running: usize, entry: u16) {
    if !self.0.iter().any(|(_, e, c)| (*e, *c) == (entry, caller)) {
      let level = running + self.flows_of(caller);
      self.0.push((level, entry, caller));
    }
  }

  fn remove(&mut self, caller: u8, entry: u16) -> bool {
    let before = self.0.len();
    self.0.retain(|(_, e, c)| (*e, *c) != (entry, caller));
    self.0.len() < before
  }

  fn first_since(&self, since: u16) -> Option<(u8, u16)> {
    let entries = self.0.iter().filter(|(_, entry, _)| *entry >= since);
    entries.min().map(|(_, entry, caller)| (*caller, *entry))
  }

  fn last(&self) -> Option<(u8, u16)> {
    let lowest = self.0.iter().map(|(level, ..)| *level).min()?;
    let entries = self.0.iter().filter(|(level, ..)| *level == lowest);
    entries.max().map(|(_, entry, caller)| (*caller, *entry))
  }

  fn longest(&self) -> Option<(u8, u16)> {
    let entries = self.0.iter().map(|(_, entry, caller)| (*caller, *entry));
    entries.max_by_key(|(caller, entry)| (self.flows_of(*caller), *entry, *caller))
  }
}

const SLOTS: usize = 2;
const QUEUE_PER_SLOT: usize = 3;

const INITIAL_RUN_TIME: Duration = Duration::from_millis(60);

/// A request: caller, deadline for starting, number.
type Request = (u64, Instant, u64);

/// The rules of an agent's slots, by scanning all requests.
#[derive(Clone, Debug)]
struct Scan {
  mean: Duration,
  queued: Vec<Request>,
  running: Vec<(Instant, Request)>,
}

impl Scan {
  fn arrive(&mut self, now: Instant, new: Request, may_wait: bool) -> Vec<(char, u64)> {
    let is_free = self.queued.is_empty() && self.running.len() < SLOTS;
    if new.1 <= now || (!is_free && (!may_wait || self.is_hopeless(now, new))) {
      return vec![('x', new.2)];
    }
    self.queued.push(new);
    if is_free {
      return Vec::new();
    }
    let excess = (self.queued.len() > SLOTS * QUEUE_PER_SLOT).then(|| self.remove_newest());
    let waits = (excess != Some(new.2)).then_some(('w', new.2));
    let actions = waits.into_iter().chain(excess.map(|ticket| ('x', ticket)));
    actions.collect()
  }

  /// Plays the queue with half of the mean running time, one end after another.
  fn is_hopeless(&self, now: Instant, new: Request) -> bool {
    let half = self.mean / 2;
    let mut scan = self.clone();
    scan.queued.push(new);
    if scan.queued.len() > SLOTS * QUEUE_PER_SLOT && scan.remove_newest() == new.2 {
      return false;
    }
    let end = |running: &(Instant, Request)| ((running.0 + half).max(now), running.1.2);
    while let Some((time, ticket)) = scan.running.iter().map(end).min() {
      scan.running.retain(|running| running.1.2 != ticket);
      scan.expire_and_start(time);
      if scan.running.iter().any(|running| running.1.2 == new.2) {
        return false;
      }
    }
    true
  }

  fn remove_newest(&mut self) -> u64 {
    let count = |caller| {
      self
        .queued
        .iter()
        .filter(|queued| queued.0 == caller)
        .count()
    };
    let newest = self
      .queued
      .iter()
      .max_by_key(|queued| (count(queued.0), queued.2));
    let newest = newest.expect("a full queue").2;
    self.queued.retain(|queued| queued.2 != newest);
    newest
  }

  fn end(&mut self, now: Instant, ticket: u64) {
    self.queued.retain(|request| request.2 != ticket);
    let ended = self.running.extract_if(.., |running| running.1.2 == ticket);
    for (since, _) in ended {
      self.mean = self.mean.mul_f64(0.9) + now.duration_since(since).mul_f64(0.1);
    }
  }

  fn expire_and_start(&mut self, now: Instant) -> Vec<(char, u64)> {
    let expired = self.queued.extract_if(.., |request| request.1 <= now);
    let mut actions = expired.map(|request| ('x', request.2)).collect::<Vec<_>>();
    while self.running.len() < SLOTS && !self.queued.is_empty() {
      let of = |caller| {
        self
          .running
          .iter()
          .filter(move |running| running.1.0 == caller)
      };
      let next = self
        .queued
        .iter()
        .min_by_key(|queued| (of(queued.0).count(), queued.1, queued.2));
      let next = *next.expect("a queue with requests");
      self.queued.retain(|queued| queued.2 != next.2);
      self.running.push((now, next));
      actions.push(('s', next.2));
    }
    actions
  }
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

  /// Each answer is the one that a scan of all entries finds, also where callers share an entry.
  #[test]
  fn queue_answers_as_a_scan_does(
    steps in prop::collection::vec((0..3_u8, 0..6_u8, 0..4_usize, 0..40_u16), 1..300),
  ) {
    let mut queue = Queue::new();
    let mut model = Model::default();
    for (kind, caller, running, entry) in steps {
      match (kind, model.longest()) {
        (0, Some((caller, entry))) => {
          prop_assert!(queue.remove(caller, &entry));
          model.remove(caller, entry);
        }
        (1, _) => prop_assert_eq!(queue.remove(caller, &entry), model.remove(caller, entry)),
        _ => {
          queue.insert(caller, running, entry);
          model.insert(caller, running, entry);
        }
      }
      prop_assert_eq!(queue.first(), model.first_since(0));
      prop_assert_eq!(queue.last(), model.last());
      prop_assert_eq!(queue.first_since(&entry), model.first_since(entry));
      prop_assert_eq!(queue.longest(), model.longest());
      prop_assert_eq!(queue.len(), model.0.len());
      prop_assert_eq!(queue.is_empty(), model.0.is_empty());
      prop_assert_eq!(queue.flows_of(caller), model.flows_of(caller));
      let callers = (0..6).filter(|caller| model.flows_of(*caller) > 0);
      prop_assert_eq!(queue.callers(), callers.count());
    }
  }

  /// The agent's slots decide as a scan of all requests does: by the present number of running
  /// requests, not by the number when a request came. What cannot start in time never waits, and
  /// nothing else is rejected while the queue has room.
  #[test]
  fn slots_decide_as_a_scan_does(
    steps in prop::collection::vec((0..6_u8, 0..4_u64, 0..300_u64), 1..300),
  ) {
    let mut machine = Machine::new(Settings {
      initial_run_time: INITIAL_RUN_TIME,
      queue_per_slot: QUEUE_PER_SLOT,
      slots: SLOTS,
      ..Settings::default()
    });
    let mut scan = Scan { mean: INITIAL_RUN_TIME, queued: Vec::new(), running: Vec::new() };
    let (mut now, mut last) = (Instant::now(), 0);
    for (kind, caller, time) in steps {
      let running = scan.running.iter().map(|running| &running.1);
      let known = running.chain(&scan.queued).map(|request| request.2).collect::<Vec<_>>();
      let (event, mut expected) = match (kind, &known[..]) {
        (0, _) | (1 | 2, []) => {
          now += Duration::from_millis(time / 4);
          (Event::Tick, Vec::new())
        }
        (1 | 2, known) => {
          let ticket = known[time as usize % known.len()];
          scan.end(now, ticket);
          (Event::Ended(Ticket(ticket)), Vec::new())
        }
        _ => {
          last += 1;
          let (start_by, may_wait) = (now + Duration::from_millis(time), kind != 3);
          let expected = scan.arrive(now, (caller, start_by, last), may_wait);
          (Event::Arrived { caller, start_by, ticket: Ticket(last), may_wait }, expected)
        }
      };
      expected.extend(scan.expire_and_start(now));
      let actions = machine.step(now, event).into_iter().map(|action| match action {
        Action::Shed(Ticket(ticket), _) => ('x', ticket),
        Action::Start(Ticket(ticket)) => ('s', ticket),
        Action::Wait(Ticket(ticket)) => ('w', ticket),
      });
      prop_assert_eq!(actions.collect::<Vec<_>>(), expected);
      prop_assert_eq!(machine.size(), (scan.running.len(), scan.queued.len()));
    }
  }
}
