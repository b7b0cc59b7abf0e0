use std::time::Duration;

/// Limits and intervals of the replication.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
  /// How long after a failed call a peer is chosen only if no other candidate is left.
  pub unreachable_ttl: Duration,
  /// The number of peers to which a process pushes newly accepted documents.
  pub fan_out: usize,
  /// The size in bytes at which a message with documents is split.
  pub message_bytes: usize,
  /// The maximum number of documents that are pushed when they are accepted at once; larger sets
  /// are left to the digests.
  pub push_max: usize,
  /// The number of balancers in a follower's subset.
  pub subset_balancers: usize,
  /// The time between two requests of a follower. A frame with a newer revision causes one earlier.
  pub follow_interval: Duration,
  /// The time between two digests of a replica.
  pub tick: Duration,
}

impl Default for Settings {
  fn default() -> Self {
    Self {
      unreachable_ttl: Duration::from_secs(10),
      fan_out: 4,
      follow_interval: Duration::from_secs(3),
      message_bytes: 128 << 10,
      push_max: 8,
      subset_balancers: 3,
      tick: Duration::from_secs(1),
    }
  }
}
