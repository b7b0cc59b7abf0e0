use super::item::Item;

/// A queued entry; the greatest is that with the greatest value, whatever its level.
#[derive(Clone, Copy, Debug)]
pub struct Entry<C, T> {
  /// The caller that queued the entry.
  pub caller: C,
  /// What its caller had queued or running when it was inserted.
  pub level: u32,
  /// The value passed to `Queue::insert`.
  pub value: T,
}

impl<C: Copy + Ord, T: Copy + Ord> Item for Entry<C, T> {
  type Key = (u32, T, C);

  fn key(&self) -> Self::Key {
    (self.level, self.value, self.caller)
  }

  fn is_greater(&self, other: &Self) -> bool {
    self.value > other.value
  }
}
