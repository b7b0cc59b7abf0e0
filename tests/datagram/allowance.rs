//! The limit on updates that peers pull over a slow link.

use {
  fallwell::datagram::{Rate, node::Allowance},
  std::time::{Duration, Instant},
};

/// The size of a large configuration, in bytes.
const SNAPSHOT: usize = 60_000;

fn allowed(allowance: &Allowance, now: Instant, count: usize, bytes: usize) -> usize {
  (0..count).filter(|_| allowance.admits(now, bytes)).count()
}

#[test]
fn a_slow_link_admits_only_responses_that_arrive_in_time() {
  let now = Instant::now();
  let allowance = Allowance::new(Rate::megabits(10.0));
  // In 0.2 s, half the link carries two of them; one more is still admitted.
  assert_eq!(allowed(&allowance, now, 114, SNAPSHOT), 3);
  let later = now + Duration::from_millis(150);
  assert_eq!(allowed(&allowance, later, 114, SNAPSHOT), 1);
}

#[test]
fn small_responses_and_links_of_unknown_rate_are_not_limited() {
  let now = Instant::now();
  let slow = Allowance::new(Rate::megabits(2.0));
  assert_eq!(allowed(&slow, now, 114, 1000), 114);
  let unknown = Allowance::new(None);
  assert_eq!(allowed(&unknown, now, 114, SNAPSHOT), 114);
}
