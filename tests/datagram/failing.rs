//! A target that fails some requests answers these quickly and looks idle. It must not attract more
//! flows for that.

use {
  crate::{
    balancing::{Balancer, balancer, carried, feed_status},
    plain::Packet,
    support::{Agent, agent, carry, flow, listed, update},
  },
  fallwell::{
    config::Presence,
    datagram::{Load, Machine, frame::Handling},
  },
  rand::{RngExt, SeedableRng, rngs::SmallRng},
  std::time::Duration,
};

/// How long a failed request takes.
const ERROR_TIME: Duration = Duration::from_millis(1);

/// How many requests the upstream is given.
const REQUESTS: u16 = 200;

/// Sends a request in a new flow, which the upstream answers after `time`.
fn request(agent: &mut Agent, port: u16, time: Duration) {
  let open = Packet::open(flow(port, 1), 0);
  agent.frame(1, &carry(Handling::Open), &open.write());
  agent.packet(Packet {
    sequence: 100,
    ..Packet::open(flow(port, 1), 1)
  });
  let data = Packet::data(flow(port, 1), 2, 101);
  agent.frame(1, &carry(Handling::Deliver), &data.write());
  agent.now += time;
  agent.packet(Packet::data(flow(port, 1), 101, 12));
}

/// The load that an agent reports after requests that fail with the given probability.
fn load_after_failures(failing: f64) -> Load {
  let mut agent = agent();
  let mut rng = SmallRng::seed_from_u64(7);
  for port in 1..=REQUESTS {
    // From 20 to 140 ms, mostly short.
    let work = 20.0 + 120.0 * rng.random::<f64>().powi(3);
    let fails = rng.random_bool(failing);
    let time = if fails {
      ERROR_TIME
    } else {
      Duration::from_secs_f64(work / 1000.0)
    };
    request(&mut agent, port, time);
  }
  load(&agent)
}

/// The load that an agent reports.
fn load(agent: &Agent) -> Load {
  let dump = agent.machine.dump(agent.now);
  serde_json::from_value(dump["load"].clone()).expect("load")
}

#[test]
fn an_agent_reports_the_share_of_failed_requests() {
  assert!(
    load_after_failures(0.45).failed >= 25,
    "{:?}",
    load_after_failures(0.45)
  );
  assert!(
    load_after_failures(0.0).failed < 5,
    "{:?}",
    load_after_failures(0.0)
  );
}

#[test]
fn failures_of_an_upstream_without_requests_expire() {
  let mut agent = agent();
  for port in 1..=20 {
    request(&mut agent, port, Duration::from_millis(50));
  }
  for port in 21..=40 {
    request(&mut agent, port, ERROR_TIME);
  }
  assert!(load(&agent).failed > 80, "{:?}", load(&agent));
  agent.pass(Duration::from_secs(4));
  assert_eq!(load(&agent).failed, 0);
}

fn load_of(failed: u8, work: u16) -> Load {
  Load {
    failed,
    service_ms: 50,
    work,
    ..Load::default()
  }
}

/// A balancer with three targets of service `a` that report these percentages of failed requests
/// and requests in flight.
fn balancer_with_targets(failed: [u8; 3], work: [u16; 3]) -> Balancer {
  let mut balancer = balancer();
  let record = listed(5, "up-13", 13, "a", Presence::Live);
  balancer.platform(update(Some(4), 5, &[record]));
  for (host, (failed, work)) in (11..).zip(failed.into_iter().zip(work)) {
    feed_status(&mut balancer, host, 1, load_of(failed, work));
  }
  balancer
}

fn chosen_target(balancer: &mut Balancer) -> u8 {
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  carried(&sent)[0].0
}

#[test]
fn a_target_that_fails_more_requests_than_the_others_is_avoided() {
  let mut balancer = balancer_with_targets([40, 2, 3], [0, 3, 4]);
  assert_eq!(chosen_target(&mut balancer), 12);
}

#[test]
fn a_failing_target_is_chosen_where_the_others_are_too_busy() {
  let mut balancer = balancer_with_targets([40, 2, 3], [0, 40, 40]);
  assert_eq!(chosen_target(&mut balancer), 11);
}

#[test]
fn no_target_is_avoided_where_all_fail_at_similar_rates() {
  let mut balancer = balancer_with_targets([40, 41, 39], [0, 3, 4]);
  assert_eq!(chosen_target(&mut balancer), 11);
}
