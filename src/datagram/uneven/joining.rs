use std::collections::BTreeMap;

/// A target without measurements gets at most so many times its proportional share: enough that it
/// is measured soon, while its speed is not known.
const SHARE_MAX: f64 = 2.0;

/// The targets of a service that have just joined, until they are measured.
#[derive(Clone, Debug)]
pub struct Joining<K> {
  /// The targets that have joined, each with the flows placed on it since.
  joined: BTreeMap<K, Joined>,
  /// How many flows were placed on the service's targets.
  placed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Joined {
  /// The flows that were placed on the service's targets before it joined.
  before: u64,
  placed: u64,
}

impl<K> Default for Joining<K> {
  fn default() -> Self {
    Self {
      joined: BTreeMap::new(),
      placed: 0,
    }
  }
}

impl<K: Copy + Ord> Joining<K> {
  /// Adds a target that has joined the service.
  pub fn join(&mut self, target: K) {
    let joined = Joined {
      before: self.placed,
      placed: 0,
    };
    self.joined.entry(target).or_insert(joined);
  }

  /// Removes a target that is measured or has left.
  pub fn remove(&mut self, target: K) {
    self.joined.remove(&target);
  }

  /// Counts a flow that is placed on a target of the service.
  pub fn record(&mut self, target: K) {
    self.placed += 1;
    if let Some(joined) = self.joined.get_mut(&target) {
      joined.placed += 1;
    }
  }

  /// Whether a target may be given another flow. `share` is its part of the service's slots. One
  /// flow is always allowed, since it brings the first measurement.
  pub fn permits(&self, target: K, share: f64) -> bool {
    let Some(joined) = self.joined.get(&target) else {
      return true;
    };
    let all = (self.placed - joined.before) as f64 + 1.0;
    joined.placed == 0 || (joined.placed + 1) as f64 <= SHARE_MAX * share * all
  }
}
