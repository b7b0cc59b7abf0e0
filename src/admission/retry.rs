use {
  super::Spread,
  std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
  },
};

/// The most retry delays that are remembered. A later caller is then told a place behind as many,
/// and counts as a new one when it comes back.
const TOLD_MAX: usize = 4096;

/// The most retry delays of one caller that are remembered. A caller that ignores its delay adds one
/// with each try and lengthens the delays of all others, by at most as many service times.
const TOLD_PER_CALLER_MAX: usize = 8;

/// How long after its retry delay a caller is still expected: delays are whole seconds, so callers
/// that round up themselves come up to a second later.
const GRACE: Duration = Duration::from_secs(1);

/// The least retry delay. A caller that is told 0 comes back while the queue is as full.
const DELAY_MIN_S: f64 = 1.0;

/// When a caller is expected, and the number of its rejection.
type Expected = (Instant, u64);

/// Decides the retry delays of rejected requests, and remembers which callers are to come back.
#[derive(Clone, Debug, Default)]
pub struct Retry {
  by_time: BTreeSet<(Expected, u64)>,
  rejections: u64,
  spread: Spread,
  /// Whether each caller that is expected was returning when it was rejected. `None` is used in the
  /// bounds of ranges only.
  told: BTreeMap<(u64, Option<Expected>), bool>,
  told_returning: usize,
}

impl Retry {
  /// Creates the state before any rejection.
  pub fn new(spread: Spread) -> Self {
    Self {
      spread,
      ..Self::default()
    }
  }

  /// How many rejected requests are expected back.
  pub fn expected(&self) -> usize {
    self.told.len()
  }

  /// Processes the arrival of a request. Returns whether its caller comes back after the delay that
  /// it was told; it is then no longer expected.
  pub fn arrive(&mut self, now: Instant, caller: u64) -> bool {
    self.expire(now);
    let next = self.told.range((caller, None)..).next();
    let Some((&(found, Some(expected)), _)) = next else {
      return false;
    };
    if found != caller || expected.0 > now {
      return false;
    }
    self.forget(caller, expected);
    true
  }

  /// The retry delay of a rejected request in whole seconds: the time until the queue has drained,
  /// and one `service_time` for each request that is expected back before it. That of a returning
  /// caller is told a place among the returning ones, before those that have come once.
  pub fn reject(
    &mut self,
    now: Instant,
    caller: u64,
    returning: bool,
    drain: Duration,
    service_time: Duration,
  ) -> Duration {
    self.expire(now);
    self.rejections += 1;
    let place = if returning {
      self.told_returning
    } else {
      self.told.len()
    };
    let (place_in_drain, rounding) = self.spread.fractions(caller, self.rejections);
    let average = drain.as_secs_f64() + service_time.as_secs_f64() * place as f64;
    let delay = average + (place_in_drain - 0.5) * drain.as_secs_f64();
    let delay = Duration::from_secs((delay.max(DELAY_MIN_S) + rounding) as u64);
    self.expect(caller, (now + delay, self.rejections), returning);
    delay
  }

  fn expect(&mut self, caller: u64, expected: Expected, returning: bool) {
    let of_caller = self.told.range((caller, None)..);
    let of_caller = of_caller.take_while(|((other, _), _)| *other == caller);
    if self.told.len() >= TOLD_MAX
      || of_caller.take(TOLD_PER_CALLER_MAX).count() == TOLD_PER_CALLER_MAX
    {
      return;
    }
    self.by_time.insert((expected, caller));
    self.told.insert((caller, Some(expected)), returning);
    self.told_returning += usize::from(returning);
  }

  fn forget(&mut self, caller: u64, expected: Expected) {
    self.by_time.remove(&(expected, caller));
    let returning = self.told.remove(&(caller, Some(expected)));
    self.told_returning -= usize::from(returning == Some(true));
  }

  /// Forgets the callers that have not come back.
  fn expire(&mut self, now: Instant) {
    while let Some(&(expected, caller)) = self.by_time.first() {
      if expected.0 + GRACE >= now {
        return;
      }
      self.forget(caller, expected);
    }
  }
}
