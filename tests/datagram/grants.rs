//! An agent reserves free slots of its upstream for flows that are queued in balancers, up to a
//! limit.

use {
  crate::{
    balancing::{Balancer, balancer, busy, carried, feed_status},
    plain::Packet,
    support::{Agent, Sent, agent, carry, configured, digest, flow, listed, peer, update},
  },
  assert_matches::assert_matches,
  fallwell::{
    config::Presence,
    datagram::{
      Frame, Load,
      frame::{Demand, Handling, Refusal},
    },
  },
  std::{net::SocketAddrV4, time::Duration},
};

/// How many requests are granted at an upstream with 4 slots: one more for every two slots.
const GRANTS_MAX: usize = 6;

fn backlog(flows: u16) -> Frame {
  backlog_of(if flows == 0 {
    vec![]
  } else {
    vec![demand(1, flows, flows)]
  })
}

fn backlog_of(classes: Vec<Demand>) -> Frame {
  let service = digest("a");
  Frame::Backlog { service, classes }
}

fn demand(priority: u8, flows: u16, callers: u16) -> Demand {
  Demand {
    priority,
    flows,
    callers,
    oldest_ms: 0,
  }
}

fn grant(load: Load) -> Frame {
  Frame::Grant { load, priority: 1 }
}

/// The balancers that were granted a slot, in order.
fn granted(sent: &[Sent]) -> Vec<SocketAddrV4> {
  let frames = sent.iter().filter_map(|sent| match sent {
    Sent::Frame(to, Frame::Grant { .. }, _) => Some(*to),
    _ => None,
  });
  frames.collect()
}

/// Sends the agent an opening packet of the balancer on host `from`.
fn open(agent: &mut Agent, from: u8, port: u16) -> Vec<Sent> {
  let packet = Packet::open(flow(port, 1), 0);
  agent.frame(from, &carry(Handling::Open), &packet.write())
}

#[test]
fn free_slots_are_granted_at_once_up_to_the_limit() {
  let mut agent = agent();
  let sent = agent.frame(1, &backlog(40), &[]);
  assert_eq!(granted(&sent), [peer(1); GRANTS_MAX]);
  assert_eq!(granted(&agent.frame(1, &backlog(40), &[])), []);
  // An opened flow keeps its slot in use.
  for port in 1..=6 {
    assert_eq!(granted(&open(&mut agent, 1, port)), []);
  }
}

#[test]
fn a_balancer_is_granted_no_more_than_its_backlog() {
  let mut agent = agent();
  assert_eq!(granted(&agent.frame(1, &backlog(2), &[])), [peer(1); 2]);
}

#[test]
fn a_slot_that_becomes_free_is_granted_at_once() {
  let mut agent = agent();
  agent.frame(1, &backlog(40), &[]);
  for port in 1..=6 {
    open(&mut agent, 1, port);
  }
  let returned = Packet {
    returned: true,
    ..Packet::open(flow(1, 1), 0)
  };
  assert_eq!(granted(&agent.packet(returned)), [peer(1)]);
}

#[test]
fn callers_have_the_same_chance_at_all_balancers() {
  let mut agent = agent();
  let sent = agent.frame(1, &backlog(40), &[]);
  assert_eq!(granted(&sent), [peer(1); GRANTS_MAX]);
  agent.frame(2, &backlog(36), &[]);
  for port in 1..=6 {
    open(&mut agent, 1, port);
  }
  // Now 34 are queued at the first and 36 at the second.
  let mut to = Vec::new();
  for port in 1..=6 {
    let returned = Packet {
      returned: true,
      ..Packet::open(flow(port, 1), 0)
    };
    to.extend(granted(&agent.packet(returned)));
  }
  let second = to.iter().filter(|to| **to == peer(2)).count();
  assert_eq!((to.len(), second), (6, 4));
}

#[test]
fn a_slot_that_is_not_used_is_granted_again() {
  let mut agent = agent();
  agent.frame(1, &backlog(40), &[]);
  assert_eq!(granted(&agent.pass(Duration::from_millis(20))), []);
  let sent = agent.pass(Duration::from_millis(10));
  assert_eq!(granted(&sent), [peer(1); GRANTS_MAX]);
}

#[test]
fn an_empty_backlog_releases_the_balancers_slots() {
  let mut agent = agent();
  agent.frame(1, &backlog(40), &[]);
  agent.frame(2, &backlog(40), &[]);
  let sent = agent.frame(1, &backlog(0), &[]);
  assert_eq!(granted(&sent), [peer(2); GRANTS_MAX]);
}

#[test]
fn an_expired_backlog_is_granted_nothing() {
  let mut agent = agent();
  agent.frame(1, &backlog(40), &[]);
  assert_eq!(granted(&agent.pass(Duration::from_millis(400))), []);
}

