use {
  super::{caller::Caller, entry::Entry, tree::Tree},
  std::{
    cmp::Reverse,
    collections::{BTreeMap, btree_map},
  },
};

/// A queue of entries of several callers. The level of an entry is the number of entries that its
/// caller had queued or running when it was inserted; entries of a lower level go first.
///
/// Each call takes O(log n). Memory follows the number of entries.
#[derive(Clone, Debug)]
pub struct Queue<C, T> {
  callers: Tree<Caller<C, T>>,
  entries: Tree<Entry<C, T>>,
  /// The level of each entry; the greatest entry of a caller is its first here. `None` is used in
  /// the bounds of ranges only.
  levels: BTreeMap<(C, Option<Reverse<T>>), u32>,
}

impl<C, T> Default for Queue<C, T> {
  fn default() -> Self {
    Self {
      callers: Tree::default(),
      entries: Tree::default(),
      levels: BTreeMap::new(),
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
    self.entries.len()
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
    let key = (caller, Some(Reverse(entry)));
    let btree_map::Entry::Vacant(vacant) = self.levels.entry(key) else {
      return;
    };
    let former = self.callers.get(&caller).copied();
    let length = former.map_or(0, |former| former.length);
    let running = u32::try_from(running).unwrap_or(u32::MAX);
    let level = running.saturating_add(length);
    vacant.insert(level);
    self.entries.insert(Entry {
      caller,
      level,
      value: entry,
    });
    let changed = Caller {
      id: caller,
      last: former.map_or(entry, |former| former.last.max(entry)),
      length: length + 1,
    };
    if former.is_none() {
      self.callers.insert(changed);
    } else {
      self.callers.replace(changed);
    }
  }

  /// Removes an entry of a caller; false if it is not queued. The levels of others stay.
  pub fn remove(&mut self, caller: C, entry: &T) -> bool {
    let Some(level) = self.levels.remove(&(caller, Some(Reverse(*entry)))) else {
      return false;
    };
    self.entries.remove(&(level, *entry, caller));
    let Some(former) = self.callers.get(&caller).copied() else {
      return true;
    };
    if former.length == 1 {
      self.callers.remove(&caller);
      return true;
    }
    let last = (former.last == *entry).then(|| self.last_of(caller));
    self.callers.replace(Caller {
      id: caller,
      last: last.flatten().unwrap_or(former.last),
      length: former.length - 1,
    });
    true
  }

  /// The least entry of the lowest level.
  pub fn first(&self) -> Option<(C, T)> {
    let first = self.entries.first()?;
    Some((first.caller, first.value))
  }

  /// The greatest entry of the lowest level.
  pub fn last(&self) -> Option<(C, T)> {
    let lowest = self.entries.first()?.level;
    let last = self.entries.last_within(|entry| entry.level == lowest)?;
    Some((last.caller, last.value))
  }

  /// The least entry that is not below `entry`, of the lowest level that has one.
  pub fn first_since(&self, entry: &T) -> Option<(C, T)> {
    let first = self.entries.first_reaching(|other| other.value >= *entry)?;
    Some((first.caller, first.value))
  }

  /// The greatest entry of the caller that has the most; of several such callers, of the one whose
  /// entry is the greatest.
  pub fn longest(&self) -> Option<(C, T)> {
    let longest = self.callers.greatest()?;
    Some((longest.id, longest.last))
  }

  /// The greatest entry of a caller, found among its entries.
  fn last_of(&self, caller: C) -> Option<T> {
    let ((_, entry), _) = self.levels.range((caller, None)..).next()?;
    entry.map(|Reverse(entry)| entry)
  }
}
