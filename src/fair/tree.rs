use {super::item::Item, std::cmp::Ordering};

/// Marks an absent child, or the root of an empty tree.
const NONE: u32 = u32::MAX;

/// Any state but 0 works for the generator of priorities.
const SEED: u32 = 0x9e37_79b9;

#[derive(Clone, Copy, Debug)]
struct Node<I> {
  /// The node with the greatest item of this subtree.
  greatest: u32,
  item: I,
  left: u32,
  priority: u32,
  right: u32,
}

/// A treap of items in the order of their keys. Each node knows the greatest item below it, so that
/// the first one beyond a bound is found without a visit to the others.
#[derive(Clone, Debug)]
pub struct Tree<I> {
  /// The nodes without gaps, so that memory follows the number of items.
  nodes: Vec<Node<I>>,
  root: u32,
  seed: u32,
}

impl<I> Default for Tree<I> {
  fn default() -> Self {
    Self {
      nodes: Vec::new(),
      root: NONE,
      seed: SEED,
    }
  }
}

impl<I: Item> Tree<I> {
  /// The number of items.
  pub fn len(&self) -> usize {
    self.nodes.len()
  }

  /// The item with a key.
  pub fn get(&self, key: &I::Key) -> Option<&I> {
    let mut index = self.root;
    loop {
      let node = self.node(index)?;
      index = match key.cmp(&node.item.key()) {
        Ordering::Equal => return Some(&node.item),
        Ordering::Greater => node.right,
        Ordering::Less => node.left,
      };
    }
  }

  /// The item with the least key.
  pub fn first(&self) -> Option<&I> {
    let mut node = self.node(self.root)?;
    while let Some(left) = self.node(node.left) {
      node = left;
    }
    Some(&node.item)
  }

  /// The last of the items for which `is_within` holds; it holds for none after one that it does
  /// not hold for.
  pub fn last_within(&self, is_within: impl Fn(&I) -> bool) -> Option<&I> {
    let mut last = None;
    let mut index = self.root;
    while let Some(node) = self.node(index) {
      if is_within(&node.item) {
        last = Some(&node.item);
        index = node.right;
      } else {
        index = node.left;
      }
    }
    last
  }

  /// The first of the items for which `reaches` holds; it holds for all that are greater than one
  /// that it holds for.
  pub fn first_reaching(&self, reaches: impl Fn(&I) -> bool) -> Option<&I> {
    let has_one = |index: u32| {
      let node = self.node(index);
      node.is_some_and(|node| reaches(&self.nodes[node.greatest as usize].item))
    };
    let mut index = self.root;
    if !has_one(index) {
      return None;
    }
    loop {
      let node = self.node(index)?;
      if has_one(node.left) {
        index = node.left;
      } else if reaches(&node.item) {
        return Some(&node.item);
      } else {
        index = node.right;
      }
    }
  }

  /// The greatest item.
  pub fn greatest(&self) -> Option<&I> {
    let root = self.node(self.root)?;
    Some(&self.nodes[root.greatest as usize].item)
  }

  /// Replaces the item with the same key; false if there is none.
  pub fn replace(&mut self, item: I) -> bool {
    self.replace_below(self.root, item).is_some()
  }

  /// Adds an item whose key is not in the tree.
  pub fn insert(&mut self, item: I) {
    if self.nodes.len() == self.nodes.capacity() {
      // Doubling would leave up to half of the memory unused.
      self.nodes.reserve_exact(self.nodes.len() / 4 + 4);
    }
    let index = self.nodes.len() as u32;
    let priority = self.next_priority();
    self.nodes.push(Node {
      greatest: index,
      item,
      left: NONE,
      priority,
      right: NONE,
    });
    self.root = self.insert_below(self.root, index);
  }

