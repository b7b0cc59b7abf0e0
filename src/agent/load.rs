use std::time::{Duration, Instant};

/// The load that a target reports, in 1/255 of its `limit` of flows. During the warm-up (slow
/// start) it is at least the share of `ramp` that is left, so that new flows are added gradually.
pub fn level(flows: u32, limit: u32, started: Instant, now: Instant, ramp: Duration) -> u8 {
  let load = u64::from(flows) * 255 / u64::from(limit.max(1));
  let load = load.min(255) as u8;
  let age = now.duration_since(started);
  if age >= ramp {
    return load;
  }
  let warmup_left = ramp.saturating_sub(age).as_millis() * 255 / ramp.as_millis().max(1);
  load.max(warmup_left.min(255) as u8)
}
