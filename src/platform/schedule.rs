use {
  rand::{RngExt, SeedableRng, rngs::SmallRng},
  std::time::{Duration, Instant},
};

/// The timing of requests to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
  /// The largest mean delay after a failure.
  pub back_off_max: Duration,
  /// The age of the last confirmation at which processes other than the readers start to poll the
  /// platform. Longer than a watch and the propagation of its confirmation take.
  pub stale_after: Duration,
  /// The longest delay before the first such poll of a process, and the mean interval between later
  /// ones, unless a failure delays them.
  pub stale_interval: Duration,
  /// How long a reader's watch waits for a change.
  pub wait: Duration,
}

impl Default for Settings {
  fn default() -> Self {
    Self {
      back_off_max: Duration::from_secs(4),
      stale_after: Duration::from_secs(20),
      stale_interval: Duration::from_secs(4),
      wait: Duration::from_secs(2),
    }
  }
}

/// Schedules the requests of one process to the platform. A few designated readers watch it
/// continuously. The other processes poll it only while no reader reaches it, each at random
/// times, so that the fleet does not poll all at once.
#[derive(Debug)]
pub struct ReadSchedule {
  failures: u32,
  next_request: Option<Instant>,
  rng: SmallRng,
  settings: Settings,
}

impl ReadSchedule {
  /// Creates a schedule. The first request of a reader is due at once; `seed` determines the random
  /// delays.
  pub fn new(settings: Settings, seed: u64) -> Self {
    Self {
      failures: 0,
      next_request: None,
      rng: SmallRng::seed_from_u64(seed),
      settings,
    }
  }

  /// If a request is due now, returns how long the platform may wait for a change: the full wait
  /// for a `designated` reader, zero for a poll of another process. `confirmation_age` is the time
  /// since the platform last confirmed the configuration to any process, as far as this one knows.
  pub fn due_wait(
    &mut self,
    now: Instant,
    designated: bool,
    confirmation_age: Option<Duration>,
  ) -> Option<Duration> {
    if let Some(next_request) = self.next_request
      && now < next_request
    {
      return None;
    }
    if designated {
      return Some(self.settings.wait);
    }
    let stale = confirmation_age.is_none_or(|age| age >= self.settings.stale_after);
    if !stale {
      self.next_request = None;
      return None;
    }
    if self.next_request.is_none() {
      self.next_request = Some(now + self.jitter(self.settings.stale_interval));
      return None;
    }
    self.next_request = Some(now + self.jitter(self.settings.stale_interval * 2));
    Some(Duration::ZERO)
  }

  /// Clears the backoff, after the platform has answered.
  pub fn reset_backoff(&mut self) {
    self.failures = 0;
    self.next_request = None;
  }

  /// Delays the next request: exponential backoff with full jitter.
  pub fn back_off(&mut self, now: Instant) {
    self.failures += 1;
    let doubled = Duration::from_millis(250) * (1 << self.failures.min(6));
    let wait = doubled.min(self.settings.back_off_max);
    self.next_request = Some(now + self.jitter(wait * 2));
  }

  /// A random duration, uniformly distributed between zero and `longest`.
  fn jitter(&mut self, longest: Duration) -> Duration {
    longest.mul_f64(self.rng.random_range(0.0..1.0))
  }
}
