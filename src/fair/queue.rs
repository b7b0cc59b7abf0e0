use {
  super::tree::Tree,
  std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
  },
};

/// The entries of one caller.
#[derive(Clone, Copy, Debug)]
struct Caller<T> {
  last: T,
  length: u32,
}

/// A queue of entries of several callers. The level of an entry is the number of entries that its
/// caller had queued or running when it was inserted; entries of a lower level go first.
///
/// Each call takes O(log n). Memory follows the number of entries.
#[derive(Clone, Debug)]
pub struct Queue<C, T> {
  /// The levels of all entries; the greatest entry of each caller is its first here. `None` is used
  /// in the bounds of ranges only.
  by_caller: BTreeMap<(C, Option<Reverse<T>>), u32>,
  /// The number of entries and the greatest entry of each caller.
  by_length: BTreeSet<(u32, T, C)>,
  by_level: Tree<C, T>,
  /// The callers that have an entry. A hash table would keep the memory of its largest size.
  callers: BTreeMap<C, Caller<T>>,
}

impl<C, T> Default for Queue<C, T> {
  fn default() -> Self {
    Self {
      by_caller: BTreeMap::new(),
      by_length: BTreeSet::new(),
      by_level: Tree::default(),
      callers: BTreeMap::new(),
    }
  }
}

impl<C: Copy + Ord, T: Copy + Ord> Queue<C, T> {
  /// An empty queue.
  pub fn new() -> Self {
    Self::default()
  }

  /// Whether no entry is queued.
  pub fn is_empty(&self) -> bool {
    self.len() == 0
  }

  /// The number of entries.
  pub fn len(&self) -> usize {
    self.by_level.len()
  }

  /// The number of callers that have an entry.
  pub fn callers(&self) -> usize {
    self.callers.len()
  }

  /// The number of entries of a caller.
  pub fn flows_of(&self, caller: C) -> usize {
    let caller = self.callers.get(&caller);
    caller.map_or(0, |caller| caller.length as usize)
  }

  /// Adds an entry of a caller that has `running` entries elsewhere. An entry that the caller has
  /// already queued stays as it is.
  pub fn insert(&mut self, caller: C, running: usize, entry: T) {
    let Entry::Vacant(vacant) = self.by_caller.entry((caller, Some(Reverse(entry)))) else {
      return;
    };
    let former = self.callers.get(&caller).copied();
    let length = former.map_or(0, |former| former.length);
    let running = u32::try_from(running).unwrap_or(u32::MAX);
    let level = running.saturating_add(length);
    vacant.insert(level);
    self.by_level.insert((level, entry, caller));
    let last = former.map_or(entry, |former| former.last.max(entry));
    let length = length + 1;
    self.update(caller, former, Some(Caller { last, length }));
  }

  /// Removes an entry of a caller; false if it is not queued. The levels of others stay.
  pub fn remove(&mut self, caller: C, entry: &T) -> bool {
    let Some(level) = self.by_caller.remove(&(caller, Some(Reverse(*entry)))) else {
      return false;
    };
    self.by_level.remove(&(level, *entry, caller));
    let former = self.callers.get(&caller).copied();
    let rest = former
      .filter(|former| former.length > 1)
      .map(|former| Caller {
        last: if former.last == *entry {
          self.last_of(caller).unwrap_or(former.last)
        } else {
          former.last
        },
        length: former.length - 1,
      });
    self.update(caller, former, rest);
    true
  }

  /// The least entry of the lowest level.
  pub fn first(&self) -> Option<(C, T)> {
    let (_, entry, caller) = self.by_level.first()?;
    Some((caller, entry))
  }

  /// The greatest entry of the lowest level.
  pub fn last(&self) -> Option<(C, T)> {
    let (_, entry, caller) = self.by_level.last()?;
    Some((caller, entry))
  }

  /// The least entry that is not below `entry`, of the lowest level that has one.
  pub fn first_since(&self, entry: &T) -> Option<(C, T)> {
    let (_, entry, caller) = self.by_level.first_since(entry)?;
    Some((caller, entry))
  }

  /// The greatest entry of the caller that has the most; of several such callers, of the one whose
  /// entry is the greatest.
  pub fn longest(&self) -> Option<(C, T)> {
    let (_, entry, caller) = *self.by_length.last()?;
    Some((caller, entry))
  }

  /// The greatest entry of a caller, found among its entries.
  fn last_of(&self, caller: C) -> Option<T> {
    let ((_, entry), _) = self.by_caller.range((caller, None)..).next()?;
    entry.map(|Reverse(entry)| entry)
  }

  /// Replaces what is known of a caller.
  fn update(&mut self, caller: C, former: Option<Caller<T>>, new: Option<Caller<T>>) {
    if let Some(Caller { last, length }) = former {
      self.by_length.remove(&(length, last, caller));
    }
    let Some(new) = new else {
      self.callers.remove(&caller);
      return;
    };
    self.by_length.insert((new.length, new.last, caller));
    self.callers.insert(caller, new);
  }
}
