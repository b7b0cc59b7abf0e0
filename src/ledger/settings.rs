use std::time::Duration;

/// The limits of a ledger: an agent's record of idempotency keys, with the answers cached for them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
  /// The largest answer that is cached, in bytes.
  pub answer_max: usize,
  /// The memory that all entries together may take, in bytes.
  pub memory_max: usize,
  /// The repeat window: how long a key is remembered after its last use.
  pub window: Duration,
}

impl Default for Settings {
  fn default() -> Self {
    Self {
      answer_max: 64 << 10,
      memory_max: 16 << 20,
      window: Duration::from_mins(10),
    }
  }
}
