use {
  super::{capacity::Capacity, per_second::PerSecond},
  std::time::{Duration, Instant},
};

/// What a balancer has observed of a service's targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Supply {
  capacity: Capacity,
  /// When a flow of the service was last placed.
  placed: Option<Instant>,
  /// Since when flows of the service have been placed, without a pause as long as the window.
  placing_since: Option<Instant>,
  /// The last rate above zero, in requests per second.
  rate: Option<PerSecond>,
}

impl Supply {
  /// Replaces the capacity.
  pub fn update(&mut self, capacity: Capacity) {
    self.capacity = capacity;
    if capacity.rate > PerSecond::default() {
      self.rate = Some(capacity.rate);
    }
  }

  /// The time to process a request that isn't queued.
  pub fn answer(&self) -> Duration {
    self.capacity.answer
  }

  /// The requests per second that the targets can answer, or could before their rate fell to zero;
  /// none if that was never known.
  pub fn rate(&self) -> Option<PerSecond> {
    self.rate
  }

  /// How many flows wait for the service in all balancers, as reported.
  pub fn waiting(&self) -> Option<usize> {
    self.capacity.waiting
  }

  /// Records that a flow was placed.
  pub fn record_placement(&mut self, now: Instant, window: Duration) {
    let is_recent = |at: Instant| now.saturating_duration_since(at) < window;
    if !self.placed.is_some_and(is_recent) {
      self.placing_since = Some(now);
    }
    self.placed = Some(now);
  }

  /// Whether flows have been placed for a whole window, so that rates are known. Right after targets
  /// were down, the few placements since then would show far too low a rate.
  pub fn is_measured(&self, now: Instant, window: Duration) -> bool {
    let since = self.placing_since;
    since.is_some_and(|since| now.saturating_duration_since(since) >= window)
  }

  /// Discards what was observed of placements.
  pub fn restart(&mut self) {
    self.placed = None;
    self.placing_since = None;
  }
}
