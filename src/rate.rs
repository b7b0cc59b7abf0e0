//! How often something may be done.

use std::time::{Duration, Instant};

/// The time that a limit counts in.
const WINDOW: Duration = Duration::from_secs(1);

/// A number of times in each second, counted from the first one in it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
  count: u32,
  most: u32,
  since: Option<Instant>,
}

impl Limit {
  /// So many times a second.
  pub fn new(most: u32) -> Self {
    Self {
      count: 0,
      most,
      since: None,
    }
  }

  /// Whether it may be done now; if so it counts.
  pub fn take(&mut self, now: Instant) -> bool {
    let over = self
      .since
      .is_none_or(|since| now.duration_since(since) >= WINDOW);
    if over {
      self.since = Some(now);
      self.count = 0;
    }
    if self.count >= self.most {
      return false;
    }
    self.count += 1;
    true
  }
}
