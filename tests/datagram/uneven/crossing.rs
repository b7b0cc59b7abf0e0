//! Whether flows cross to another data centre.

use {super::ms, fallwell::datagram::uneven::Crossing, proptest::prelude::*, std::time::Duration};

const COST: Duration = Duration::from_millis(30);

/// Guards against a data centre that sends flows away for less than crossing costs, and against one
/// limit for both directions.
#[test]
fn crossing_begins_at_its_cost_and_stops_at_half_of_it() {
  let mut crossing = Crossing::default();
  for (here, is_open) in [
    (30, false),
    (31, true),
    (29, true),
    (16, true),
    (15, false),
    (29, false),
  ] {
    crossing.update(ms(here), ms(0), COST);
    assert_eq!(crossing.is_open(), is_open, "{here}");
  }
}

/// Counts how often a decision changes while callers move: of 12 flows in each step, 9 arrive here
/// at first, and as many in both data centres later. Each data centre serves 6 in a step, and each
/// flow that waits adds 1 ms. `decide` is given the wait here and there, and returns whether flows
/// cross; 4 do then. A step changes the waits by less than the band between the two limits.
fn changes(mut decide: impl FnMut(Duration, Duration) -> bool) -> usize {
  let to_time = |queue: f64| Duration::from_secs_f64(queue / 1000.0);
  let (mut here, mut there) = (0.0_f64, 0.0_f64);
  let (mut changes, mut crosses) = (0, false);
  for step in 0..600 {
    let arrivals = if step < 400 { 9.0 } else { 6.0 };
    let before = std::mem::replace(&mut crosses, decide(to_time(here), to_time(there)));
    changes += usize::from(crosses != before);
    let away = if crosses { 4.0 } else { 0.0 };
    here = (here + arrivals - away - 6.0).max(0.0);
    there = (there + 12.0 - arrivals + away - 6.0).max(0.0);
  }
  changes
}

/// Guards against a decision that alternates: a replayed load of callers who move between data
/// centres, beside a decision with one limit.
#[test]
fn crossing_alternates_less_than_with_one_limit() {
  let mut crossing = Crossing::default();
  let with_hysteresis = changes(|here, there| {
    crossing.update(here, there, COST);
    crossing.is_open()
  });
  let with_one_limit = changes(|here, there| here > there + COST);
  assert!(
    with_hysteresis * 2 <= with_one_limit,
    "{with_hysteresis}, {with_one_limit}"
  );
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

  /// Two data centres that see the same waits never send each other flows, and neither changes its
  /// mind while the difference of the waits stays between the two limits.
  #[test]
  fn data_centres_do_not_exchange_their_load(
    waits in prop::collection::vec((0_u64..200, 0_u64..200), 1..100),
  ) {
    let (mut one, mut other) = (Crossing::default(), Crossing::default());
    for (at_one, at_other) in waits {
      let before = one.is_open();
      one.update(ms(at_one), ms(at_other), COST);
      other.update(ms(at_other), ms(at_one), COST);
      prop_assert!(!(one.is_open() && other.is_open()));
      if (at_other + 16..=at_other + 30).contains(&at_one) {
        prop_assert_eq!(one.is_open(), before);
      }
      if at_one > at_other + 30 {
        prop_assert!(one.is_open());
      }
    }
  }
}
