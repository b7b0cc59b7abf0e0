//! The measured service time of a target.

use {
  super::{ms, ratio},
  fallwell::datagram::uneven::Pace,
  proptest::prelude::*,
  rand::{RngExt, SeedableRng, rngs::SmallRng},
  std::{iter, time::Duration},
};

fn pace_of(times: &[Duration]) -> Pace {
  let mut pace = Pace::default();
  for time in times {
    pace.record(*time);
  }
  pace
}

/// Guards against a moving average that shows a target as fast while callers wait for it: a
/// replayed load whose service times become four times as long, and normal again.
#[test]
fn a_change_of_speed_shows_within_five_answers_and_is_forgotten_within_five() {
  let mut rng = SmallRng::seed_from_u64(3);
  let mut normal = || Duration::from_secs_f64(0.02 + 0.02 * rng.random::<f64>());
  let mut pace = pace_of(&iter::repeat_with(&mut normal).take(200).collect::<Vec<_>>());
  let usual = pace.time().expect("measured");
  assert!((0.9..1.1).contains(&ratio(usual, ms(30))), "{usual:?}");
  for _ in 0..5 {
    pace.record(normal() * 4);
  }
  let slow = pace.time().expect("measured");
  assert!(ratio(slow, usual) > 3.0, "{slow:?} after {usual:?}");
  for _ in 0..5 {
    pace.record(normal());
  }
  let after = pace.time().expect("measured");
  assert!(ratio(after, usual) < 1.3, "{after:?} after {usual:?}");
}

/// Guards against an estimate that follows single long requests, as balancers would then all avoid
/// one target after another.
#[test]
fn random_variation_changes_the_time_little() {
  let mut rng = SmallRng::seed_from_u64(4);
  let mut pace = Pace::default();
  let mut worst = 1.0_f64;
  for answer in 0..2000 {
    pace.record(Duration::from_secs_f64(0.02 + 0.02 * rng.random::<f64>()));
    let time = pace.time().expect("measured");
    if answer > 20 {
      worst = worst.max(ratio(time, ms(30)).max(ratio(ms(30), time)));
    }
  }
  assert!(worst < 1.25, "{worst}");
}

/// Guards against a target that answers nothing any more and still counts as fast.
#[test]
fn an_answer_that_is_missing_for_long_counts_at_once() {
  let pace = pace_of(&[ms(20); 50]);
  let missing = |time| pace.time_with_missing([time; 2].into_iter());
  assert_eq!(missing(ms(20)), Some(ms(20)));
  let after = missing(ms(100)).expect("measured");
  assert!(ratio(after, ms(20)) > 2.0, "{after:?}");
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

  /// Any change by at least the ratio of relief shows in full after 5 answers, whatever came
  /// before.
  #[test]
  fn five_answers_at_another_speed_set_the_time(
    before in prop::collection::vec(10_u64..20, 5..60),
    factor in 4_u64..10,
  ) {
    let mut pace = pace_of(&before.iter().map(|time| ms(*time)).collect::<Vec<_>>());
    for _ in 0..5 {
      pace.record(ms(20 * factor));
    }
    prop_assert_eq!(pace.time(), Some(ms(20 * factor)));
  }

  /// The time is never outside of what was measured, and missing answers never make it shorter.
  #[test]
  fn the_time_is_within_the_answers(
    times in prop::collection::vec(1_u64..1000, 1..80),
    missing in prop::collection::vec(0_u64..2000, 0..8),
  ) {
    let pace = pace_of(&times.iter().map(|time| ms(*time)).collect::<Vec<_>>());
    let time = pace.time().expect("measured");
    let (least, most) = (times.iter().min().copied(), times.iter().max().copied());
    let margin = Duration::from_nanos(100);
    prop_assert!(time + margin >= ms(least.unwrap_or_default()));
    prop_assert!(time <= ms(most.unwrap_or_default()) + margin);
    let missing = missing.into_iter().map(ms);
    let with_missing = pace.time_with_missing(missing);
    prop_assert!(with_missing >= Some(time));
  }
}