#[test]
fn a_draining_upstream_grants_nothing() {
  let mut agent = agent();
  let leaving = listed(3, "up", 9, "a", Presence::Leaving);
  agent.platform(update(Some(2), 3, &[leaving]));
  assert_eq!(agent.frame(1, &backlog(40), &[]), []);
}

#[test]
fn a_backlog_of_another_service_is_granted_nothing() {
  let mut agent = agent();
  let other = Frame::Backlog {
    service: digest("b"),
    classes: vec![demand(1, 40, 40)],
  };
  assert_eq!(agent.frame(1, &other, &[]), []);
}

#[test]
fn a_granted_flow_is_not_refused() {
  let mut agent = agent();
  let mut port = 0;
  let busy = loop {
    port += 1;
    let sent = open(&mut agent, 2, port);
    if let Some(Sent::Frame(_, Frame::Refused(_, Refusal::Busy, _), _)) = sent.first() {
      break sent;
    }
  };
  assert_eq!(busy.len(), 1);
  // The slot is granted before the others are opened.
  let mut agent = self::agent();
  agent.frame(1, &backlog(1), &[]);
  for other in 1..port {
    open(&mut agent, 2, other);
  }
  assert_matches!(open(&mut agent, 1, 1000)[..], [Sent::Upstream(_)]);
}

/// A balancer with a queued flow, since both targets of service `a` are busy.
fn balancer_with_queued_flow() -> Balancer {
  let mut balancer = balancer();
  for host in [11, 12] {
    feed_status(&mut balancer, host, 1, busy(24));
  }
  assert_eq!(balancer.packet(Packet::open(flow(1, 1), 0)), []);
  balancer
}

/// The backlogs that were sent, by receiver.
fn backlogs(sent: &[Sent]) -> Vec<(SocketAddrV4, u16)> {
  let frames = sent.iter().filter_map(|sent| match sent {
    Sent::Frame(to, Frame::Backlog { classes, .. }, _) => {
      let flows = classes.iter().map(|demand| demand.flows);
      Some((*to, flows.sum()))
    }
    _ => None,
  });
  frames.collect()
}

#[test]
fn agents_of_the_service_are_sent_the_backlog() {
  let mut balancer = balancer_with_queued_flow();
  let sent = balancer.pass(Duration::ZERO);
  assert_eq!(backlogs(&sent), [(peer(11), 1), (peer(12), 1)]);
  // The backlog is renewed before it expires at the agents.
  assert_eq!(backlogs(&balancer.pass(Duration::from_millis(50))), []);
  let sent = balancer.pass(Duration::from_millis(60));
  assert_eq!(backlogs(&sent), [(peer(11), 1), (peer(12), 1)]);
}

#[test]
fn a_grant_opens_a_queued_flow() {
  let mut balancer = balancer_with_queued_flow();
  let sent = balancer.frame(12, &grant(busy(5)), &[]);
  assert_eq!(carried(&sent), [(12, Handling::Open)]);
  // Nothing is queued any more: the next grant is released.
  let sent = balancer.frame(12, &grant(busy(5)), &[]);
  assert_eq!(sent, [Sent::Frame(peer(12), backlog(0), vec![])]);
}

#[test]
fn a_grant_for_a_route_without_the_service_is_released() {
  let mut balancer = balancer_with_queued_flow();
  balancer.platform(update(Some(4), 5, &[configured(5, 2, &[(2, "b")])]));
  let sent = balancer.frame(12, &grant(busy(5)), &[]);
  assert_eq!(carried(&sent), []);
  assert_eq!(backlogs(&sent), [(peer(12), 0)]);
}

#[test]
fn a_grant_of_a_draining_target_is_not_used() {
  let mut balancer = balancer_with_queued_flow();
  let leaving = listed(5, "up-12", 12, "a", Presence::Leaving);
  balancer.platform(update(Some(4), 5, &[leaving]));
  let sent = balancer.frame(12, &grant(Load::default()), &[]);
  assert_eq!(carried(&sent), []);
}

#[test]
fn a_grant_of_a_fast_failing_target_is_not_used() {
  let mut balancer = balancer();
  let records = [listed(5, "up-13", 13, "a", Presence::Live)];
  balancer.platform(update(Some(4), 5, &records));
  let load = |service_ms, work| Load {
    service_ms,
    work,
    ..Load::default()
  };
  feed_status(&mut balancer, 11, 1, load(40, 24));
  feed_status(&mut balancer, 12, 1, load(40, 24));
  feed_status(&mut balancer, 13, 1, load(1, 600));
  assert_eq!(balancer.packet(Packet::open(flow(1, 1), 0)), []);
  // It fails each request at once, so that it always has free slots.
  let sent = balancer.frame(13, &grant(load(1, 0)), &[]);
  assert_eq!(carried(&sent), []);
}
