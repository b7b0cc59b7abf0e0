/// An item of a tree.
pub trait Item: Copy {
  /// The unique key by which items are ordered.
  type Key: Copy + Ord;

  /// Returns the item's key.
  fn key(&self) -> Self::Key;

  /// Whether it comes after another one by what the tree finds the greatest of, which is not the key.
  fn is_greater(&self, other: &Self) -> bool;
}
