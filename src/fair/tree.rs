use std::cmp::Ordering;

/// The index of no node.
const NONE: u32 = u32::MAX;

/// Any state but 0 works for the generator of priorities.
const SEED: u32 = 0x9e37_79b9;

/// The level, the entry and its caller, in the order of the tree.
type Key<C, T> = (u32, T, C);

#[derive(Clone, Copy, Debug)]
struct Node<C, T> {
  /// The node with the greatest entry of this subtree, whatever its level.
  greatest: u32,
  key: Key<C, T>,
  left: u32,
  priority: u32,
  right: u32,
}

/// A treap of entries, ordered by level. Each node knows the greatest entry below it, so that the
/// lowest level with an entry beyond a bound is found without a visit to the others.
#[derive(Clone, Debug)]
pub struct Tree<C, T> {
  /// The nodes without gaps, so that memory follows the number of entries.
  nodes: Vec<Node<C, T>>,
  root: u32,
  seed: u32,
}

impl<C, T> Default for Tree<C, T> {
  fn default() -> Self {
    Self {
      nodes: Vec::new(),
      root: NONE,
      seed: SEED,
    }
  }
}

impl<C: Copy + Ord, T: Copy + Ord> Tree<C, T> {
  /// The number of entries.
  pub fn len(&self) -> usize {
    self.nodes.len()
  }

  /// The least entry of the lowest level.
  pub fn first(&self) -> Option<Key<C, T>> {
    let mut node = self.node(self.root)?;
    while let Some(left) = self.node(node.left) {
      node = left;
    }
    Some(node.key)
  }

  /// The greatest entry of the lowest level.
  pub fn last(&self) -> Option<Key<C, T>> {
    let mut last = self.first()?;
    let lowest = last.0;
    let mut index = self.root;
    while let Some(node) = self.node(index) {
      let is_lowest = node.key.0 == lowest;
      index = if is_lowest { node.right } else { node.left };
      if is_lowest {
        last = node.key;
      }
    }
    Some(last)
  }

  /// The least entry that is not below `entry`, of the lowest level that has one.
  pub fn first_since(&self, entry: &T) -> Option<Key<C, T>> {
    let mut index = self.root;
    if !self.reaches(index, entry) {
      return None;
    }
    loop {
      let node = self.node(index)?;
      if self.reaches(node.left, entry) {
        index = node.left;
      } else if node.key.1 >= *entry {
        return Some(node.key);
      } else {
        index = node.right;
      }
    }
  }

  /// Adds an entry that is not in the tree.
  pub fn insert(&mut self, key: Key<C, T>) {
    if self.nodes.len() == self.nodes.capacity() {
      // Doubling would leave up to half of the memory unused.
      self.nodes.reserve_exact(self.nodes.len() / 4 + 4);
    }
    let index = self.nodes.len() as u32;
    let priority = self.next_priority();
    self.nodes.push(Node {
      greatest: index,
      key,
      left: NONE,
      priority,
      right: NONE,
    });
    self.root = self.insert_below(self.root, index);
  }

  /// Removes an entry that is in the tree.
  pub fn remove(&mut self, key: &Key<C, T>) {
    let (root, removed) = self.remove_below(self.root, key);
    self.root = root;
    let moved = self.nodes.len() as u32 - 1;
    if moved != removed {
      self.relink(moved, removed);
    }
    self.nodes.swap_remove(removed as usize);
    if self.nodes.len() < self.nodes.capacity() / 2 {
      self.nodes.shrink_to(self.nodes.len() / 4 * 5);
    }
  }

  fn node(&self, index: u32) -> Option<&Node<C, T>> {
    self.nodes.get(index as usize)
  }

  /// Whether a subtree has an entry that is not below `entry`.
  fn reaches(&self, index: u32, entry: &T) -> bool {
    let node = self.node(index);
    node.is_some_and(|node| self.nodes[node.greatest as usize].key.1 >= *entry)
  }

