//! An upstream that starts again under its name holds nothing from before, and a flow that it has
//! forgotten is over at once.

use {
  crate::{
    balancing::{balancer, carried, is_reset, search, tell},
    plain::{Kind, Packet},
    support::{Agent, Sent, agent, carry, flow, found, listed, news, upstream},
  },
  assert_matches::assert_matches,
  fallwell::{
    config::Presence,
    datagram::{
      Catalog, Frame, Load, Machine, Record,
      frame::{Known, Purpose},
      target::Born,
    },
  },
  std::time::{Duration, Instant},
};

/// The record of a run of an upstream.
fn run(revision: u64, id: &str, host: u8, born: u64) -> Record {
  let mut record = listed(revision, id, host, "a", Presence::Live);
  if let Record::Target {
    target: Some(target),
    ..
  } = &mut record
  {
    target.born = Some(Born(born));
  }
  record
}

#[test]
fn a_late_word_of_a_run_before_changes_nothing() {
  let now = Instant::now();
  let mut catalog = Catalog::default();
  catalog.offer(now, news(None, 2, &[run(2, "up", 9, 200)]));
  let mut late = run(3, "up", 9, 100);
  if let Record::Target {
    target: Some(target),
    ..
  } = &mut late
  {
    target.presence = Presence::Leaving;
  }
  let change = catalog.offer(now, news(Some(2), 3, &[late]));
  assert!(change.is_empty(), "{change:?}");
  let (_, entry) = catalog.at(upstream(9)).expect("listed");
  assert_eq!(entry.target.presence, Presence::Live);
}

#[test]
fn a_run_without_its_start_is_taken_as_it_comes() {
  let now = Instant::now();
  let mut catalog = Catalog::default();
  catalog.offer(now, news(None, 2, &[run(2, "up", 9, 200)]));
  let record = listed(3, "up", 9, "a", Presence::Leaving);
  let change = catalog.offer(now, news(Some(2), 3, &[record]));
  assert_eq!(change.targets.len(), 1);
}

/// An agent whose upstream has opened `flow(1, 1)` and answered a request in it.
fn with_flow() -> Agent {
  let mut agent = agent();
  agent.platform(news(Some(2), 3, &[run(3, "up", 9, 100)]));
  agent.frame(
    1,
    &carry(Purpose::Open),
    &Packet::open(flow(1, 1), 0).write(),
  );
  agent.packet(Packet::answer(flow(1, 1), 100));
  let request = Packet::data(flow(1, 1), 2, 101);
  agent.frame(1, &carry(Purpose::Deliver), &request.write());
  agent
}

/// The work that an agent tells of.
fn work(agent: &Agent) -> u64 {
  let work = &agent.machine.dump(agent.now)["load"]["work"];
  work.as_u64().expect("a number")
}

#[test]
fn what_a_run_before_had_to_do_is_forgotten() {
  let mut agent = with_flow();
  assert_eq!(work(&agent), 1);
  agent.platform(news(Some(3), 4, &[run(4, "up", 9, 200)]));
  assert_eq!(work(&agent), 0);
}

#[test]
fn a_word_of_the_same_run_changes_nothing_of_its_work() {
  let mut agent = with_flow();
  agent.platform(news(Some(3), 4, &[run(4, "up", 9, 100)]));
  assert_eq!(work(&agent), 1);
}

#[test]
fn a_flow_that_its_upstream_has_forgotten_is_said_to_be_lost() {
  let mut agent = with_flow();
  let sent = agent.packet(Packet::data(flow(1, 1), 2, 101).returned());
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Absent { lost: true, .. }, _)]
  );
}

#[test]
fn a_flow_that_the_upstream_may_never_have_had_is_not_said_to_be_lost() {
  let mut agent = agent();
  // A balancer believes that it is here.
  let held = Frame::Held {
    flows: vec![flow(1, 1)],
  };
  agent.frame(1, &held, &[]);
  let packet = Packet::data(flow(1, 1), 2, 101);
  agent.frame(1, &carry(Purpose::Deliver), &packet.write());
  let sent = agent.packet(packet.returned());
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Absent { lost: false, .. }, _)]
  );
}

#[test]
fn a_flow_that_another_opening_packet_began_anew_is_not_said_to_be_lost() {
  let mut agent = with_flow();
  agent.packet(Packet::answer(flow(1, 1), 7000));
  let sent = agent.packet(Packet::data(flow(1, 1), 2, 101).returned());
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Absent { lost: false, .. }, _)]
  );
}

/// The word that `flow(1, 1)` is lost.
fn lost() -> Frame {
  Frame::Absent {
    flows: vec![flow(1, 1)],
    known: Known::default(),
    lost: true,
  }
}

#[test]
fn the_caller_of_a_lost_flow_is_told_without_a_search() {
  let mut balancer = balancer();
  search(&mut balancer);
  balancer.frame(11, &found(flow(1, 1)), &[]);
  let packet = Packet::data(flow(1, 1), 2, 100);
  let sent = balancer.frame(11, &lost(), &packet.write());
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  let sent = balancer.pass(Duration::from_millis(1));
  assert_eq!(sent, [], "nobody is asked");
}

#[test]
fn a_flow_that_was_opened_elsewhere_since_is_not_lost() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let at = carried(&sent)[0].0;
  let other = if at == 11 { 12 } else { 11 };
  let packet = Packet::data(flow(1, 1), 2, 100);
  let sent = balancer.frame(other, &lost(), &packet.write());
  assert!(
    sent
      .iter()
      .all(|sent| !matches!(sent, Sent::Caller(packet) if packet.kind == Kind::Reset))
  );
}

#[test]
fn a_target_that_was_given_up_gets_new_flows_once_it_has_started_again() {
  let mut balancer = balancer();
  balancer.platform(news(Some(4), 5, &[run(5, "up-11", 11, 100)]));
  // The other one has much to do, and this one says that it is down.
  let busy = Load {
    service_ms: 40,
    work: 3,
    ..Load::default()
  };
  tell(&mut balancer, 12, 1, busy);
  let down = Load {
    down: true,
    ..Load::default()
  };
  tell(&mut balancer, 11, 1, down);
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert_eq!(carried(&sent), [(12, Purpose::Open)]);
  balancer.platform(news(Some(5), 6, &[run(6, "up-11", 11, 200)]));
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert_eq!(carried(&sent), [(11, Purpose::Open)]);
}
