use {
  bytes::Bytes,
  fallwell::{
    Code,
    ledger::{Action, Answer, EarlierRuns, Event, Machine, Outcome, Settings},
  },
  http::{HeaderMap, StatusCode},
  proptest::prelude::*,
  std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
  },
};

fn answer(length: usize) -> Answer {
  Answer {
    body: Bytes::from(vec![0; length]),
    headers: Arc::new(HeaderMap::new()),
    status: StatusCode::OK,
  }
}

fn request(key: u128, first: bool, earlier_runs: EarlierRuns) -> Event {
  Event::Request {
    fingerprint: 1,
    first,
    key,
    earlier_runs,
  }
}

fn plain_request(key: u128) -> Event {
  request(key, false, EarlierRuns::Clear)
}

#[test]
fn key_runs_once_and_its_answer_is_replayed() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  assert_eq!(ledger.step(now, plain_request(1)), Action::Run);
  assert_eq!(ledger.step(now, plain_request(1)), Action::Wait);
  ledger.step(now, Event::Finished(1, Outcome::Answered(answer(9))));
  assert_eq!(
    ledger.step(now, plain_request(1)),
    Action::Replay(answer(9))
  );
  assert_eq!(ledger.run_count(), 1);
}

#[test]
fn different_request_with_the_same_key_is_a_conflict() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  ledger.step(now, plain_request(1));
  let other = Event::Request {
    fingerprint: 2,
    first: false,
    key: 1,
    earlier_runs: EarlierRuns::Clear,
  };
  assert_eq!(ledger.step(now, other), Action::Conflict);
}

#[test]
fn unknown_outcome_stays_unknown_for_the_window() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  ledger.step(now, plain_request(1));
  ledger.step(now, Event::Finished(1, Outcome::Unknown));
  assert_eq!(ledger.step(now, plain_request(1)), Action::Unknown);
  let later = now + Duration::from_mins(11);
  assert_eq!(ledger.step(later, plain_request(1)), Action::Run);
}

#[test]
fn key_whose_request_was_not_run_can_still_run() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  ledger.step(now, plain_request(1));
  ledger.step(
    now,
    Event::Finished(1, Outcome::NotRun(Code::RequestSlotsFull)),
  );
  assert_eq!(ledger.step(now, plain_request(1)), Action::Run);
}

#[test]
fn after_a_lost_home_first_attempts_run_and_retries_do_not() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  assert_eq!(
    ledger.step(now, request(1, true, EarlierRuns::Lost)),
    Action::Run
  );
  assert_eq!(
    ledger.step(now, request(2, false, EarlierRuns::Lost)),
    Action::Unknown
  );
}

#[test]
fn nothing_runs_while_a_previous_home_is_unreachable() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  assert_eq!(
    ledger.step(now, request(1, true, EarlierRuns::Unreachable)),
    Action::NotRun(Code::RequestHomeUnreachable)
  );
  assert_eq!(
    ledger.step(now, request(1, false, EarlierRuns::Unreachable)),
    Action::Unknown
  );
  assert_eq!(ledger.run_count(), 0);
}

#[test]
fn claimed_key_does_not_run_here() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  assert_eq!(ledger.step(now, Event::Claimed(1)), Action::Nothing);
  assert_eq!(ledger.step(now, plain_request(1)), Action::Unknown);
}

#[test]
fn full_memory_refuses_new_keys_and_evicts_none() {
  let settings = Settings {
    memory_max: 2000,
    ..Settings::default()
  };
  let mut ledger = Machine::new(settings);
  let now = Instant::now();
  let mut running = Vec::new();
  for key in 0..100 {
    match ledger.step(now, plain_request(key)) {
      Action::Run => running.push(key),
      action => assert_eq!(action, Action::NotRun(Code::RequestLedgerFull)),
    }
  }
  assert!(!running.is_empty());
  for key in running {
    assert_eq!(ledger.step(now, plain_request(key)), Action::Wait);
  }
}

#[test]
fn key_with_an_answer_too_large_to_cache_does_not_run_again() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  ledger.step(now, plain_request(1));
  ledger.step(now, Event::Finished(1, Outcome::Answered(answer(1 << 20))));
  assert_eq!(ledger.step(now, plain_request(1)), Action::Unknown);
}

#[test]
fn memory_is_freed_after_the_window() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  for key in 0..1000 {
    ledger.step(now, plain_request(key));
    ledger.step(now, Event::Finished(key, Outcome::Answered(answer(100))));
  }
  ledger.step(now + Duration::from_mins(11), plain_request(5000));
  assert_eq!(ledger.size().0, 1);
}

/// A step of the random run. `Finish` and `Request` choose the outcome and the [`Past`] by number.
#[derive(Clone, Copy, Debug)]
enum Step {
  Claim(u128),
  Finish(u128, u8),
  Advance(u16),
  Request(u128, bool, u8),
}

fn step() -> impl Strategy<Value = Step> {
  let key = 0..12_u128;
  prop_oneof![
    1 => key.clone().prop_map(Step::Claim),
    6 => (key.clone(), 0..4_u8).prop_map(|(key, outcome_number)| Step::Finish(key, outcome_number)),
    1 => (0..400_u16).prop_map(Step::Advance),
    10 => (key, any::<bool>(), 0..4_u8).prop_map(|(key, first, earlier_runs)| Step::Request(key, first, earlier_runs)),
  ]
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

  /// Within the repeat window, a key may run again only after it was certainly not run.
  #[test]
  fn no_key_runs_twice_in_a_long_random_run(steps in prop::collection::vec(step(), 1..300)) {
    let settings = Settings { memory_max: 4000, ..Settings::default() };
    let mut ledger = Machine::new(settings);
    let mut now = Instant::now();
    let mut running: HashMap<u128, Instant> = HashMap::new();
    let mut ended_at: HashMap<u128, Instant> = HashMap::new();
    for step in steps {
      match step {
        Step::Claim(key) => {
          ledger.step(now, Event::Claimed(key));
        }
        Step::Finish(key, outcome_number) => {
          if running.remove(&key).is_none() {
            continue;
          }
          let outcome = match outcome_number {
            0 => Outcome::NotRun(Code::RequestSlotsFull),
            1 => Outcome::Unknown,
            _ => Outcome::Answered(answer(200)),
          };
          if outcome_number != 0 {
            ended_at.insert(key, now);
          }
          ledger.step(now, Event::Finished(key, outcome));
        }
        Step::Advance(seconds) => now += Duration::from_secs(seconds.into()),
        Step::Request(key, first, earlier_runs) => {
          let earlier_runs = [EarlierRuns::Clear, EarlierRuns::Clear, EarlierRuns::Lost, EarlierRuns::Unreachable][usize::from(earlier_runs)];
          if ledger.step(now, request(key, first, earlier_runs)) == Action::Run {
            prop_assert!(running.insert(key, now).is_none(), "a key ran while it was running");
            if let Some(at) = ended_at.get(&key) {
              prop_assert!(now.duration_since(*at) >= settings.window, "a key ran twice");
            }
          }
        }
      }
    }
  }
}
