use std::time::Duration;

/// A rate, in flows per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct PerSecond(pub f64);

impl PerSecond {
  /// The rate of `count` flows in a time.
  pub fn of(count: usize, time: Duration) -> Self {
    Self(count as f64 / time.as_secs_f64())
  }

  /// How many flows there are in a time.
  pub fn within(self, time: Duration) -> f64 {
    self.0 * time.as_secs_f64()
  }
}
