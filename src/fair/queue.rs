use std::{
  cmp::Reverse,
  collections::{BTreeMap, BTreeSet, HashMap},
  hash::Hash,
};

/// A queue of entries of several callers. The level of an entry is the number of entries that its
/// caller had queued or running when it was inserted; entries of a lower level go first.
#[derive(Clone, Debug)]
pub struct Queue<C, T> {
  /// The levels of all entries; the greatest entry of each caller is its first here.
  by_caller: BTreeMap<(C, Option<Reverse<T>>), usize>,
  /// The number of entries and the greatest entry of each caller.
  by_length: BTreeSet<(usize, T, C)>,
  /// All entries in their order. `None` is used in the bounds of ranges only.
  by_level: BTreeSet<(usize, Option<T>, Option<C>)>,
  lengths: HashMap<C, usize>,
}

impl<C, T> Default for Queue<C, T> {
  fn default() -> Self {
    Self {
      by_caller: BTreeMap::new(),
      by_length: BTreeSet::new(),
      by_level: BTreeSet::new(),
      lengths: HashMap::new(),
    }
  }
}

impl<C: Copy + Hash + Ord, T: Copy + Ord> Queue<C, T> {
  /// An empty queue.
  pub fn new() -> Self {
    Self::default()
  }

  /// Whether no entry is queued.
  pub fn is_empty(&self) -> bool {
    self.by_level.is_empty()
  }

  /// The number of entries.
  pub fn len(&self) -> usize {
    self.by_level.len()
  }

  /// The number of callers that have an entry.
  pub fn callers(&self) -> usize {
    self.lengths.len()
  }

  /// The number of entries of a caller.
  pub fn flows_of(&self, caller: C) -> usize {
    self.lengths.get(&caller).copied().unwrap_or(0)
  }

  /// Adds an entry of a caller that has `running` entries elsewhere. An entry that the caller has
  /// already queued stays as it is.
  pub fn insert(&mut self, caller: C, running: usize, entry: T) {
    let key = (caller, Some(Reverse(entry)));
    if self.by_caller.contains_key(&key) {
      return;
    }
    let length = self.flows_of(caller);
    let level = running.saturating_add(length);
    self.remove_length(caller);
    self.by_caller.insert(key, level);
    self.by_level.insert((level, Some(entry), Some(caller)));
    self.add_length(caller, length + 1);
  }

  /// Removes an entry of a caller; false if it is not queued. The levels of others stay.
  pub fn remove(&mut self, caller: C, entry: &T) -> bool {
    let key = (caller, Some(Reverse(*entry)));
    let Some(level) = self.by_caller.get(&key).copied() else {
      return false;
    };
    let length = self.flows_of(caller);
    self.remove_length(caller);
    self.by_caller.remove(&key);
    self.by_level.remove(&(level, Some(*entry), Some(caller)));
    self.add_length(caller, length - 1);
    true
  }

  /// The least entry of the lowest level.
  pub fn first(&self) -> Option<(C, T)> {
    let (_, entry, caller) = *self.by_level.first()?;
    caller.zip(entry)
  }

  /// The greatest entry of the lowest level.
  pub fn last(&self) -> Option<(C, T)> {
    let (level, ..) = *self.by_level.first()?;
    let (_, entry, caller) = *self.range_of(level, None).next_back()?;
    caller.zip(entry)
  }

  /// The least entry that is not below `entry`, of the lowest level that has one.
  pub fn first_since(&self, entry: &T) -> Option<(C, T)> {
    let mut next = self.by_level.first();
    while let Some((level, ..)) = next {
      if let Some((_, entry, caller)) = self.range_of(*level, Some(*entry)).next() {
        return caller.zip(*entry);
      }
      next = self
        .by_level
        .range((level.checked_add(1)?, None, None)..)
        .next();
    }
    None
  }

  /// The greatest entry of the caller that has the most; of several such callers, of the one whose
  /// entry is the greatest.
  pub fn longest(&self) -> Option<(C, T)> {
    let (_, entry, caller) = *self.by_length.last()?;
    Some((caller, entry))
  }

  /// The greatest entry of a caller.
  pub fn last_of(&self, caller: C) -> Option<T> {
    let ((found, entry), _) = self.by_caller.range((caller, None)..).next()?;
    if *found != caller {
      return None;
    }
    entry.map(|Reverse(entry)| entry)
  }

  /// The entries of one level, from `since` on.
  fn range_of(
    &self,
    level: usize,
    since: Option<T>,
  ) -> impl DoubleEndedIterator<Item = &(usize, Option<T>, Option<C>)> {
    let start = (level, since, None);
    match level.checked_add(1) {
      Some(next) => self.by_level.range(start..(next, None, None)),
      None => self.by_level.range(start..),
    }
  }

  fn add_length(&mut self, caller: C, length: usize) {
    let Some(last) = self.last_of(caller) else {
      return;
    };
    self.by_length.insert((length, last, caller));
    self.lengths.insert(caller, length);
  }

  fn remove_length(&mut self, caller: C) {
    let Some(length) = self.lengths.remove(&caller) else {
      return;
    };
    if let Some(last) = self.last_of(caller) {
      self.by_length.remove(&(length, last, caller));
    }
  }
}
