//! Failures, restarts and configuration changes must not break open flows.

use {
  crate::support::{
    feeds::{Feed, Feeds},
    fleet::Fleet,
    wait::until,
  },
  fallwell::{config::Presence, standin::Plan},
  http::{Method, StatusCode},
  std::time::Duration,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_a_killed_balancer() {
  let mut fleet = Fleet::new().balancers(3).service(1, 3).start().await;
  let feeds = Feeds::open(&fleet, 1, 12).await;
  fleet.balancer(1).kill();
  feeds.wait_for_lines(20).await;
  feeds.assert_intact("a balancer killed").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_two_balancers_killed_at_once() {
  let mut fleet = Fleet::new().balancers(3).service(1, 3).start().await;
  let feeds = Feeds::open(&fleet, 1, 12).await;
  fleet.balancer(1).kill();
  fleet.balancer(3).kill();
  feeds.wait_for_lines(20).await;
  feeds.assert_intact("two balancers killed at once").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_a_balancer_suspended_for_ten_seconds() {
  let mut fleet = Fleet::new().balancers(3).service(1, 3).start().await;
  let feeds = Feeds::open(&fleet, 1, 12).await;
  fleet.balancer(2).suspend();
  tokio::time::sleep(Duration::from_secs(10)).await;
  feeds.wait_for_lines(5).await;
  fleet.balancer(2).resume();
  feeds
    .assert_intact("a balancer suspended and resumed")
    .await;
  let state = fleet.balancer_state(2).await;
  assert_eq!(state["config"]["reversions"], 0);
  assert_eq!(state["path"]["avoided"].as_array().unwrap().len(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_changes_of_the_callers_address() {
  let fleet = Fleet::new().balancers(3).service(1, 3).start().await;
  let feeds = Feeds::open(&fleet, 1, 8).await;
  for _ in 0..3 {
    for feed in &feeds.0 {
      feed.caller.rebind().unwrap();
    }
    feeds.wait_for_lines(5).await;
  }
  feeds
    .assert_intact("callers' addresses changed three times")
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_packet_loss_duplication_and_reordering() {
  let fleet = Fleet::new()
    .balancers(2)
    .service(1, 2)
    .relayed()
    .start()
    .await;
  let plan = Plan {
    delay_ms: 20,
    duplicate: 0.05,
    loss: 0.05,
    ..Plan::default()
  };
  fleet.inject_faults(&plan).await;
  let feeds = Feeds::open(&fleet, 1, 8).await;
  feeds.wait_for_lines(40).await;
  fleet.inject_faults(&Plan::default()).await;
  feeds
    .assert_intact("5% lost, 5% duplicated, delays up to 20 ms")
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_balancer_restarted_in_a_platform_outage_takes_the_configuration_of_its_peers() {
  let mut fleet = Fleet::new().balancers(2).service(1, 2).start().await;
  fleet.platform_condition("stale").await;
  fleet.targets(1).push(3);
  let revision = fleet.publish(1).await;
  // A stale platform answers with the documents before the change, so balancers receive the change
  // only once it is up again.
  fleet.platform_condition("up").await;
  fleet.wait_in_force(&[1, 2], 1, revision).await;
  fleet.start_target(1, 3);
  fleet.wait_all_ready().await;
  let feeds = Feeds::open(&fleet, 1, 12).await;
  fleet.platform_condition("down").await;
  fleet.balancer(1).kill();
  fleet.start_balancer(1);
  fleet.wait_all_ready().await;
  fleet.spray(1, &[1]).await;
  feeds.wait_for_lines(10).await;
  feeds
    .assert_intact("a balancer restarted in a platform outage")
    .await;
  let state = fleet.balancer_state(1).await;
  assert_eq!(state["config"]["services"][0]["revision"], revision);
  let newer = Feeds::open(&fleet, 1, 4).await;
  newer
    .assert_intact("flows opened through the restarted balancer alone")
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_platform_restored_from_a_stale_copy_reverts_no_configuration() {
  let mut fleet = Fleet::new().balancers(2).service(1, 2).start().await;
  let previous_document = serde_json::json!(fleet.document(1)).to_string();
  fleet.targets(1).push(3);
  let revision = fleet.publish(1).await;
  fleet.wait_in_force(&[1, 2], 1, revision).await;
  fleet.start_target(1, 3);
  fleet.wait_all_ready().await;
  fleet.replace_platform(1, &previous_document).await;
  fleet.balancer(1).kill();
  fleet.start_balancer(1);
  fleet.wait_all_ready().await;
  fleet.wait_for_platform_reads(3).await;
  for number in [1, 2] {
    let state = fleet.balancer_state(number).await;
    assert_eq!(state["config"]["services"][0]["revision"], revision);
    assert_eq!(state["config"]["reversions"], 0);
  }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_target_keeps_its_flows_when_a_balancer_is_killed() {
  let mut fleet = Fleet::new()
    .balancers(3)
    .service(1, 3)
    .drain_s(60)
    .start()
    .await;
  let mut feeds = Feeds::open(&fleet, 1, 12).await;
  let draining = feeds.0[0].target();
  fleet.agent(1, draining).stop();
  fleet.balancer(1).kill();
  fleet.wait_draining(1, draining).await;
  feeds.wait_for_lines(20).await;
  feeds
    .assert_intact("a target draining, a balancer killed")
    .await;

  for _ in 0..8 {
    let feed = Feed::open(&fleet, 1).await;
    assert_ne!(
      feed.target(),
      draining,
      "a draining target accepted a new flow"
    );
    feeds.0.push(feed);
  }
  let (closing, remaining): (Vec<_>, Vec<_>) = feeds
    .0
    .into_iter()
    .partition(|feed| feed.target() == draining);
  for feed in closing {
    feed.caller.close().await;
  }
  // If the connection close of a caller is lost at the killed balancer, its flow ends by the idle
  // timeout of 60 s.
  let status = fleet.agent(1, draining).wait(Duration::from_secs(100));
  assert!(status.success(), "the drained agent exited with {status}");
  Feeds(remaining)
    .assert_intact("flows of the other targets")
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn graceful_shutdown_of_an_agent_completes_running_requests() {
  let mut fleet = Fleet::new().balancers(2).service(1, 2).start().await;
  let feed = Feed::open(&fleet, 1).await;
  let target = feed.target();
  let request = {
    let caller = feed.caller.clone();
    tokio::spawn(async move {
      caller
        .request(Method::POST, "/confirm?work_ms=2000", &[], "basket")
        .await
    })
  };
  fleet.wait_for_requests(1, target, 2).await;
  fleet.agent(1, target).stop();
  let answer = request.await.unwrap().unwrap();
  assert_eq!(answer.status, StatusCode::OK);
  feed.caller.close().await;
  let status = fleet.agent(1, target).wait(Duration::from_secs(20));
  assert!(status.success());
}

/// Guards against callers that wait without a word, until their handshakes time out, for a service
/// whose targets are all leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_flows_are_refused_while_all_targets_drain() {
  let mut fleet = Fleet::new()
    .balancers(2)
    .service(1, 2)
    .drain_s(60)
    .start()
    .await;
  let feeds = Feeds::open(&fleet, 1, 6).await;
  for target in [1, 2] {
    fleet.agent(1, target).stop();
    fleet.wait_draining(1, target).await;
  }
  for _ in 0..4 {
    let fault = fleet.try_caller(1).await.err().expect("no new flow");
    assert!(fault.detail.contains("refused"), "{fault}");
  }
  feeds.assert_intact("all targets draining").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_a_balancer_with_outdated_configuration() {
  let mut fleet = Fleet::new()
    .balancers(3)
    .service(1, 3)
    .relayed()
    .start()
    .await;
  let feeds = Feeds::open(&fleet, 1, 9).await;
  // Balancer 3 gets updates neither from its peers nor from the platform, and keeps serving.
  let mut cuts = fleet.cuts_between_balancers(&[3], &[1, 2]);
  cuts.push(fleet.cut_from_platform(3));
  fleet
    .inject_faults(&Plan {
      cuts,
      ..Plan::default()
    })
    .await;
  fleet.targets(1).push(4);
  let revision = fleet.publish(1).await;
  fleet.wait_in_force(&[1, 2], 1, revision).await;
  fleet.start_target(1, 4);
  fleet.wait_all_ready().await;
  fleet.wait_accepting(1, 4, revision).await;
  fleet.spray(1, &[1, 2]).await;
  let newer = Feeds::open(&fleet, 1, 16).await;
  assert!(
    newer.0.iter().any(|feed| feed.target() == 4),
    "target 4 accepted no flow"
  );
  fleet.spray(1, &[1, 2, 3]).await;
  feeds
    .assert_intact("older flows, a balancer with outdated configuration")
    .await;
  newer
    .assert_intact("newer flows, a balancer with outdated configuration")
    .await;
  fleet.inject_faults(&Plan::default()).await;
  fleet.wait_in_force(&[3], 1, revision).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_and_open_during_a_network_partition() {
  let fleet = Fleet::new()
    .balancers(4)
    .service(1, 4)
    .relayed()
    .start()
    .await;
  let feeds = Feeds::open(&fleet, 1, 12).await;
  let mut cuts = fleet.cuts_between_balancers(&[1, 2], &[3, 4]);
  cuts.extend(fleet.cuts_to_agents(1, &[1, 2], &[3, 4]));
  cuts.extend(fleet.cuts_to_agents(1, &[3, 4], &[1, 2]));
  fleet
    .inject_faults(&Plan {
      cuts,
      ..Plan::default()
    })
    .await;
  // About half of the packets of each flow reach a balancer that is cut off from the flow's target.
  feeds.wait_for_lines(40).await;
  assert_eq!(feeds.broken(), 0);
  let newer = Feeds::open(&fleet, 1, 6).await;
  newer
    .assert_intact("flows opened during the partition")
    .await;
  fleet.inject_faults(&Plan::default()).await;
  newer
    .assert_intact("flows opened during the partition, after its end")
    .await;
  feeds
    .assert_intact("flows opened before the partition, after its end")
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_a_rolling_restart_of_balancers() {
  let mut fleet = Fleet::new().balancers(2).service(1, 2).start().await;
  let feeds = Feeds::open(&fleet, 1, 8).await;
  for number in [1, 2, 1, 2] {
    fleet.publish_balancer(number, Presence::Leaving).await;
    fleet.balancer(number).stop();
    let other = 3 - number;
    fleet.spray(1, &[other]).await;
    let status = fleet.balancer(number).wait(Duration::from_secs(20));
    assert!(status.success());
    fleet.publish_balancer(number, Presence::Live).await;
    fleet.start_balancer(number);
    fleet.wait_all_ready().await;
    fleet.spray(1, &[1, 2]).await;
    feeds.wait_for_lines(5).await;
  }
  feeds.assert_intact("each balancer restarted twice").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_rotation_of_certificate_and_tag_key() {
  let mut fleet = Fleet::new().balancers(2).service(1, 2).start().await;
  let feeds = Feeds::open(&fleet, 1, 8).await;
  fleet.renew_certificate();
  for target in [1, 2] {
    fleet.agent(1, target).reload();
  }
  until("a flow opens with the new certificate", || async {
    let caller = fleet.try_caller(1).await;
    caller.is_ok()
  })
  .await;
  let keyring = fleet.keyring();
  keyring.secrets.push(fallwell::config::Secret {
    id: 2,
    value: "f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff".into(),
  });
  fleet.publish_keyring().await;
  fleet.keyring().current = 2;
  fleet.publish_keyring().await;
  feeds
    .assert_intact("flows of the previous certificate and tag key")
    .await;
  let newer = Feeds::open(&fleet, 1, 8).await;
  newer
    .assert_intact("flows of the new certificate and tag key")
    .await;
  feeds
    .assert_intact("flows of the previous certificate and tag key, again")
    .await;
}
