use super::item::Item;

/// A caller that has an entry; the greatest is that with the most entries.
#[derive(Clone, Copy, Debug)]
pub struct Caller<C, T> {
  /// The caller's identifier.
  pub id: C,
  /// Its greatest entry.
  pub last: T,
  /// How many entries it has.
  pub length: u32,
}

impl<C: Copy + Ord, T: Copy + Ord> Item for Caller<C, T> {
  type Key = C;

  fn key(&self) -> C {
    self.id
  }

  fn is_greater(&self, other: &Self) -> bool {
    if self.length != other.length {
      return self.length > other.length;
    }
    (self.last, self.id) > (other.last, other.id)
  }
}
