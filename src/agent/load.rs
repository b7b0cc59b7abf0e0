use std::time::{Duration, Instant};

/// How busy a target says it is, in 1/255 of what it may hold. One that has just started says that
/// it is busier than it is, ever less so, which keeps new flows from rushing to it.
pub fn level(flows: u32, limit: u32, started: Instant, now: Instant, ramp: Duration) -> u8 {
  let held = u64::from(flows) * 255 / u64::from(limit.max(1));
  let held = held.min(255) as u8;
  let age = now.duration_since(started);
  if age >= ramp {
    return held;
  }
  let left = ramp.saturating_sub(age).as_millis() * 255 / ramp.as_millis().max(1);
  held.max(left.min(255) as u8)
}
