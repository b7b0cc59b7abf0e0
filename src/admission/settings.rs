use std::time::Duration;

/// The bounds of the machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
  /// How many requests wait for each slot, at most.
  pub queue_per_slot: usize,
  /// The first guess of how long a request runs.
  pub run_time: Duration,
  /// How many requests run at once.
  pub slots: usize,
}

impl Default for Settings {
  fn default() -> Self {
    Self {
      queue_per_slot: 2,
      run_time: Duration::from_millis(50),
      slots: 5,
    }
  }
}
