//! A target that fails part of its requests answers those far sooner than the others, and looks idle.

use {
  crate::{
    balancing::{Balancer, balancer, carried, tell},
    plain::Packet,
    support::{Agent, agent, carry, flow, listed, news},
  },
  fallwell::{
    config::Presence,
    datagram::{Load, Machine, frame::Purpose},
  },
  rand::{RngExt, SeedableRng, rngs::SmallRng},
  std::time::Duration,
};

/// An error takes so long.
const ERROR: Duration = Duration::from_millis(1);

/// How many requests a target is given.
const REQUESTS: u16 = 200;

/// One request of a flow of its own that the upstream answers after `time`.
fn request(agent: &mut Agent, port: u16, time: Duration) {
  let open = Packet::open(flow(port, 1), 0);
  agent.frame(1, &carry(Purpose::Open), &open.write());
  agent.packet(Packet {
    sequence: 100,
    ..Packet::open(flow(port, 1), 1)
  });
  let data = Packet::data(flow(port, 1), 2, 101);
  agent.frame(1, &carry(Purpose::Deliver), &data.write());
  agent.now += time;
  agent.packet(Packet::data(flow(port, 1), 101, 12));
}

/// What an agent says after requests, each of which fails with such a chance.
fn told(failing: f64) -> Load {
  let mut agent = agent();
  let mut rng = SmallRng::seed_from_u64(7);
  for port in 1..=REQUESTS {
    // From 20 to 140 ms, most of them short.
    let work = 20.0 + 120.0 * rng.random::<f64>().powi(3);
    let fails = rng.random_bool(failing);
    let time = if fails {
      ERROR
    } else {
      Duration::from_secs_f64(work / 1000.0)
    };
    request(&mut agent, port, time);
  }
  load(&agent)
}

/// What an agent says of its upstream.
fn load(agent: &Agent) -> Load {
  let dump = agent.machine.dump(agent.now);
  serde_json::from_value(dump["load"].clone()).expect("load")
}

#[test]
fn an_agent_tells_how_many_requests_its_upstream_fails() {
  assert!(told(0.45).failed >= 25, "{:?}", told(0.45));
  assert!(told(0.0).failed < 5, "{:?}", told(0.0));
}

#[test]
fn an_upstream_that_is_given_nothing_gets_another_chance() {
  let mut agent = agent();
  for port in 1..=20 {
    request(&mut agent, port, Duration::from_millis(50));
  }
  for port in 21..=40 {
    request(&mut agent, port, ERROR);
  }
  assert!(load(&agent).failed > 80, "{:?}", load(&agent));
  agent.pass(Duration::from_secs(4));
  assert_eq!(load(&agent).failed, 0);
}

fn failing(failed: u8, work: u16) -> Load {
  Load {
    failed,
    service_ms: 50,
    work,
    ..Load::default()
  }
}

/// A balancer before three targets of service `a`; the first fails part of its requests.
fn before(failed: [u8; 3], work: [u16; 3]) -> Balancer {
  let mut balancer = balancer();
  let record = listed(5, "up-13", 13, "a", Presence::Live);
  balancer.platform(news(Some(4), 5, &[record]));
  for (host, (failed, work)) in (11..).zip(failed.into_iter().zip(work)) {
    tell(&mut balancer, host, 1, failing(failed, work));
  }
  balancer
}

fn placed(balancer: &mut Balancer) -> u8 {
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  carried(&sent)[0].0
}

#[test]
fn an_idle_target_that_fails_more_than_the_others_is_passed_over() {
  let mut balancer = before([40, 2, 3], [0, 3, 4]);
  assert_eq!(placed(&mut balancer), 12);
}

#[test]
fn where_others_are_too_busy_a_target_that_fails_some_is_better() {
  let mut balancer = before([40, 2, 3], [0, 40, 40]);
  assert_eq!(placed(&mut balancer), 11);
}

#[test]
fn where_all_fail_as_many_none_is_passed_over() {
  let mut balancer = before([40, 41, 39], [0, 3, 4]);
  assert_eq!(placed(&mut balancer), 11);
}
