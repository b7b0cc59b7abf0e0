//! The speeds of targets by kinds of work.

use {
  super::ms,
  crate::support::route,
  fallwell::datagram::uneven::{Kind, Kinds, Speeds, Times},
  proptest::prelude::*,
  std::time::{Duration, Instant},
};

fn kind(number: u8) -> Kind {
  Kind::from(route(number))
}

fn times(of: &[(u8, u64)]) -> Times {
  of.iter()
    .map(|(number, time)| (kind(*number), ms(*time)))
    .collect()
}

/// Guards against a target that counts as slow since it was given the longer work.
#[test]
fn a_target_with_the_longer_work_is_not_slow() {
  let short = times(&[(1, 4)]);
  let long = times(&[(2, 60)]);
  let both = times(&[(1, 4), (2, 60)]);
  let slow = times(&[(1, 8), (2, 180)]);
  let all = [short, short, long, long, both, slow];
  let speeds = Speeds::new(all.iter());
  assert_eq!(speeds.ratio(&long), Some(1.0));
  assert_eq!(speeds.ratio(&short), Some(1.0));
  assert_eq!(speeds.ratio(&slow), Some(2.5));
  assert_eq!(speeds.median(kind(2)), Some(ms(60)));
  assert_eq!(
    (speeds.median(kind(3)), speeds.ratio(&times(&[]))),
    (None, None)
  );
}

/// Guards against the state of an agent growing with its routes: only the most recently used kinds
/// are kept and reported.
#[test]
fn the_least_recently_used_kind_is_dropped() {
  let now = Instant::now();
  let mut kinds = Kinds::default();
  for number in [1, 2, 3, 4, 5, 6, 7, 8, 1, 9] {
    kinds.record(now, kind(number), ms(20));
  }
  let measured = (1..=9).filter(|number| kinds.time(kind(*number)).is_some());
  assert_eq!(measured.collect::<Vec<_>>(), [1, 3, 4, 5, 6, 7, 8, 9]);
  let reported = kinds
    .times(&[])
    .iter()
    .map(|(kind, _)| kind)
    .collect::<Vec<_>>();
  assert_eq!(reported, [kind(9), kind(1), kind(8), kind(7)]);
}

/// Guards against long flows that count as one request each: the mean follows the last flows.
#[test]
fn the_mean_number_of_requests_in_a_flow_is_reported() {
  let now = Instant::now();
  let mut kinds = Kinds::default();
  kinds.record(now, kind(1), ms(20));
  let mut requests = |flows: u32, requests: u32| {
    for request in (0..flows).flat_map(|_| 0..requests) {
      kinds.begin(now, kind(1), request == 0);
    }
    let times = kinds.times(&[]);
    Speeds::new([times].iter()).requests_per_flow(kind(1))
  };
  assert!((requests(30, 10) - 10.0).abs() < 1.0);
  assert!((requests(100, 1) - 1.0).abs() < 1.0);
}

/// Guards against a hanging request of one kind that makes another kind seem slow.
#[test]
fn a_missing_answer_counts_for_its_kind_only() {
  let now = Instant::now();
  let mut kinds = Kinds::default();
  for _ in 0..20 {
    kinds.record(now, kind(1), ms(4));
    kinds.record(now, kind(2), ms(60));
  }
  let times = kinds.times(&[(kind(1), ms(60)), (kind(1), ms(60))]);
  assert_eq!(times.get(kind(2)), Some(ms(60)));
  assert!(times.get(kind(1)) > Some(ms(20)), "{times:?}");
}

/// Guards against requests of flows that began before the measurements were dropped, which would
/// raise the mean number of requests in the flows since.
#[test]
fn requests_of_uncounted_flows_do_not_raise_the_mean() {
  let now = Instant::now();
  let mut kinds = Kinds::default();
  kinds.record(now, kind(1), ms(20));
  for _ in 0..100 {
    kinds.begin(now, kind(1), false);
  }
  kinds.begin(now, kind(1), true);
  kinds.begin(now, kind(1), false);
  let times = kinds.times(&[]);
  let requests = Speeds::new([times].iter()).requests_per_flow(kind(1));
  assert!((requests - 2.0).abs() < 1e-9, "{requests}");
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

  /// A target that takes the same multiple of the median for each kind has that ratio, whatever mix
  /// of kinds it reports.
  #[test]
  fn the_ratio_does_not_depend_on_the_mix(
    medians in prop::collection::vec(10_u64..100, 4),
    mix in prop::sample::subsequence(vec![0_usize, 1, 2, 3], 1..=4),
    factor in 1_u64..8,
  ) {
    let usual = medians.iter().enumerate();
    let usual: Times = usual.map(|(number, time)| (kind(number as u8), ms(*time))).collect();
    let slow = mix.iter().map(|number| (kind(*number as u8), ms(medians[*number] * factor)));
    let slow: Times = slow.collect();
    let speeds = Speeds::new([usual, usual, usual, slow].iter());
    let ratio = speeds.ratio(&slow).expect("measured");
    prop_assert!((ratio - factor as f64).abs() < 1e-9);
  }

  /// Times are reported to the millisecond, and none as 0, which stands for unknown.
  #[test]
  fn reported_times_are_rounded(micros in 0_u64..10_000_000) {
    let time = Duration::from_micros(micros);
    let times: Times = [(kind(1), time)].into_iter().collect();
    let reported = times.get(kind(1)).expect("reported");
    prop_assert!(reported >= ms(1));
    prop_assert!(reported.abs_diff(time) <= ms(1));
  }
}
