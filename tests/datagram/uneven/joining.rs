//! The share of a target that has just joined.

use {fallwell::datagram::uneven::Joining, proptest::prelude::*};

/// Guards against a new, idle target that gets every flow until it is measured: a replayed load of
/// 400 flows, each of which prefers the new target.
#[test]
fn a_new_target_gets_twice_its_share_until_it_is_measured() {
  let mut joining = Joining::default();
  for _ in 0..100 {
    joining.record("old", 1.0);
  }
  joining.join("new");
  let mut to_new = 0;
  for _ in 0..400 {
    let target = if joining.permits("new", 0.1, 1.0) {
      "new"
    } else {
      "old"
    };
    to_new += u32::from(target == "new");
    joining.record(target, 1.0);
  }
  assert_eq!(to_new, 80);
  joining.remove("new");
  assert!(joining.permits("new", 0.1, 1.0));
}

/// Guards against a new target that gets its share of flows, of which each brings many requests.
#[test]
fn long_flows_count_with_their_requests() {
  let mut joining = Joining::default();
  joining.join("new");
  let mut requests = [0.0, 0.0];
  for flow in 0..600 {
    // Each third flow is a long one; short flows prefer the old targets.
    let (brings, prefers_new) = if flow % 3 == 0 {
      (10.0, true)
    } else {
      (1.0, false)
    };
    let to_new = prefers_new && joining.permits("new", 0.1, brings);
    joining.record(if to_new { "new" } else { "old" }, brings);
    requests[usize::from(to_new)] += brings;
  }
  let share = requests[1] / (requests[0] + requests[1]);
  assert!((0.19..=0.2).contains(&share), "{requests:?}");
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

  /// Whatever is placed elsewhere in between, a new target gets at most twice its share and one
  /// flow, and targets that were measured are never limited.
  #[test]
  fn the_share_of_a_new_target_is_bounded(
    prefers_new in prop::collection::vec(any::<bool>(), 1..300),
    share in 0.01_f64..0.5,
  ) {
    let mut joining = Joining::default();
    joining.join(0);
    let (mut to_new, mut all) = (0_u32, 0_u32);
    for prefers_new in prefers_new {
      let target = u8::from(!(prefers_new && joining.permits(0, share, 1.0)));
      joining.record(target, 1.0);
      all += 1;
      to_new += u32::from(target == 0);
      prop_assert!(f64::from(to_new) <= (2.0 * share * f64::from(all)).max(1.0));
      prop_assert!(joining.permits(1, share, 1.0));
    }
  }
}
