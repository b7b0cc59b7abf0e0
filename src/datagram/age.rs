//! Times that processes exchange as ages, since their clocks differ.

use std::time::{Duration, Instant};

/// The age of an event, in milliseconds.
pub fn age_ms(now: Instant, at: Instant) -> u32 {
  now.saturating_duration_since(at).as_millis() as u32
}

/// The time of an event that is `age_ms` milliseconds old.
pub fn time_of(now: Instant, age_ms: u32) -> Instant {
  let age = Duration::from_millis(age_ms.into());
  now.checked_sub(age).unwrap_or(now)
}
