use std::time::Duration;

/// The weight of the newest time in the mean.
const NEWEST: f64 = 0.125;

/// How many times the mean an answer may take before it counts as missing.
const TIMES: f64 = 3.0;

/// The longest wait: half of what passes before a caller's last copy of an opening packet.
const LONGEST: Duration = Duration::from_millis(300);

/// How long something may stay unanswered: a few times the mean of what answers take. A balancer
/// that has more to do than it can would otherwise ask for everything several times, and have even
/// more to do.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
  least: Duration,
  mean: f64,
}

impl Patience {
  /// A patience that is never shorter than `least`, and `first` before anything is observed.
  pub fn new(least: Duration, first: Duration) -> Self {
    let mean = first.as_secs_f64() / TIMES;
    Self { least, mean }
  }

  /// An answer took so long.
  pub fn observe(&mut self, time: Duration) {
    let time = time.min(LONGEST).as_secs_f64();
    self.mean += NEWEST * (time - self.mean);
  }

  /// How long the next one may take.
  pub fn wait(&self) -> Duration {
    let wait = Duration::from_secs_f64(TIMES * self.mean);
    wait.clamp(self.least, LONGEST)
  }
}
