//! An agent has a packet tried at others for a balancer, and each tells the balancer itself.

use {
  crate::{
    plain::{Kind, Packet},
    support::{Agent, Sent, Stepped, agent, agent_of, carry, digest, flow, peer},
  },
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    datagram::{
      Frame, Machine, Version,
      frame::{Purpose, fan_max},
      service::Digest,
    },
  },
  std::time::Duration,
};

/// The balancer that wants to know.
const BALANCER: u8 = 1;

/// An agent that may have met flows before it started.
fn started_again() -> Agent {
  agent_of(false)
}

/// An upstream's reset of the flow of a caller's packet.
fn reset_of(packet: Packet) -> Packet {
  Packet {
    acknowledges: packet.sequence,
    data: 0,
    kind: Kind::Reset,
    sequence: packet.acknowledges,
    ..packet
  }
}

fn attempt(service: &str) -> Frame {
  Frame::Try {
    balancer: peer(BALANCER),
    complete: Revision(2),
    service: digest(service),
    version: Version(1),
  }
}

#[test]
fn an_agent_sends_a_packet_on_and_tries_it_itself_where_it_is_named() {
  let mut agent = agent();
  let packet = Packet::data(flow(1, 1), 2, 101);
  let fan = Frame::Fan {
    agents: vec![(peer(8), digest("b")), (peer(9), digest("a"))],
    complete: Revision(2),
    version: Version(1),
  };
  let sent = agent.frame(BALANCER, &fan, &packet.write());
  assert_matches!(
    &sent[..],
    [Sent::Frame(on, first, bytes), Sent::Frame(back, Frame::Absent { .. }, _)]
      if *on == peer(8) && *first == attempt("b") && *bytes == packet.write()
        && *back == peer(BALANCER)
  );
}

#[test]
fn a_packet_that_was_sent_on_is_tried_and_the_balancer_is_told() {
  let mut agent = started_again();
  let packet = Packet::data(flow(1, 1), 2, 101);
  let sent = agent.frame(8, &attempt("a"), &packet.write());
  assert_eq!(sent, [Sent::Upstream(packet)]);
  let sent = agent.packet(packet.returned());
  assert_matches!(
    &sent[..],
    [Sent::Frame(back, Frame::Absent { .. }, _)] if *back == peer(BALANCER)
  );
}

#[test]
fn a_frame_that_names_agents_fits_a_common_datagram_with_any_packet() {
  for length in [0, 36, 936, 1236, 5000] {
    let named = fan_max(length);
    assert!(named >= 1);
    let fan = Frame::Fan {
      agents: vec![(peer(200), Digest(u64::MAX)); named],
      complete: Revision(u64::from(u32::MAX)),
      version: Version(u64::from(u32::MAX)),
    };
    let mut bytes = Vec::new();
    fan.encode(&mut bytes);
    assert!(
      bytes.len() + length <= 1440 || named == 1,
      "{length}: {named}"
    );
  }
}

#[test]
fn a_packet_of_another_service_is_not_tried() {
  let mut agent = Stepped::agent(9, "a", false);
  let packet = Packet::data(flow(1, 1), 2, 101);
  let sent = agent.frame(8, &attempt("b"), &packet.write());
  assert!(!sent.contains(&Sent::Upstream(packet)), "{sent:?}");
}

#[test]
fn a_reset_by_an_upstream_that_is_only_tried_does_not_reach_the_caller() {
  let mut agent = started_again();
  let packet = Packet::data(flow(1, 1), 2, 101);
  agent.frame(8, &attempt("a"), &packet.write());
  let sent = agent.packet(reset_of(packet));
  assert_matches!(
    &sent[..],
    [Sent::Frame(back, Frame::Absent { lost: false, .. }, _)] if *back == peer(BALANCER)
  );
}

#[test]
fn a_reset_of_a_flow_that_is_here_reaches_the_caller() {
  let mut agent = agent();
  let held = Frame::Held {
    flows: vec![flow(1, 1)],
  };
  agent.frame(BALANCER, &held, &[]);
  let reset = reset_of(Packet::data(flow(1, 1), 2, 101));
  assert_eq!(agent.packet(reset), [Sent::Caller(reset)]);
}

#[test]
fn a_flow_whose_try_was_reset_counts_as_work_no_more() {
  let mut agent = started_again();
  // A late opening packet, and then a packet of a flow that the run before may have had.
  let open = Packet::open(flow(1, 1), 2);
  agent.frame(BALANCER, &carry(Purpose::Open), &open.write());
  let packet = Packet::data(flow(1, 1), 2, 101);
  agent.frame(BALANCER, &attempt("a"), &packet.write());
  agent.packet(reset_of(packet));
  agent.pass(Duration::from_secs(1));
  let state = agent.machine.dump(agent.now);
  assert_eq!(state["load"]["work"], 0);
}
