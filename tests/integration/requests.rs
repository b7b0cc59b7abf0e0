//! Requests under faults and overload. Confirmations (`POST` requests with an idempotency key) run
//! at most once, and their statuses tell whether they ran. The home of a key is the agent that runs
//! its requests and caches the answer.

use {
  crate::support::{
    fleet::{Fleet, get},
    wait::until,
  },
  fallwell::{caller::Answer, code::Fault, standin::Plan},
  http::{Method, StatusCode},
  serde_json::Value,
  std::{collections::BTreeMap, time::Duration},
};

const STATUS_NOT_RUN: u16 = 503;
const STATUS_OUTCOME_UNKNOWN: u16 = 504;

/// The status of each attempt by key; `None` if there was no answer.
type Statuses = BTreeMap<String, Vec<Option<u16>>>;

/// Sends a confirmation over a new flow for each attempt until it succeeds; returns the status of
/// each attempt, `None` if there was no answer.
async fn confirm_with_retries(
  fleet: &Fleet,
  key: &str,
  work_ms: u64,
  attempts: u32,
) -> Vec<Option<u16>> {
  let mut statuses = Vec::new();
  for attempt in 1..=attempts {
    let answer = confirm_once(fleet, key, work_ms, attempt).await;
    let status = answer.ok().map(|answer| answer.status.as_u16());
    statuses.push(status);
    if status == Some(200) {
      return statuses;
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
  }
  statuses
}

async fn confirm_once(
  fleet: &Fleet,
  key: &str,
  work_ms: u64,
  attempt: u32,
) -> Result<Answer, Fault> {
  confirm_at(fleet, &format!("/confirm?work_ms={work_ms}"), key, attempt).await
}

async fn confirm_at(fleet: &Fleet, path: &str, key: &str, attempt: u32) -> Result<Answer, Fault> {
  let caller = fleet.try_caller(1).await?;
  let attempt = attempt.to_string();
  let headers = [
    ("idempotency-key", key),
    ("fallwell-attempt", attempt.as_str()),
  ];
  let timeout = Duration::from_secs(15);
  let request = caller.request(Method::POST, path, &headers, "parcel");
  let answer = tokio::time::timeout(timeout, request).await;
  caller.close().await;
  answer.map_err(|error| Fault::new(fallwell::Code::RequestOutcomeUnknown, error))?
}

/// How often each key ran, summed over the journals of the upstreams.
async fn run_counts(fleet: &Fleet, targets: u32) -> BTreeMap<String, u64> {
  let mut runs = BTreeMap::new();
  for target in 1..=targets {
    let journal = get(fleet.upstream_address(1, target), "/journal").await;
    for (key, count) in journal.as_object().expect("journal") {
      *runs.entry(key.clone()).or_insert(0) += count.as_u64().expect("count");
    }
  }
  runs
}

/// Asserts that no key ran more than once and that the statuses agree with the runs: a key that was
/// always refused did not run, and a key whose last attempt succeeded ran.
fn assert_truthful(statuses: &Statuses, runs: &BTreeMap<String, u64>) {
  let (mut duplicates, mut contradictions, mut succeeded, mut unknown) = (0, 0, 0, 0);
  for (key, statuses) in statuses {
    let count = runs.get(key).copied().unwrap_or(0);
    duplicates += u64::from(count > 1);
    let all_refused = statuses
      .iter()
      .all(|status| *status == Some(STATUS_NOT_RUN));
    contradictions += u64::from(all_refused && count > 0);
    contradictions += u64::from(statuses.last() == Some(&Some(200)) && count == 0);
    succeeded += u64::from(statuses.last() == Some(&Some(200)));
    unknown += u64::from(statuses.last() == Some(&Some(STATUS_OUTCOME_UNKNOWN)));
  }
  println!(
    "{} confirmations: {succeeded} succeeded, {unknown} ended with an unknown outcome; \
     {duplicates} ran more than once, {contradictions} contradict the runs",
    statuses.len()
  );
  assert_eq!(duplicates, 0, "{statuses:?} {runs:?}");
  assert_eq!(contradictions, 0, "{statuses:?} {runs:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_retried_confirmation_gets_the_same_answer_and_runs_once() {
  let fleet = Fleet::new().balancers(2).service(1, 3).start().await;
  let mut answers = Vec::new();
  for attempt in 1..=4 {
    let answer = confirm_once(&fleet, "key-1", 0, attempt).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    answers.push(answer.body);
  }
  answers.dedup();
  assert_eq!(answers.len(), 1);
  assert_eq!(run_counts(&fleet, 3).await["key-1"], 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_attempts_of_a_confirmation_run_once() {
  let fleet = Fleet::new().balancers(2).service(1, 3).start().await;
  let first = confirm_once(&fleet, "key-1", 3000, 1);
  let others = async {
    // Agents that have just started answer a retry that arrives before its first attempt with an
    // unknown outcome, so the retries wait until the first attempt runs.
    until("the first attempt runs", || async {
      run_counts(&fleet, 3).await.contains_key("key-1")
    })
    .await;
    let others = (2..=5).map(|attempt| confirm_once(&fleet, "key-1", 3000, attempt));
    futures::future::join_all(others).await
  };
  let (first, others) = tokio::join!(first, others);
  assert!(
    others
      .iter()
      .all(|answer| answer.as_ref().unwrap().status == StatusCode::OK)
  );
  let bodies = others
    .into_iter()
    .chain([first])
    .map(|answer| answer.unwrap().body);
  let mut bodies = bodies.collect::<Vec<_>>();
  bodies.dedup();
  assert_eq!(bodies.len(), 1);
  assert_eq!(run_counts(&fleet, 3).await["key-1"], 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_idempotency_key_reused_for_another_request_is_refused() {
  let fleet = Fleet::new().balancers(1).service(1, 2).start().await;
  let caller = fleet.caller(1).await;
  let headers = [("idempotency-key", "key-1"), ("fallwell-attempt", "1")];
  let answer = caller
    .request(Method::POST, "/confirm", &headers, "one")
    .await
    .unwrap();
  assert_eq!(answer.status, StatusCode::OK);
  let answer = caller
    .request(Method::POST, "/confirm", &headers, "two")
    .await
    .unwrap();
  assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
  assert_eq!(answer.headers["fallwell-code"], "311");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn confirmations_run_at_most_once_between_restarts_of_upstreams() {
  let mut fleet = Fleet::new().balancers(2).service(1, 3).start().await;
  let mut statuses = BTreeMap::new();
  for round in 0..3 {
    let keys = (0..10).map(|index| format!("key-{round}-{index}"));
    let keys = keys.collect::<Vec<_>>();
    let calls = keys
      .iter()
      .map(|key| confirm_with_retries(&fleet, key, 300, 3));
    let pause = async {
      tokio::time::sleep(Duration::from_millis(100 + 100 * round)).await;
    };
    let (outcomes, ()) = tokio::join!(futures::future::join_all(calls), pause);
    statuses.extend(keys.iter().cloned().zip(outcomes));
    // The journal is lost when the upstream is killed, so it is read before.
    if round < 2 {
      let runs = run_counts(&fleet, 3).await;
      assert_truthful(&statuses, &runs);
      statuses.clear();
      fleet.kill_upstream(1, 1 + round as u32);
      fleet.start_upstream(1, 1 + round as u32).await;
    }
  }
  assert_truthful(&statuses, &run_counts(&fleet, 3).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_run_at_most_once_while_agents_are_killed_and_restarted() {
  let mut fleet = Fleet::new().balancers(2).service(1, 4).start().await;
  let mut statuses = BTreeMap::new();
  for round in 0..4_u32 {
    let keys = (0..8).map(|index| format!("key-{round}-{index}"));
    let keys = keys.collect::<Vec<_>>();
    let victim = 1 + round % 4;
    fleet
      .agent(1, victim)
      .kill_after(Duration::from_millis(250));
    let calls = keys
      .iter()
      .map(|key| confirm_with_retries(&fleet, key, 200, 4));
    let outcomes = futures::future::join_all(calls).await;
    statuses.extend(keys.iter().cloned().zip(outcomes));
    fleet.agent(1, victim).wait(Duration::from_secs(5));
    fleet.start_agent(1, victim);
    fleet.wait_all_ready().await;
    // Retries after the restart of the agent must not run a key again.
    let calls = keys.iter().map(|key| confirm_once(&fleet, key, 200, 9));
    for answer in futures::future::join_all(calls).await.into_iter().flatten() {
      assert_ne!(answer.status.as_u16(), 500);
    }
  }
  let runs = run_counts(&fleet, 4).await;
  let duplicates = runs.values().filter(|count| **count > 1).count();
  println!("{} keys ran, {duplicates} more than once", runs.len());
  assert_eq!(duplicates, 0, "{runs:?}");
  assert!(runs.len() >= 16, "only {} of 32 ran", runs.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_run_at_most_once_while_an_agent_is_suspended_past_the_deadline() {
  let fleet = Fleet::new().balancers(2).service(1, 3).deadline_ms(1500);
  let mut fleet = fleet.start().await;
  let keys = (0..9)
    .map(|index| format!("key-{index}"))
    .collect::<Vec<_>>();
  fleet.agent(1, 2).suspend();
  let calls = keys
    .iter()
    .map(|key| confirm_with_retries(&fleet, key, 50, 2));
  let outcomes = futures::future::join_all(calls).await;
  fleet.agent(1, 2).resume();
  let statuses = keys
    .iter()
    .cloned()
    .zip(outcomes)
    .collect::<BTreeMap<_, _>>();
  // The resumed agent may still run queued requests.
  until("the resumed agent is idle", || async {
    fleet.agent_state(1, 2).await["path"]["running"] == 0
  })
  .await;
  let retries = keys.iter().map(|key| confirm_once(&fleet, key, 50, 9));
  futures::future::join_all(retries).await;
  assert_truthful(&statuses, &run_counts(&fleet, 3).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_run_at_most_once_while_an_added_target_changes_the_homes_of_keys() {
  let mut fleet = Fleet::new().balancers(2).service(1, 3).start().await;
  let keys = (0..24)
    .map(|index| format!("key-{index}"))
    .collect::<Vec<_>>();
  let calls = keys
    .iter()
    .map(|key| confirm_with_retries(&fleet, key, 100, 1));
  let mut statuses = BTreeMap::new();
  for (key, outcomes) in keys
    .iter()
    .cloned()
    .zip(futures::future::join_all(calls).await)
  {
    statuses.insert(key, outcomes);
  }
  fleet.targets(1).push(4);
  fleet.start_target(1, 4);
  let revision = fleet.publish(1).await;
  let calls = keys
    .iter()
    .map(|key| confirm_with_retries(&fleet, key, 100, 3));
  let outcomes = futures::future::join_all(calls).await;
  for (key, more) in keys.iter().zip(outcomes) {
    statuses.get_mut(key).expect("key").extend(more);
  }
  fleet.wait_accepting(1, 4, revision).await;
  let calls = keys.iter().map(|key| confirm_once(&fleet, key, 100, 9));
  for answer in futures::future::join_all(calls).await {
    assert_eq!(answer.unwrap().status, StatusCode::OK);
  }
  assert_truthful(&statuses, &run_counts(&fleet, 4).await);
}

/// With a single slot, two requests are queued when the agent is suspended, and their deadline has
/// passed when it resumes. The upstream blocks the first until then.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_agent_resumed_after_deadlines_runs_no_refused_request() {
  let fleet = Fleet::new().balancers(1).service(1, 1).slots(1);
  let fleet = fleet.deadline_ms(3000).start().await;
  let keys = (0..3)
    .map(|index| format!("key-{index}"))
    .collect::<Vec<_>>();
  let calls = keys
    .iter()
    .map(|key| confirm_at(&fleet, "/confirm?held=1", key, 1));
  let suspension = async {
    until("one request runs and two are queued", || async {
      let path = &fleet.agent_state(1, 1).await["path"];
      path["running"] == 1 && path["waiting"] == 2
    })
    .await;
    fleet.suspend_agent(1, 1);
    tokio::time::sleep(Duration::from_secs(4)).await;
    get(fleet.upstream_address(1, 1), "/release").await;
    fleet.resume_agent(1, 1);
  };
  let (answers, ()) = tokio::join!(futures::future::join_all(calls), suspension);
  let outcomes = answers
    .into_iter()
    .map(|answer| answer.ok().map(|answer| answer.status.as_u16()));
  let statuses = keys
    .iter()
    .cloned()
    .zip(outcomes.map(|status| vec![status]))
    .collect::<BTreeMap<_, _>>();
  let runs = run_counts(&fleet, 1).await;
  assert_truthful(&statuses, &runs);
  assert_eq!(runs.len(), 1, "{statuses:?} {runs:?}");
}

/// Sends a confirmation for each key and adds its status.
async fn confirm_all(fleet: &Fleet, keys: &[String], attempt: u32, statuses: &mut Statuses) {
  let calls = keys.iter().map(|key| confirm_once(fleet, key, 50, attempt));
  let answers = futures::future::join_all(calls).await;
  for (key, answer) in keys.iter().zip(answers) {
    let status = answer.ok().map(|answer| answer.status.as_u16());
    statuses.entry(key.clone()).or_default().push(status);
  }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_run_at_most_once_across_a_partition_with_two_configurations() {
  let fleet = Fleet::new().balancers(4).service(1, 4).deadline_ms(3000);
  let mut fleet = fleet.relayed().start().await;
  let mut cuts = fleet.cuts_between_balancers(&[1, 2], &[3, 4]);
  cuts.extend(fleet.cuts_to_agents(1, &[1, 2], &[3, 4]));
  cuts.extend(fleet.cuts_to_agents(1, &[3, 4], &[1, 2]));
  cuts.extend(fleet.cuts_between_agents(1, &[1, 2], &[3, 4]));
  cuts.extend([fleet.cut_from_platform(3), fleet.cut_from_platform(4)]);
  fleet
    .inject_faults(&Plan {
      cuts,
      ..Plan::default()
    })
    .await;
  // Balancers 3 and 4 do not learn that target 4 was removed, so the two sides of the partition can
  // disagree about the homes of keys.
  fleet.targets(1).retain(|target| *target != 4);
  let revision = fleet.publish(1).await;
  fleet.wait_in_force(&[1, 2], 1, revision).await;
  let keys = |name: &str| {
    (0..12)
      .map(|index| format!("{name}-{index}"))
      .collect::<Vec<_>>()
  };
  let (first_keys, second_keys) = (keys("here"), keys("there"));
  let mut statuses = BTreeMap::new();
  fleet.spray(1, &[1, 2]).await;
  confirm_all(&fleet, &first_keys, 1, &mut statuses).await;
  fleet.spray(1, &[3, 4]).await;
  confirm_all(&fleet, &second_keys, 1, &mut statuses).await;
  confirm_all(&fleet, &first_keys, 2, &mut statuses).await;
  fleet.spray(1, &[1, 2]).await;
  confirm_all(&fleet, &second_keys, 2, &mut statuses).await;
  fleet.inject_faults(&Plan::default()).await;
  fleet.spray(1, &[1, 2, 3, 4]).await;
  fleet.wait_in_force(&[3, 4], 1, revision).await;
  let all = first_keys
    .iter()
    .chain(&second_keys)
    .cloned()
    .collect::<Vec<_>>();
  confirm_all(&fleet, &all, 3, &mut statuses).await;
  let runs = run_counts(&fleet, 4).await;
  println!("{} of {} keys ran", runs.len(), all.len());
  assert_truthful(&statuses, &runs);
  assert!(runs.len() >= 6, "only {} ran", runs.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_beyond_the_queue_are_refused_with_a_retry_after_header() {
  let fleet = Fleet::new().balancers(1).service(1, 2).start().await;
  let caller = fleet.caller(1).await;
  // Each of the two targets has five slots and a queue of ten.
  let calls = (0..60).map(|_| {
    let caller = caller.clone();
    async move {
      let start = std::time::Instant::now();
      let path = "/confirm?work_ms=1500";
      let answer = caller
        .request(Method::POST, path, &[], "basket")
        .await
        .unwrap();
      (answer, start.elapsed())
    }
  });
  let mut refused = 0;
  for (answer, elapsed) in futures::future::join_all(calls).await {
    if answer.status == StatusCode::OK {
      continue;
    }
    refused += 1;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.headers["fallwell-code"], "304");
    let retry_after_s = answer.headers["retry-after"].to_str().unwrap();
    assert!(retry_after_s.parse::<u32>().unwrap() >= 1);
    let problem: Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(problem["code"], 304);
    println!("refused after {elapsed:?}");
  }
  assert!(refused >= 10, "{refused} refused");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_truncated_by_a_killed_upstream_ends_with_an_error() {
  let mut fleet = Fleet::new().balancers(1).service(1, 1).start().await;
  let caller = fleet.caller(1).await;
  let mut feed = caller.feed("/feed?interval_ms=20").await.unwrap();
  assert!(feed.next().await.unwrap().is_some());
  fleet.kill_upstream(1, 1);
  let end = loop {
    match feed.next().await {
      Ok(Some(_)) => {}
      end => break end,
    }
  };
  assert!(end.is_err(), "a truncated answer ended without an error");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_to_an_unreachable_upstream_is_refused_as_not_run() {
  let mut fleet = Fleet::new().balancers(1).service(1, 1).start().await;
  let caller = fleet.caller(1).await;
  fleet.kill_upstream(1, 1);
  let answer = caller
    .request(Method::POST, "/confirm", &[], "x")
    .await
    .unwrap();
  assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
  assert_eq!(answer.headers["fallwell-code"], "301");
}

/// Guards against an agent that stops reading a request once it has answered: a caller that ends
/// its request after that would fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_may_finish_its_request_after_the_answer() {
  let fleet = Fleet::new().balancers(1).service(1, 1).start().await;
  let caller = fleet.caller(1).await;
  let mut request = caller.begin(Method::GET, "/bytes?n=10").await.unwrap();
  assert_eq!(request.status().await.unwrap(), StatusCode::OK);
  request.finish().await.unwrap();
}
