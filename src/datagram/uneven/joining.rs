use std::collections::BTreeMap;

/// A target without measurements gets at most so many times its proportional share: enough that it
/// is measured soon, while its speed is not known.
const SHARE_MAX: f64 = 2.0;

/// The targets of a service that have just joined, until they are measured.
#[derive(Clone, Debug)]
pub struct Joining<K> {
  /// The targets that have joined.
  joined: BTreeMap<K, Joined>,
  /// How many requests the flows bring that were placed on the service's targets.
  placed: f64,
}

#[derive(Clone, Copy, Debug)]
struct Joined {
  /// The requests that were placed on the service's targets before it joined.
  before: f64,
  /// The requests that were placed on it since.
  placed: f64,
}

impl<K> Default for Joining<K> {
  fn default() -> Self {
    Self {
      joined: BTreeMap::new(),
      placed: 0.0,
    }
  }
}

impl<K: Copy + Ord> Joining<K> {
  /// Adds a target that has joined the service.
  pub fn join(&mut self, target: K) {
    let joined = Joined {
      before: self.placed,
      placed: 0.0,
    };
    self.joined.entry(target).or_insert(joined);
  }

  /// Removes a target that is measured or has left.
  pub fn remove(&mut self, target: K) {
    self.joined.remove(&target);
  }

  /// Removes the targets that `is_member` does not name.
  pub fn retain(&mut self, is_member: impl Fn(K) -> bool) {
    self.joined.retain(|target, _| is_member(*target));
  }

  /// Counts a flow that is placed on a target of the service and brings so many requests.
  pub fn record(&mut self, target: K, requests: f64) {
    self.placed += requests;
    if let Some(joined) = self.joined.get_mut(&target) {
      joined.placed += requests;
    }
  }

  /// Whether a target may be given another flow, which brings so many requests. `share` is its part
  /// of the service's slots. One flow is always allowed, since it brings the first measurement.
  pub fn permits(&self, target: K, share: f64, requests: f64) -> bool {
    let Some(joined) = self.joined.get(&target) else {
      return true;
    };
    let all = self.placed - joined.before + requests;
    joined.placed == 0.0 || joined.placed + requests <= SHARE_MAX * share * all
  }
}
