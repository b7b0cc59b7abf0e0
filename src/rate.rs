//! Rate limiting.

use std::time::{Duration, Instant};

/// The length of one counting window.
const WINDOW: Duration = Duration::from_secs(1);

/// A fixed-window rate limit. A window of one second starts with the first event after the previous
/// window has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
  count: u32,
  max: u32,
  window_start: Option<Instant>,
}

impl Limit {
  /// Allows at most `max` events per second.
  pub fn new(max: u32) -> Self {
    Self {
      count: 0,
      max,
      window_start: None,
    }
  }

  /// Returns whether an event is allowed now, and counts it if it is.
  pub fn take(&mut self, now: Instant) -> bool {
    let is_expired = self
      .window_start
      .is_none_or(|window_start| now.duration_since(window_start) >= WINDOW);
    if is_expired {
      self.window_start = Some(now);
      self.count = 0;
    }
    if self.count >= self.max {
      return false;
    }
    self.count += 1;
    true
  }
}
