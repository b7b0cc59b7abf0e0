use {
  rand::{RngExt, SeedableRng, rngs::SmallRng},
  std::time::{Duration, Instant},
};

/// When the platform is asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
  /// The longest wait after a failure.
  pub back_off_max: Duration,
  /// A process that is no reader asks itself once nobody it hears of has heard from the platform
  /// for so long: longer than a watch waits and the word of it spreads.
  pub stale_after: Duration,
  /// The mean time between its questions then.
  pub stale_interval: Duration,
  /// How long a reader's watch waits.
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

/// Decides when a process asks the platform. Few readers watch; the rest ask only while no reader
/// gets through, each at its own random times, so that the fleet never asks at once.
#[derive(Debug)]
pub struct Reader {
  failures: u32,
  next: Option<Instant>,
  rng: SmallRng,
  settings: Settings,
}

impl Reader {
  /// A reader that has not asked yet.
  pub fn new(settings: Settings, seed: u64) -> Self {
    Self {
      failures: 0,
      next: None,
      rng: SmallRng::seed_from_u64(seed),
      settings,
    }
  }

  /// Whether to ask now, and how long the platform may wait for news.
  pub fn ask(
    &mut self,
    now: Instant,
    designated: bool,
    confirmed: Option<Duration>,
  ) -> Option<Duration> {
    if let Some(next) = self.next
      && now < next
    {
      return None;
    }
    if designated {
      return Some(self.settings.wait);
    }
    let stale = confirmed.is_none_or(|age| age >= self.settings.stale_after);
    if !stale {
      self.next = None;
      return None;
    }
    if self.next.is_none() {
      self.next = Some(now + self.jitter(self.settings.stale_interval));
      return None;
    }
    self.next = Some(now + self.jitter(self.settings.stale_interval * 2));
    Some(Duration::ZERO)
  }

  /// The platform answered.
  pub fn answered(&mut self) {
    self.failures = 0;
    self.next = None;
  }

  /// The platform did not answer.
  pub fn failed(&mut self, now: Instant) {
    self.failures += 1;
    let doubled = Duration::from_millis(250) * (1 << self.failures.min(6));
    let wait = doubled.min(self.settings.back_off_max);
    self.next = Some(now + self.jitter(wait * 2));
  }

  /// A random time whose mean is half of `longest`.
  fn jitter(&mut self, longest: Duration) -> Duration {
    longest.mul_f64(self.rng.random_range(0.0..1.0))
  }
}
