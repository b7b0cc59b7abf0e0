//! What a balancer does for agents that stop as planned and start again.

use {
  crate::{
    balancing::{Balancer, balancer, carried, tell},
    plain::Packet,
    support::{Sent, flow, found, peer},
  },
  assert_matches::assert_matches,
  fallwell::datagram::{Frame, Load, frame::Purpose, handover::Passed},
  std::time::Duration,
};

#[test]
fn an_agent_that_has_started_again_hears_its_flows() {
  let mut balancer = balancer();
  balancer.frame(11, &found(flow(1, 1)), &[]);
  let sent = tell(&mut balancer, 11, 2, Load::default());
  assert_matches!(
    &sent[..],
    [Sent::Frame(to, Frame::Held { flows }, _)]
      if *to == peer(11) && flows[..] == [flow(1, 1)]
  );
}

fn passed(port: u16) -> Passed {
  Passed {
    flow: flow(port, 1),
    open: true,
    sequence: Some(7),
  }
}

#[test]
fn a_handover_that_another_run_may_have_followed_does_not_count_as_whole() {
  let mut balancer = balancer();
  let frame = Frame::Handover {
    flows: vec![passed(1)],
    part: 0,
    parts: 1,
  };
  balancer.frame(11, &frame, &[]);
  balancer.pass(Duration::from_secs(6));
  let sent = tell(&mut balancer, 11, 2, Load::default());
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Handover { parts: 0, .. }, _)]
  );
}

#[test]
fn a_handover_is_not_made_whole_by_parts_of_an_earlier_one() {
  let mut balancer = balancer();
  for part in [0, 1] {
    let frame = Frame::Handover {
      flows: vec![passed(part)],
      part,
      parts: 2,
    };
    balancer.frame(11, &frame, &[]);
    balancer.pass(Duration::from_secs(2));
  }
  let sent = tell(&mut balancer, 11, 2, Load::default());
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Handover { parts: 0, .. }, _)]
  );
}

/// A balancer with a flow at the agent on host 11, which has just said its last word.
fn with_stopped_agent() -> Balancer {
  let mut balancer = balancer();
  balancer.frame(11, &found(flow(1, 1)), &[]);
  let frame = Frame::Handover {
    flows: vec![passed(1)],
    part: 0,
    parts: 1,
  };
  balancer.frame(11, &frame, &[]);
  balancer
}

#[test]
fn packets_for_an_agent_that_stops_as_planned_wait_for_its_next_run() {
  let mut balancer = with_stopped_agent();
  let packet = Packet::data(flow(1, 1), 2, 100);
  assert_eq!(balancer.packet(packet), []);
  balancer.pass(Duration::from_millis(200));
  // Its caller sends it again; it goes on once.
  assert_eq!(balancer.packet(packet), []);
  balancer.pass(Duration::from_millis(300));
  let sent = tell(&mut balancer, 11, 2, Load::default());
  assert_eq!(carried(&sent), [(11, Purpose::Deliver)]);
  let handed = |sent: &Sent| matches!(sent, Sent::Frame(_, Frame::Handover { .. }, _));
  let first = sent.iter().position(handed).expect("a list");
  let carry = |sent: &Sent| matches!(sent, Sent::Frame(_, Frame::Carry { .. }, _));
  assert!(sent.iter().position(carry) > Some(first), "{sent:?}");
  // What comes then goes on at once.
  let sent = balancer.packet(Packet::data(flow(1, 1), 3, 110));
  assert_eq!(carried(&sent), [(11, Purpose::Deliver)]);
}

#[test]
fn packets_for_an_agent_that_does_not_come_back_go_on_after_a_while() {
  let mut balancer = with_stopped_agent();
  assert_eq!(balancer.packet(Packet::data(flow(1, 1), 2, 100)), []);
  let mut sent = Vec::new();
  for _ in 0..40 {
    sent.extend(balancer.pass(Duration::from_millis(50)));
  }
  assert_eq!(carried(&sent), [(11, Purpose::Deliver)]);
}

#[test]
fn a_handover_goes_back_to_the_next_run_whole() {
  let mut balancer = balancer();
  for part in [1, 0] {
    let frame = Frame::Handover {
      flows: vec![passed(part)],
      part,
      parts: 2,
    };
    balancer.frame(11, &frame, &[]);
  }
  let sent = tell(&mut balancer, 11, 2, Load::default());
  let whole = |sent: &&Sent| matches!(sent, Sent::Frame(_, Frame::Handover { parts: 2, .. }, _));
  assert_eq!(sent.iter().filter(whole).count(), 2, "{sent:?}");
}

#[test]
fn a_handover_with_a_part_lost_does_not_count_as_whole() {
  let mut balancer = balancer();
  let frame = Frame::Handover {
    flows: vec![passed(1)],
    part: 0,
    parts: 2,
  };
  balancer.frame(11, &frame, &[]);
  let sent = tell(&mut balancer, 11, 2, Load::default());
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Handover { parts: 0, .. }, _)]
  );
}
