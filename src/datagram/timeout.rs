use std::time::Duration;

/// The weight of the latest answer time in the moving average.
const WEIGHT: f64 = 0.125;

/// The ratio of the timeout to the average answer time.
const FACTOR: f64 = 3.0;

/// The longest timeout: half of the time from a caller's first opening packet to its last one.
const MAX: Duration = Duration::from_millis(300);

/// An adaptive timeout: a multiple of the moving average of answer times, so that it grows under
/// load, when needless repetitions would add to that load.
#[derive(Clone, Copy, Debug)]
pub struct Timeout {
  min: Duration,
  mean: f64,
}

impl Timeout {
  /// A timeout that is never shorter than `min`, and is `first` before any answer is observed.
  pub fn new(min: Duration, first: Duration) -> Self {
    let mean = first.as_secs_f64() / FACTOR;
    Self { min, mean }
  }

  /// Adds an answer time to the average.
  pub fn observe(&mut self, time: Duration) {
    let time = time.min(MAX).as_secs_f64();
    self.mean += WEIGHT * (time - self.mean);
  }

  /// The moving average of the answer times.
  pub fn mean(&self) -> Duration {
    Duration::from_secs_f64(self.mean)
  }

  /// The timeout of the next request.
  pub fn wait(&self) -> Duration {
    let wait = Duration::from_secs_f64(FACTOR * self.mean);
    wait.clamp(self.min, MAX)
  }
}
