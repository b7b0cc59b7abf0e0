use {fallwell::fair::Queue, proptest::prelude::*};

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
}
