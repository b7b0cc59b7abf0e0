use std::time::Duration;

/// The bounds of the machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
  /// The largest answer that is held, in bytes.
  pub answer_max: usize,
  /// The most memory that all entries take, in bytes.
  pub memory_max: usize,
  /// How long a key counts after its last request.
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
