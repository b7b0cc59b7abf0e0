//! A balancer keeps the handover of an agent that restarts gracefully, and buffers packets for it
//! meanwhile.

use {
  crate::{
    balancing::{Balancer, balancer, carried, feed_status},
    plain::Packet,
    support::{Sent, flow, found, peer},
  },
  assert_matches::assert_matches,
  fallwell::datagram::{Frame, Load, frame::Handling, handover::FlowRecord},
  std::time::Duration,
};

#[test]
fn an_agent_that_has_restarted_is_sent_its_flows() {
  let mut balancer = balancer();
  balancer.frame(11, &found(flow(1, 1)), &[]);
  let sent = feed_status(&mut balancer, 11, 2, Load::default());
  assert_matches!(
    &sent[..],
    [Sent::Frame(to, Frame::Restore { flows }, _)]
      if *to == peer(11) && flows[..] == [flow(1, 1)]
  );
}

fn flow_record(port: u16) -> FlowRecord {
  FlowRecord {
    flow: flow(port, 1),
    open: true,
    sequence: Some(7),
  }
}

#[test]
fn an_old_handover_does_not_count_as_whole() {
  let mut balancer = balancer();
  let frame = Frame::Handover {
    flows: vec![flow_record(1)],
    part: 0,
    parts: 1,
  };
  balancer.frame(11, &frame, &[]);
  balancer.pass(Duration::from_secs(6));
  let sent = feed_status(&mut balancer, 11, 2, Load::default());
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Handover { parts: 0, .. }, _)]
  );
}

#[test]
fn parts_of_an_earlier_handover_do_not_make_a_later_one_whole() {
  let mut balancer = balancer();
  for part in [0, 1] {
    let frame = Frame::Handover {
      flows: vec![flow_record(part)],
      part,
      parts: 2,
    };
    balancer.frame(11, &frame, &[]);
    balancer.pass(Duration::from_secs(2));
  }
  let sent = feed_status(&mut balancer, 11, 2, Load::default());
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Handover { parts: 0, .. }, _)]
  );
}

/// A balancer with a flow at the agent on host 11, which has just sent its handover.
fn with_stopped_agent() -> Balancer {
  let mut balancer = balancer();
  balancer.frame(11, &found(flow(1, 1)), &[]);
  let frame = Frame::Handover {
    flows: vec![flow_record(1)],
    part: 0,
    parts: 1,
  };
  balancer.frame(11, &frame, &[]);
  balancer
}

#[test]
fn packets_for_an_agent_that_restarts_are_buffered_until_its_next_incarnation() {
  let mut balancer = with_stopped_agent();
  let packet = Packet::data(flow(1, 1), 2, 100);
  assert_eq!(balancer.packet(packet), []);
  balancer.pass(Duration::from_millis(200));
  // A retransmission is not buffered as well.
  assert_eq!(balancer.packet(packet), []);
  balancer.pass(Duration::from_millis(300));
  let sent = feed_status(&mut balancer, 11, 2, Load::default());
  assert_eq!(carried(&sent), [(11, Handling::Deliver)]);
  let is_handover = |sent: &Sent| matches!(sent, Sent::Frame(_, Frame::Handover { .. }, _));
  let first = sent.iter().position(is_handover).expect("a handover");
  let is_carry = |sent: &Sent| matches!(sent, Sent::Frame(_, Frame::Carry { .. }, _));
  assert!(sent.iter().position(is_carry) > Some(first), "{sent:?}");
  // Later packets are forwarded at once.
  let sent = balancer.packet(Packet::data(flow(1, 1), 3, 110));
  assert_eq!(carried(&sent), [(11, Handling::Deliver)]);
}

#[test]
fn packets_for_an_agent_that_does_not_restart_are_forwarded_after_a_timeout() {
  let mut balancer = with_stopped_agent();
  assert_eq!(balancer.packet(Packet::data(flow(1, 1), 2, 100)), []);
  let mut sent = Vec::new();
  for _ in 0..40 {
    sent.extend(balancer.pass(Duration::from_millis(50)));
  }
  assert_eq!(carried(&sent), [(11, Handling::Deliver)]);
}

#[test]
fn a_handover_is_returned_to_the_next_incarnation_whole() {
  let mut balancer = balancer();
  for part in [1, 0] {
    let frame = Frame::Handover {
      flows: vec![flow_record(part)],
      part,
      parts: 2,
    };
    balancer.frame(11, &frame, &[]);
  }
  let sent = feed_status(&mut balancer, 11, 2, Load::default());
  let is_whole = |sent: &&Sent| matches!(sent, Sent::Frame(_, Frame::Handover { parts: 2, .. }, _));
  assert_eq!(sent.iter().filter(is_whole).count(), 2, "{sent:?}");
}

#[test]
fn a_handover_that_lacks_a_part_does_not_count_as_whole() {
  let mut balancer = balancer();
  let frame = Frame::Handover {
    flows: vec![flow_record(1)],
    part: 0,
    parts: 2,
  };
  balancer.frame(11, &frame, &[]);
  let sent = feed_status(&mut balancer, 11, 2, Load::default());
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Handover { parts: 0, .. }, _)]
  );
}
