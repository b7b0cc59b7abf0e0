//! An upstream that restarts under the same name has lost its flows and requests, and lost flows
//! are reset without a search.

use {
  crate::{
    balancing::{balancer, carried, feed_status, is_reset, search},
    plain::{Kind, Packet},
    support::{Agent, Sent, agent, carry, flow, found, listed, update},
  },
  assert_matches::assert_matches,
  fallwell::{
    config::Presence,
    datagram::{
      Catalog, Frame, Load, Machine, Record,
      frame::{Handling, Known},
      target::StartTime,
    },
  },
  std::time::{Duration, Instant},
};

/// The record of an upstream's incarnation.
fn incarnation(revision: u64, id: &str, host: u8, start_time: u64) -> Record {
  let mut record = listed(revision, id, host, "a", Presence::Live);
  if let Record::Target {
    target: Some(target),
    ..
  } = &mut record
  {
    target.start_time = Some(StartTime(start_time));
  }
  record
}

#[test]
fn a_late_record_of_a_previous_incarnation_changes_nothing() {
  let now = Instant::now();
  let mut catalog = Catalog::default();
  catalog.apply_update(now, update(None, 2, &[incarnation(2, "up", 9, 200)]));
  let mut late = incarnation(3, "up", 9, 100);
  if let Record::Target {
    target: Some(target),
    ..
  } = &mut late
  {
    target.presence = Presence::Leaving;
  }
  let change = catalog.apply_update(now, update(Some(2), 3, &[late]));
  assert!(change.is_empty(), "{change:?}");
  let (_, entry) = catalog.entries().next().expect("listed");
  assert_eq!(entry.target.presence, Presence::Live);
}

#[test]
fn a_record_without_a_start_time_is_applied() {
  let now = Instant::now();
  let mut catalog = Catalog::default();
  catalog.apply_update(now, update(None, 2, &[incarnation(2, "up", 9, 200)]));
  let record = listed(3, "up", 9, "a", Presence::Leaving);
  let change = catalog.apply_update(now, update(Some(2), 3, &[record]));
  assert_eq!(change.targets.len(), 1);
}

/// An agent whose upstream has opened `flow(1, 1)`, with a request of it in flight.
fn with_flow() -> Agent {
  let mut agent = agent();
  agent.platform(update(Some(2), 3, &[incarnation(3, "up", 9, 100)]));
  agent.frame(
    1,
    &carry(Handling::Open),
    &Packet::open(flow(1, 1), 0).write(),
  );
  agent.packet(Packet::answer(flow(1, 1), 100));
  let request = Packet::data(flow(1, 1), 2, 101);
  agent.frame(1, &carry(Handling::Deliver), &request.write());
  agent
}

/// The number of requests in flight that an agent reports.
fn work(agent: &Agent) -> u64 {
  let work = &agent.machine.dump(agent.now)["load"]["work"];
  work.as_u64().expect("a number")
}

#[test]
fn requests_of_a_previous_incarnation_are_discarded() {
  let mut agent = with_flow();
  assert_eq!(work(&agent), 1);
  agent.platform(update(Some(3), 4, &[incarnation(4, "up", 9, 200)]));
  assert_eq!(work(&agent), 0);
}

#[test]
fn a_record_of_the_same_incarnation_keeps_its_requests() {
  let mut agent = with_flow();
  agent.platform(update(Some(3), 4, &[incarnation(4, "up", 9, 100)]));
  assert_eq!(work(&agent), 1);
}

#[test]
fn a_confirmed_flow_that_is_bounced_is_reported_lost() {
  let mut agent = with_flow();
  let sent = agent.packet(Packet::data(flow(1, 1), 2, 101).returned());
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Absent { lost: true, .. }, _)]
  );
}

#[test]
fn an_unconfirmed_flow_that_is_bounced_is_not_reported_lost() {
  let mut agent = agent();
  // A balancer considers the agent the flow's owner.
  let restore = Frame::Restore {
    flows: vec![flow(1, 1)],
  };
  agent.frame(1, &restore, &[]);
  let packet = Packet::data(flow(1, 1), 2, 101);
  agent.frame(1, &carry(Handling::Deliver), &packet.write());
  let sent = agent.packet(packet.returned());
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Absent { lost: false, .. }, _)]
  );
}

#[test]
fn a_flow_that_was_opened_anew_is_not_reported_lost() {
  let mut agent = with_flow();
  agent.packet(Packet::answer(flow(1, 1), 7000));
  let sent = agent.packet(Packet::data(flow(1, 1), 2, 101).returned());
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Absent { lost: false, .. }, _)]
  );
}

/// The report that `flow(1, 1)` is lost.
fn lost() -> Frame {
  Frame::Absent {
    flows: vec![flow(1, 1)],
    known: Known::default(),
    lost: true,
  }
}

#[test]
fn a_lost_flow_is_reset_without_a_search() {
  let mut balancer = balancer();
  search(&mut balancer);
  balancer.frame(11, &found(flow(1, 1)), &[]);
  let packet = Packet::data(flow(1, 1), 2, 100);
  let sent = balancer.frame(11, &lost(), &packet.write());
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  let sent = balancer.pass(Duration::from_millis(1));
  assert_eq!(sent, [], "no agent is queried");
}

#[test]
fn a_lost_flow_that_is_opening_elsewhere_is_not_reset() {
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
fn a_target_that_was_down_gets_new_flows_once_it_has_restarted() {
  let mut balancer = balancer();
  balancer.platform(update(Some(4), 5, &[incarnation(5, "up-11", 11, 100)]));
  // The other target is busy, and this one reports that it is down.
  let busy = Load {
    service_ms: 40,
    work: 3,
    ..Load::default()
  };
  feed_status(&mut balancer, 12, 1, busy);
  let down = Load {
    down: true,
    ..Load::default()
  };
  feed_status(&mut balancer, 11, 1, down);
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert_eq!(carried(&sent), [(12, Handling::Open)]);
  balancer.platform(update(Some(5), 6, &[incarnation(6, "up-11", 11, 200)]));
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert_eq!(carried(&sent), [(11, Handling::Open)]);
}
