//! Confirmations: run at most once, refused truthfully, answered whole.

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

const NOT_RUN: u16 = 503;
const UNKNOWN: u16 = 504;

/// A confirmation that is sent until it is answered, as a rider's phone does: over a new flow each
/// time, marked by its attempt.
async fn confirm(fleet: &Fleet, key: &str, work_ms: u64, attempts: u32) -> Vec<Option<u16>> {
  let mut told = Vec::new();
  for attempt in 1..=attempts {
    let answer = confirm_once(fleet, key, work_ms, attempt).await;
    let status = answer.ok().map(|answer| answer.status.as_u16());
    told.push(status);
    if status == Some(200) {
      return told;
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
  }
  told
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
  let limit = Duration::from_secs(15);
  let request = caller.request(Method::POST, path, &headers, "parcel");
  let answer = tokio::time::timeout(limit, request).await;
  caller.close().await;
  answer.map_err(|error| Fault::new(fallwell::Code::RequestOutcomeUnknown, error))?
}

/// What all upstreams ran, by key.
async fn journal(fleet: &Fleet, targets: u32) -> BTreeMap<String, u64> {
  let mut all = BTreeMap::new();
  for target in 1..=targets {
    let journal = get(fleet.upstream_address(1, target), "/journal").await;
    for (key, count) in journal.as_object().expect("journal") {
      *all.entry(key.clone()).or_insert(0) += count.as_u64().expect("count");
    }
  }
  all
}

/// Compares what callers were told with what was run.
fn assert_truthful(told: &BTreeMap<String, Vec<Option<u16>>>, journal: &BTreeMap<String, u64>) {
  let (mut twice, mut untrue, mut answered, mut unknown) = (0, 0, 0, 0);
  for (key, words) in told {
    let ran = journal.get(key).copied().unwrap_or(0);
    twice += u64::from(ran > 1);
    let all_not_run = words.iter().all(|word| *word == Some(NOT_RUN));
    untrue += u64::from(all_not_run && ran > 0);
    untrue += u64::from(words.last() == Some(&Some(200)) && ran == 0);
    answered += u64::from(words.last() == Some(&Some(200)));
    unknown += u64::from(words.last() == Some(&Some(UNKNOWN)));
  }
  println!(
    "{} confirmations: {answered} answered, {unknown} unknown at last; run twice {twice}, untrue words {untrue}",
    told.len()
  );
  assert_eq!(twice, 0, "{told:?} {journal:?}");
  assert_eq!(untrue, 0, "{told:?} {journal:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_confirmation_that_is_sent_again_is_answered_the_same_and_run_once() {
  let fleet = Fleet::new().balancers(2).service(1, 3).start().await;
  let mut answers = Vec::new();
  for attempt in 1..=4 {
    let answer = confirm_once(&fleet, "key-1", 0, attempt).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    answers.push(answer.body);
  }
  answers.dedup();
  assert_eq!(answers.len(), 1);
  assert_eq!(journal(&fleet, 3).await["key-1"], 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn confirmations_sent_at_the_same_time_through_many_flows_run_once() {
  let fleet = Fleet::new().balancers(2).service(1, 3).start().await;
  let first = confirm_once(&fleet, "key-1", 3000, 1);
  let others = async {
    // A retry that overtakes its first try is told that the outcome is unknown: the agents have
    // just started. These come while it runs.
    until("the first try runs", || async {
      journal(&fleet, 3).await.contains_key("key-1")
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
  assert_eq!(journal(&fleet, 3).await["key-1"], 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_used_for_another_request_is_refused() {
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
async fn upstreams_killed_while_confirmations_run_double_none() {
  let mut fleet = Fleet::new().balancers(2).service(1, 3).start().await;
  let mut told = BTreeMap::new();
  for round in 0..3 {
    let keys = (0..10).map(|index| format!("key-{round}-{index}"));
    let keys = keys.collect::<Vec<_>>();
    let calls = keys.iter().map(|key| confirm(&fleet, key, 300, 3));
    let killed = async {
      tokio::time::sleep(Duration::from_millis(100 + 100 * round)).await;
    };
    let (words, ()) = tokio::join!(futures::future::join_all(calls), killed);
    told.extend(keys.iter().cloned().zip(words));
    // The upstream forgets its journal with its life: what it ran is read before.
    if round < 2 {
      let before = journal(&fleet, 3).await;
      assert_truthful(&told, &before);
      told.clear();
      fleet.kill_upstream(1, 1 + round as u32);
      fleet.start_upstream(1, 1 + round as u32).await;
    }
  }
  assert_truthful(&told, &journal(&fleet, 3).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn homes_killed_and_started_again_while_callers_retry_double_none() {
  let mut fleet = Fleet::new().balancers(2).service(1, 4).start().await;
  let mut told = BTreeMap::new();
  for round in 0..4_u32 {
    let keys = (0..8).map(|index| format!("key-{round}-{index}"));
    let keys = keys.collect::<Vec<_>>();
    let victim = 1 + round % 4;
    fleet.agent(1, victim).kill_soon(Duration::from_millis(250));
    let calls = keys.iter().map(|key| confirm(&fleet, key, 200, 4));
    let words = futures::future::join_all(calls).await;
    told.extend(keys.iter().cloned().zip(words));
    fleet.agent(1, victim).wait(Duration::from_secs(5));
    fleet.start_agent(1, victim);
    fleet.ready().await;
    // Asked again after the home's return: still not run twice.
    let calls = keys.iter().map(|key| confirm_once(&fleet, key, 200, 9));
    for answer in futures::future::join_all(calls).await.into_iter().flatten() {
      assert_ne!(answer.status.as_u16(), 500);
    }
  }
  let journal = journal(&fleet, 4).await;
  let twice = journal.values().filter(|count| **count > 1).count();
  println!("{} keys run, {twice} twice", journal.len());
  assert_eq!(twice, 0, "{journal:?}");
  assert!(journal.len() >= 16, "only {} of 32 ran", journal.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn homes_frozen_past_the_deadline_double_none() {
  let fleet = Fleet::new().balancers(2).service(1, 3).deadline_ms(1500);
  let mut fleet = fleet.start().await;
  let keys = (0..9)
    .map(|index| format!("key-{index}"))
    .collect::<Vec<_>>();
  fleet.agent(1, 2).freeze();
  let calls = keys.iter().map(|key| confirm(&fleet, key, 50, 2));
  let words = futures::future::join_all(calls).await;
  fleet.agent(1, 2).thaw();
  let told = keys.iter().cloned().zip(words).collect::<BTreeMap<_, _>>();
  // The thawed home may still run what it holds: wait until it is at rest.
  until("the thawed home is at rest", || async {
    fleet.agent_state(1, 2).await["path"]["running"] == 0
  })
  .await;
  let again = keys.iter().map(|key| confirm_once(&fleet, key, 50, 9));
  futures::future::join_all(again).await;
  assert_truthful(&told, &journal(&fleet, 3).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn configuration_that_moves_homes_while_retries_are_in_flight_doubles_none() {
  let mut fleet = Fleet::new().balancers(2).service(1, 3).start().await;
  let keys = (0..24)
    .map(|index| format!("key-{index}"))
    .collect::<Vec<_>>();
  let calls = keys.iter().map(|key| confirm(&fleet, key, 100, 1));
  let mut told = BTreeMap::new();
  for (key, words) in keys
    .iter()
    .cloned()
    .zip(futures::future::join_all(calls).await)
  {
    told.insert(key, words);
  }
  fleet.targets(1).push(4);
  fleet.start_target(1, 4);
  let revision = fleet.publish(1).await;
  let calls = keys.iter().map(|key| confirm(&fleet, key, 100, 3));
  let words = futures::future::join_all(calls).await;
  for (key, more) in keys.iter().zip(words) {
    told.get_mut(key).expect("key").extend(more);
  }
  fleet.wait_taking(1, 4, revision).await;
  let calls = keys.iter().map(|key| confirm_once(&fleet, key, 100, 9));
  for answer in futures::future::join_all(calls).await {
    assert_eq!(answer.unwrap().status, StatusCode::OK);
  }
  assert_truthful(&told, &journal(&fleet, 4).await);
}

/// One slot: the others wait when the agent freezes, and their time is over when it thaws. The first
/// is held by the upstream, so that it cannot end before the agent freezes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_agent_that_slept_through_deadlines_runs_nothing_that_it_refuses() {
  let fleet = Fleet::new().balancers(1).service(1, 1).slots(1);
  let fleet = fleet.deadline_ms(3000).start().await;
  let keys = (0..3)
    .map(|index| format!("key-{index}"))
    .collect::<Vec<_>>();
  let calls = keys
    .iter()
    .map(|key| confirm_at(&fleet, "/confirm?held=1", key, 1));
  let frozen = async {
    until("one runs and two wait", || async {
      let path = &fleet.agent_state(1, 1).await["path"];
      path["running"] == 1 && path["waiting"] == 2
    })
    .await;
    fleet.freeze_agent(1, 1);
    tokio::time::sleep(Duration::from_secs(4)).await;
    get(fleet.upstream_address(1, 1), "/release").await;
    fleet.thaw_agent(1, 1);
  };
  let (answers, ()) = tokio::join!(futures::future::join_all(calls), frozen);
  let words = answers
    .into_iter()
    .map(|answer| answer.ok().map(|answer| answer.status.as_u16()));
  let told = keys
    .iter()
    .cloned()
    .zip(words.map(|word| vec![word]))
    .collect::<BTreeMap<_, _>>();
  let journal = journal(&fleet, 1).await;
  assert_truthful(&told, &journal);
  assert_eq!(journal.len(), 1, "{told:?} {journal:?}");
}

/// Sends each key once through the balancers that the fabric sprays to now.
async fn confirm_all(
  fleet: &Fleet,
  keys: &[String],
  attempt: u32,
  told: &mut BTreeMap<String, Vec<Option<u16>>>,
) {
  let calls = keys.iter().map(|key| confirm_once(fleet, key, 50, attempt));
  let answers = futures::future::join_all(calls).await;
  for (key, answer) in keys.iter().zip(answers) {
    let status = answer.ok().map(|answer| answer.status.as_u16());
    told.entry(key.clone()).or_default().push(status);
  }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn halves_apart_with_two_configurations_double_no_confirmation() {
  let fleet = Fleet::new().balancers(4).service(1, 4).deadline_ms(3000);
  let mut fleet = fleet.relayed().start().await;
  let mut cuts = fleet.cuts_between_balancers(&[1, 2], &[3, 4]);
  cuts.extend(fleet.cuts_to_agents(1, &[1, 2], &[3, 4]));
  cuts.extend(fleet.cuts_to_agents(1, &[3, 4], &[1, 2]));
  cuts.extend(fleet.cuts_between_agents(1, &[1, 2], &[3, 4]));
  cuts.extend([fleet.cut_from_platform(3), fleet.cut_from_platform(4)]);
  fleet
    .plan(&Plan {
      cuts,
      ..Plan::default()
    })
    .await;
  // One half hears that target 4 is gone: homes move there, and not in the other half.
  fleet.targets(1).retain(|target| *target != 4);
  let revision = fleet.publish(1).await;
  fleet.wait_in_force(&[1, 2], 1, revision).await;
  let keys = |name: &str| {
    (0..12)
      .map(|index| format!("{name}-{index}"))
      .collect::<Vec<_>>()
  };
  let (here, there) = (keys("here"), keys("there"));
  let mut told = BTreeMap::new();
  fleet.spray(1, &[1, 2]).await;
  confirm_all(&fleet, &here, 1, &mut told).await;
  fleet.spray(1, &[3, 4]).await;
  confirm_all(&fleet, &there, 1, &mut told).await;
  confirm_all(&fleet, &here, 2, &mut told).await;
  fleet.spray(1, &[1, 2]).await;
  confirm_all(&fleet, &there, 2, &mut told).await;
  fleet.plan(&Plan::default()).await;
  fleet.spray(1, &[1, 2, 3, 4]).await;
  fleet.wait_in_force(&[3, 4], 1, revision).await;
  let all = here.iter().chain(&there).cloned().collect::<Vec<_>>();
  confirm_all(&fleet, &all, 3, &mut told).await;
  let journal = journal(&fleet, 4).await;
  println!("{} of {} keys ran", journal.len(), all.len());
  assert_truthful(&told, &journal);
  assert!(journal.len() >= 6, "only {} ran", journal.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn more_than_fits_is_told_at_once_when_to_come_back() {
  let fleet = Fleet::new().balancers(1).service(1, 2).start().await;
  let caller = fleet.caller(1).await;
  // Two targets of five slots and ten places to wait each.
  let calls = (0..60).map(|_| {
    let caller = caller.clone();
    async move {
      let begun = std::time::Instant::now();
      let path = "/confirm?work_ms=1500";
      let answer = caller
        .request(Method::POST, path, &[], "basket")
        .await
        .unwrap();
      (answer, begun.elapsed())
    }
  });
  let mut refused = 0;
  for (answer, took) in futures::future::join_all(calls).await {
    if answer.status == StatusCode::OK {
      continue;
    }
    refused += 1;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.headers["fallwell-code"], "304");
    let come_back = answer.headers["retry-after"].to_str().unwrap();
    assert!(come_back.parse::<u32>().unwrap() >= 1);
    let problem: Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(problem["code"], 304);
    println!("refused after {took:?}");
  }
  assert!(refused >= 10, "{refused} refused");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_cut_by_a_dying_upstream_is_not_passed_off_as_whole() {
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
  assert!(end.is_err(), "a cut answer ended as if it were whole");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dead_upstream_means_not_run() {
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

/// An agent that closed its side of a request early had the caller's end of it fail: found when a
/// loaded machine sent the end of a GET in a packet of its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_end_comes_after_its_answer_is_whole() {
  let fleet = Fleet::new().balancers(1).service(1, 1).start().await;
  let caller = fleet.caller(1).await;
  let mut request = caller.begin(Method::GET, "/bytes?n=10").await.unwrap();
  assert_eq!(request.status().await.unwrap(), StatusCode::OK);
  request.finish().await.unwrap();
}