  /// A generator (xorshift) rather than a random number: a replayed run takes the same steps.
  fn next_priority(&mut self) -> u32 {
    self.seed ^= self.seed << 13;
    self.seed ^= self.seed >> 17;
    self.seed ^= self.seed << 5;
    self.seed
  }

  /// Adds a node to a subtree; the subtree's new root.
  fn insert_below(&mut self, root: u32, new: u32) -> u32 {
    let added = self.nodes[new as usize];
    let Some(node) = self.node(root).copied() else {
      return new;
    };
    if added.priority > node.priority {
      let (left, right) = self.split(root, &added.key);
      return self.link(new, left, right);
    }
    if added.key < node.key {
      self.nodes[root as usize].left = self.insert_below(node.left, new);
    } else {
      self.nodes[root as usize].right = self.insert_below(node.right, new);
    }
    if added.key.1 > self.nodes[node.greatest as usize].key.1 {
      self.nodes[root as usize].greatest = new;
    }
    root
  }

  /// Takes an entry out of a subtree; the subtree's new root, and the node that was taken out.
  fn remove_below(&mut self, root: u32, key: &Key<C, T>) -> (u32, u32) {
    let node = &mut self.nodes[root as usize];
    let (left, right) = (node.left, node.right);
    let removed = match key.cmp(&node.key) {
      Ordering::Equal => return (self.merge(left, right), root),
      Ordering::Greater => {
        let (right, removed) = self.remove_below(right, key);
        self.nodes[root as usize].right = right;
        removed
      }
      Ordering::Less => {
        let (left, removed) = self.remove_below(left, key);
        self.nodes[root as usize].left = left;
        removed
      }
    };
    let node = &self.nodes[root as usize];
    if node.greatest == removed {
      self.link(root, node.left, node.right);
    }
    (root, removed)
  }

  /// Splits a subtree into what is below a key and the rest.
  fn split(&mut self, root: u32, key: &Key<C, T>) -> (u32, u32) {
    let Some(node) = self.node(root).copied() else {
      return (NONE, NONE);
    };
    if node.key < *key {
      let (left, right) = self.split(node.right, key);
      return (self.link(root, node.left, left), right);
    }
    let (left, right) = self.split(node.left, key);
    (left, self.link(root, right, node.right))
  }

  /// Joins two subtrees; all entries of the first are below those of the second.
  fn merge(&mut self, left: u32, right: u32) -> u32 {
    let (Some(first), Some(second)) = (self.node(left).copied(), self.node(right).copied()) else {
      return left.min(right);
    };
    if first.priority > second.priority {
      let joined = self.merge(first.right, right);
      return self.link(left, first.left, joined);
    }
    let joined = self.merge(left, second.left);
    self.link(right, joined, second.right)
  }

  /// Sets the children of a node; the node itself.
  fn link(&mut self, index: u32, left: u32, right: u32) -> u32 {
    let mut greatest = index;
    for child in [left, right] {
      let Some(node) = self.node(child) else {
        continue;
      };
      if self.nodes[node.greatest as usize].key.1 > self.nodes[greatest as usize].key.1 {
        greatest = node.greatest;
      }
    }
    let node = &mut self.nodes[index as usize];
    node.greatest = greatest;
    node.left = left;
    node.right = right;
    index
  }

  /// Makes all nodes that refer to the node `from` refer to `to`.
  fn relink(&mut self, from: u32, to: u32) {
    let key = self.nodes[from as usize].key;
    if self.root == from {
      self.root = to;
    }
    let mut index = if self.root == to { from } else { self.root };
    while let Some(node) = self.nodes.get_mut(index as usize) {
      if node.greatest == from {
        node.greatest = to;
      }
      let next = match key.cmp(&node.key) {
        Ordering::Equal => return,
        Ordering::Greater => &mut node.right,
        Ordering::Less => &mut node.left,
      };
      index = *next;
      if *next == from {
        *next = to;
      }
    }
  }
}
