use {
  bytes::Bytes,
  fallwell::{
    Code,
    ledger::{Action, Answer, Event, Machine, Outcome, Past, Settings},
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

fn request(key: u128, first: bool, past: Past) -> Event {
  Event::Request {
    fingerprint: 1,
    first,
    key,
    past,
  }
}

fn clear(key: u128) -> Event {
  request(key, false, Past::Clear)
}

#[test]
fn a_key_runs_once_and_is_answered_the_same_again() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  assert_eq!(ledger.step(now, clear(1)), Action::Run);
  assert_eq!(ledger.step(now, clear(1)), Action::Wait);
  ledger.step(now, Event::Finished(1, Outcome::Answered(answer(9))));
  assert_eq!(ledger.step(now, clear(1)), Action::Replay(answer(9)));
  assert_eq!(ledger.ran(), 1);
}

#[test]
fn another_request_under_the_same_key_is_refused() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  ledger.step(now, clear(1));
  let other = Event::Request {
    fingerprint: 2,
    first: false,
    key: 1,
    past: Past::Clear,
  };
  assert_eq!(ledger.step(now, other), Action::Conflict);
}

#[test]
fn an_unknown_outcome_stays_unknown_for_the_window() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  ledger.step(now, clear(1));
  ledger.step(now, Event::Finished(1, Outcome::Unknown));
  assert_eq!(ledger.step(now, clear(1)), Action::Unknown);
  let later = now + Duration::from_mins(11);
  assert_eq!(ledger.step(later, clear(1)), Action::Run);
}

#[test]
fn a_request_that_was_not_run_may_run_when_it_is_sent_again() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  ledger.step(now, clear(1));
  ledger.step(
    now,
    Event::Finished(1, Outcome::NotRun(Code::RequestSlotsFull)),
  );
  assert_eq!(ledger.step(now, clear(1)), Action::Run);
}

#[test]
fn after_a_lost_home_a_first_try_runs_and_a_retry_does_not() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  assert_eq!(ledger.step(now, request(1, true, Past::Lost)), Action::Run);
  assert_eq!(
    ledger.step(now, request(2, false, Past::Lost)),
    Action::Unknown
  );
}

#[test]
fn while_an_earlier_home_may_be_alive_nothing_runs() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  assert_eq!(
    ledger.step(now, request(1, true, Past::Unreachable)),
    Action::NotRun(Code::RequestHomeUnreachable)
  );
  assert_eq!(
    ledger.step(now, request(1, false, Past::Unreachable)),
    Action::Unknown
  );
  assert_eq!(ledger.ran(), 0);
}

#[test]
fn a_claimed_key_never_runs_here_again() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  assert_eq!(ledger.step(now, Event::Claimed(1)), Action::Nothing);
  assert_eq!(ledger.step(now, clear(1)), Action::Unknown);
}

#[test]
fn full_memory_refuses_new_keys_and_forgets_none() {
  let settings = Settings {
    memory_max: 2000,
    ..Settings::default()
  };
  let mut ledger = Machine::new(settings);
  let now = Instant::now();
  let mut run = Vec::new();
  for key in 0..100 {
    match ledger.step(now, clear(key)) {
      Action::Run => run.push(key),
      action => assert_eq!(action, Action::NotRun(Code::RequestLedgerFull)),
    }
  }
  assert!(!run.is_empty());
  for key in run {
    assert_eq!(ledger.step(now, clear(key)), Action::Wait);
  }
}

#[test]
fn an_answer_too_large_to_hold_still_keeps_its_key_from_running() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  ledger.step(now, clear(1));
  ledger.step(now, Event::Finished(1, Outcome::Answered(answer(1 << 20))));
  assert_eq!(ledger.step(now, clear(1)), Action::Unknown);
}

#[test]
fn memory_is_given_back_after_the_window() {
  let mut ledger = Machine::new(Settings::default());
  let now = Instant::now();
  for key in 0..1000 {
    ledger.step(now, clear(key));
    ledger.step(now, Event::Finished(key, Outcome::Answered(answer(100))));
  }
  ledger.step(now + Duration::from_mins(11), clear(5000));
  assert_eq!(ledger.size().0, 1);
}

/// One step of the random run: a key, and what happens to it.
#[derive(Clone, Copy, Debug)]
enum Step {
  Claim(u128),
  Finish(u128, u8),
  Pass(u16),
  Request(u128, bool, u8),
}

fn step() -> impl Strategy<Value = Step> {
  let key = 0..12_u128;
  prop_oneof![
    1 => key.clone().prop_map(Step::Claim),
    6 => (key.clone(), 0..4_u8).prop_map(|(key, how)| Step::Finish(key, how)),
    1 => (0..400_u16).prop_map(Step::Pass),
    10 => (key, any::<bool>(), 0..4_u8).prop_map(|(key, first, past)| Step::Request(key, first, past)),
  ]
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

  /// Within the window a key runs again only after it was certainly not run.
  #[test]
  fn no_key_runs_twice_in_a_long_random_run(steps in prop::collection::vec(step(), 1..300)) {
    let settings = Settings { memory_max: 4000, ..Settings::default() };
    let mut ledger = Machine::new(settings);
    let mut now = Instant::now();
    let mut running: HashMap<u128, Instant> = HashMap::new();
    let mut ended: HashMap<u128, Instant> = HashMap::new();
    for step in steps {
      match step {
        Step::Claim(key) => {
          ledger.step(now, Event::Claimed(key));
        }
        Step::Finish(key, how) => {
          if running.remove(&key).is_none() {
            continue;
          }
          let outcome = match how {
            0 => Outcome::NotRun(Code::RequestSlotsFull),
            1 => Outcome::Unknown,
            _ => Outcome::Answered(answer(200)),
          };
          if how != 0 {
            ended.insert(key, now);
          }
          ledger.step(now, Event::Finished(key, outcome));
        }
        Step::Pass(seconds) => now += Duration::from_secs(seconds.into()),
        Step::Request(key, first, past) => {
          let past = [Past::Clear, Past::Clear, Past::Lost, Past::Unreachable][usize::from(past)];
          if ledger.step(now, request(key, first, past)) == Action::Run {
            prop_assert!(running.insert(key, now).is_none(), "a running key ran");
            if let Some(at) = ended.get(&key) {
              prop_assert!(now.duration_since(*at) >= settings.window, "a key ran twice");
            }
          }
        }
      }
    }
  }
}
