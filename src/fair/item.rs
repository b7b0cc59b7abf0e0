/// What stands in a tree.
pub trait Item: Copy {
  /// The place in the tree, different for each item.
  type Key: Copy + Ord;

  /// Its place in the tree.
  fn key(&self) -> Self::Key;

  /// Whether it comes after another one by what the tree finds the greatest of, which is not the key.
  fn is_greater(&self, other: &Self) -> bool;
}
