//! Which targets get fewer new flows, and how they return.

use {
  fallwell::datagram::uneven::{Relief, Sample},
  proptest::prelude::*,
  std::collections::BTreeMap,
};

const SLOTS: u16 = 2;

fn sample(ratio: f64) -> Sample {
  Sample {
    answers: 0,
    fails: false,
    in_flight: 0,
    ratio: Some(ratio),
    slots: SLOTS,
  }
}

/// Samples of targets that are numbered from 0.
fn samples(ratios: &[f64]) -> Vec<(usize, Sample)> {
  let samples = ratios.iter().map(|ratio| sample(*ratio));
  samples.enumerate().collect()
}

fn relieved(relief: &Relief<usize>, targets: usize) -> Vec<usize> {
  let targets = 0..targets;
  targets
    .filter(|target| relief.is_relieved(*target))
    .collect()
}

/// Guards against a slow target that gets no flow, or as many as the others: a replayed load of
/// 10,000 flows.
#[test]
fn a_relieved_target_gets_flows_in_inverse_proportion_to_its_ratio() {
  let mut relief = Relief::default();
  relief.update(&samples(&[1.0, 1.0, 4.0, 1.0, 1.0, 1.0]));
  let pool = (0..6).map(|target| (target, SLOTS)).collect::<Vec<_>>();
  let mut drawn = BTreeMap::<_, u32>::new();
  for flow in 0..10_000 {
    let point = f64::from(flow) / 10_000.0;
    *drawn.entry(relief.draw(point, &pool)).or_default() += 1;
  }
  let others = f64::from(drawn[&None]) / 5.0;
  let share = f64::from(drawn[&Some(2)]) / others;
  assert_eq!(drawn.len(), 2, "{drawn:?}");
  assert!((0.249..0.251).contains(&share), "{drawn:?}");
}

/// Guards against relief that leaves too few targets to carry the load.
#[test]
fn at_most_a_third_is_relieved_and_the_worst_first() {
  let mut relief = Relief::default();
  relief.update(&samples(&[1.0, 3.0, 5.0, 4.0, 1.0, 1.0, 1.0]));
  assert_eq!(relieved(&relief, 7), [2, 3]);
}

/// Guards against a target that fails some requests at once and so seems as fast as the others.
#[test]
fn a_target_that_fails_more_is_relieved() {
  let mut all = samples(&[1.0, 1.5, 1.0]);
  all[1].1.fails = true;
  let mut relief = Relief::default();
  relief.update(&all);
  assert_eq!(relieved(&relief, 3), [1]);
}

/// Guards against all balancers' flows meeting a target that has just recovered.
#[test]
fn a_target_returns_with_one_flow_and_twice_as_many_for_each_answer() {
  let mut relief = Relief::default();
  let mut all = samples(&[1.0, 1.0, 5.0]);
  for (_, sample) in &mut all {
    sample.slots = 8;
  }
  relief.update(&all);
  assert!(!relief.permits(2, 0));
  // Its measurements have been dropped.
  all[2].1.ratio = None;
  for allowed in [1, 2, 4] {
    relief.update(&all);
    relief.update(&all);
    assert!(relief.permits(2, allowed - 1) && !relief.permits(2, allowed));
    all[2].1.answers += 1;
  }
  relief.update(&all);
  assert!(relief.permits(2, 100), "it carries its share");
}

/// Guards against a trial that goes on although its answers are slow.
#[test]
fn a_slow_answer_ends_a_trial() {
  let mut relief = Relief::default();
  let mut all = samples(&[1.0, 1.0, 5.0]);
  relief.update(&all);
  all[2].1.ratio = Some(1.5);
  relief.update(&all);
  all[2].1.ratio = Some(3.0);
  all[2].1.answers = 1;
  relief.update(&all);
  assert!(relief.is_relieved(2));
}

/// Guards against a restarted agent's count of answers, which begins anew, as proof of answers.
#[test]
fn a_count_that_begins_anew_proves_no_answer() {
  for before in [40, 40_000] {
    let mut relief = Relief::default();
    let mut all = samples(&[1.0, 1.0, 5.0]);
    all[2].1.answers = before;
    relief.update(&all);
    all[2].1.ratio = None;
    relief.update(&all);
    all[2].1.answers = 0;
    relief.update(&all);
    assert!(relief.permits(2, 0) && !relief.permits(2, 1), "{before}");
  }
}

/// Guards against answers of requests from before a trial as proof that the target has recovered.
#[test]
fn answers_of_earlier_requests_prove_nothing() {
  let mut relief = Relief::default();
  let mut all = samples(&[1.0, 1.0, 5.0]);
  relief.update(&all);
  all[2].1 = Sample {
    in_flight: 8,
    ratio: None,
    ..all[2].1
  };
  relief.update(&all);
  all[2].1.answers = 7;
  relief.update(&all);
  all[2].1.in_flight = 1;
  relief.update(&all);
  assert!(relief.permits(2, 0) && !relief.permits(2, 1));
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

  /// Whatever the targets report: at most a third is relieved, only such as qualify, none that is
  /// better than one that is not relieved; and no target comes back at once.
  #[test]
  fn relief_is_bounded_and_ends_by_trial(
    rounds in prop::collection::vec(prop::collection::vec((0.5_f64..6.0, 0_u16..3), 9), 1..20),
  ) {
    let mut relief = Relief::default();
    let mut answers = [0_u16; 9];
    for round in rounds {
      let before = relieved(&relief, 9);
      let all = round.iter().enumerate().map(|(target, (ratio, answered))| {
        answers[target] += answered;
        let answers = answers[target];
        (target, Sample { answers, ..sample(*ratio) })
      });
      let all = all.collect::<Vec<_>>();
      relief.update(&all);
      let now = relieved(&relief, 9);
      prop_assert!(now.len() <= 3);
      let ratio = |target: usize| round[target].0;
      let least = now.iter().map(|target| ratio(*target)).fold(f64::INFINITY, f64::min);
      prop_assert!(now.is_empty() || least > 2.0);
      for target in (0..9).filter(|target| !now.contains(target)) {
        prop_assert!(ratio(target) <= 2.0 || (now.len() == 3 && ratio(target) <= least));
        if before.contains(&target) {
          prop_assert!(relief.permits(target, 0) && !relief.permits(target, 1));
        }
      }
    }
  }

  /// Each flow belongs to exactly one target, and the shares of relieved targets do not overlap.
  #[test]
  fn shares_are_in_inverse_proportion(slow in 2.1_f64..10.0, slower in 2.1_f64..10.0) {
    let mut relief = Relief::default();
    relief.update(&samples(&[1.0, slow, 1.0, 1.0, slower, 1.0]));
    let pool = (0..6).map(|target| (target, SLOTS)).collect::<Vec<_>>();
    let flows = 4000;
    let count = |target| {
      let points = (0..flows).map(|flow| f64::from(flow) / f64::from(flows));
      points.filter(|point| relief.draw(*point, &pool) == Some(target)).count() as f64
    };
    let all = 4.0 + 1.0 / slow + 1.0 / slower;
    for (target, ratio) in [(1, slow), (4, slower)] {
      prop_assert!((count(target) - f64::from(flows) / ratio / all).abs() <= 2.0);
    }
  }
}
