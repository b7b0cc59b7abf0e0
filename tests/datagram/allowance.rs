//! How much peers are told at once over a thin link.

use {
  fallwell::datagram::{Rate, node::Allowance},
  std::time::{Duration, Instant},
};

/// The whole of a large configuration, in bytes.
const WHOLE: usize = 60_000;

fn allowed(allowance: &Allowance, now: Instant, count: usize, bytes: usize) -> usize {
  (0..count).filter(|_| allowance.takes(now, bytes)).count()
}

#[test]
fn a_herd_that_asks_for_the_whole_is_answered_as_far_as_a_thin_link_carries_it_in_time() {
  let now = Instant::now();
  let allowance = Allowance::new(Rate::megabits(10.0));
  // 0.2 s of half the link are two of them, and one more that ends later.
  assert_eq!(allowed(&allowance, now, 114, WHOLE), 3);
  let later = now + Duration::from_millis(150);
  assert_eq!(allowed(&allowance, later, 114, WHOLE), 1);
}

#[test]
fn small_answers_and_wide_links_are_not_bounded() {
  let now = Instant::now();
  let thin = Allowance::new(Rate::megabits(2.0));
  assert_eq!(allowed(&thin, now, 114, 1000), 114);
  let wide = Allowance::new(None);
  assert_eq!(allowed(&wide, now, 114, WHOLE), 114);
}