  /// Removes an item that is in the tree.
  pub fn remove(&mut self, key: &I::Key) {
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

  fn node(&self, index: u32) -> Option<&Node<I>> {
    self.nodes.get(index as usize)
  }

  fn is_greater(&self, index: u32, other: u32) -> bool {
    let other = &self.nodes[other as usize].item;
    self.nodes[index as usize].item.is_greater(other)
  }

  /// A generator (xorshift) rather than a random number: a replayed run takes the same steps.
  fn next_priority(&mut self) -> u32 {
    self.seed ^= self.seed << 13;
    self.seed ^= self.seed >> 17;
    self.seed ^= self.seed << 5;
    self.seed
  }

  /// Replaces the item of a subtree that has the same key; its node, or none.
  fn replace_below(&mut self, root: u32, item: I) -> Option<u32> {
    let node = self.nodes.get_mut(root as usize)?;
    let (left, right) = (node.left, node.right);
    let changed = match item.key().cmp(&node.item.key()) {
      Ordering::Equal => {
        node.item = item;
        root
      }
      Ordering::Greater => self.replace_below(right, item)?,
      Ordering::Less => self.replace_below(left, item)?,
    };
    let greatest = self.nodes[root as usize].greatest;
    if greatest == changed {
      self.link(root, left, right);
    } else if self.is_greater(changed, greatest) {
      self.nodes[root as usize].greatest = changed;
    }
    Some(changed)
  }

  /// Adds a node to a subtree; the subtree's new root.
  fn insert_below(&mut self, root: u32, new: u32) -> u32 {
    let Some(node) = self.node(root) else {
      return new;
    };
    let added = &self.nodes[new as usize];
    let (left, right, greatest) = (node.left, node.right, node.greatest);
    if added.priority > node.priority {
      let key = added.item.key();
      let (left, right) = self.split(root, &key);
      return self.link(new, left, right);
    }
    if added.item.key() < node.item.key() {
      self.nodes[root as usize].left = self.insert_below(left, new);
    } else {
      self.nodes[root as usize].right = self.insert_below(right, new);
    }
    if self.is_greater(new, greatest) {
      self.nodes[root as usize].greatest = new;
    }
    root
  }

  /// Takes an item out of a subtree; the subtree's new root, and the node that was taken out.
  fn remove_below(&mut self, root: u32, key: &I::Key) -> (u32, u32) {
    let node = &self.nodes[root as usize];
    let (left, right, greatest) = (node.left, node.right, node.greatest);
    let removed = match key.cmp(&node.item.key()) {
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
    if greatest == removed {
      let node = &self.nodes[root as usize];
      self.link(root, node.left, node.right);
    }
    (root, removed)
  }

  /// Splits a subtree into what is below a key and the rest.
  fn split(&mut self, root: u32, key: &I::Key) -> (u32, u32) {
    let Some(node) = self.node(root) else {
      return (NONE, NONE);
    };
    let (left, right) = (node.left, node.right);
    if node.item.key() < *key {
      let (middle, rest) = self.split(right, key);
      return (self.link(root, left, middle), rest);
    }
    let (below, middle) = self.split(left, key);
    (below, self.link(root, middle, right))
  }

  /// Joins two subtrees; all items of the first are below those of the second.
  fn merge(&mut self, left: u32, right: u32) -> u32 {
    let (Some(first), Some(second)) = (self.node(left), self.node(right)) else {
      return left.min(right);
    };
    if first.priority > second.priority {
      let (outer, inner) = (first.left, first.right);
      let joined = self.merge(inner, right);
      return self.link(left, outer, joined);
    }
    let (inner, outer) = (second.left, second.right);
    let joined = self.merge(left, inner);
    self.link(right, joined, outer)
  }

  /// Sets the children of a node; the node itself.
  fn link(&mut self, index: u32, left: u32, right: u32) -> u32 {
    let mut greatest = index;
    for child in [left, right] {
      if let Some(node) = self.node(child)
        && self.is_greater(node.greatest, greatest)
      {
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
    let key = self.nodes[from as usize].item.key();
    let mut index = self.root;
    if self.root == from {
      self.root = to;
    }
    while let Some(node) = self.nodes.get_mut(index as usize) {
      if node.greatest == from {
        node.greatest = to;
      }
      let next = match key.cmp(&node.item.key()) {
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
