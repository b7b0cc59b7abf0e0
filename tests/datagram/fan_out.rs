//! An agent fans a flow test out to other agents for a balancer, and each of them reports its
//! outcome to the balancer.

use {
  crate::{
    plain::{Kind, Packet},
    support::{Agent, Harness, Sent, agent, agent_of, carry, digest, flow, peer},
  },
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    datagram::{
      Frame, Machine, Version,
      frame::{Handling, fan_out_max},
      service::Digest,
    },
  },
  std::time::Duration,
};

/// The host of the balancer that has started the test.
const BALANCER: u8 = 1;

/// An agent whose previous incarnation may have opened flows.
fn restarted_agent() -> Agent {
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

fn flow_test(service: &str) -> Frame {
  Frame::Test {
    balancer: peer(BALANCER),
    synced: Revision(2),
    service: digest(service),
    version: Version(1),
  }
}

#[test]
fn an_agent_forwards_a_test_and_runs_it_itself_where_it_is_named() {
  let mut agent = agent();
  let packet = Packet::data(flow(1, 1), 2, 101);
  let fan_out = Frame::FanOut {
    agents: vec![(peer(8), digest("b")), (peer(9), digest("a"))],
    synced: Revision(2),
    version: Version(1),
  };
  let sent = agent.frame(BALANCER, &fan_out, &packet.write());
  assert_matches!(
    &sent[..],
    [Sent::Frame(other, test, bytes), Sent::Frame(asker, Frame::Absent { .. }, _)]
      if *other == peer(8) && *test == flow_test("b") && *bytes == packet.write()
        && *asker == peer(BALANCER)
  );
}

#[test]
fn the_outcome_of_a_forwarded_test_is_sent_to_the_balancer() {
  let mut agent = restarted_agent();
  let packet = Packet::data(flow(1, 1), 2, 101);
  let sent = agent.frame(8, &flow_test("a"), &packet.write());
  assert_eq!(sent, [Sent::Upstream(packet)]);
  let sent = agent.packet(packet.returned());
  assert_matches!(
    &sent[..],
    [Sent::Frame(to, Frame::Absent { .. }, _)] if *to == peer(BALANCER)
  );
}

#[test]
fn a_frame_that_names_agents_fits_a_common_datagram_with_any_packet() {
  for length in [0, 36, 936, 1236, 5000] {
    let named = fan_out_max(length);
    assert!(named >= 1);
    let fan_out = Frame::FanOut {
      agents: vec![(peer(200), Digest(u64::MAX)); named],
      synced: Revision(u64::from(u32::MAX)),
      version: Version(u64::from(u32::MAX)),
    };
    let mut bytes = Vec::new();
    fan_out.encode(&mut bytes);
    assert!(
      bytes.len() + length <= 1440 || named == 1,
      "{length}: {named}"
    );
  }
}

#[test]
fn a_packet_of_another_service_is_not_tested() {
  let mut agent = Harness::agent(9, "a", false);
  let packet = Packet::data(flow(1, 1), 2, 101);
  let sent = agent.frame(8, &flow_test("b"), &packet.write());
  assert!(!sent.contains(&Sent::Upstream(packet)), "{sent:?}");
}

#[test]
fn a_reset_of_a_flow_under_test_does_not_reach_the_caller() {
  let mut agent = restarted_agent();
  let packet = Packet::data(flow(1, 1), 2, 101);
  agent.frame(8, &flow_test("a"), &packet.write());
  let sent = agent.packet(reset_of(packet));
  assert_matches!(
    &sent[..],
    [Sent::Frame(to, Frame::Absent { lost: false, .. }, _)] if *to == peer(BALANCER)
  );
}

#[test]
fn a_reset_of_an_open_flow_reaches_the_caller() {
  let mut agent = agent();
  let restore = Frame::Restore {
    flows: vec![flow(1, 1)],
  };
  agent.frame(BALANCER, &restore, &[]);
  let reset = reset_of(Packet::data(flow(1, 1), 2, 101));
  assert_eq!(agent.packet(reset), [Sent::Caller(reset)]);
}

#[test]
fn a_flow_whose_test_was_reset_no_longer_counts_as_work() {
  let mut agent = restarted_agent();
  // A late opening packet, then a packet of a flow that the previous incarnation may have opened.
  let open = Packet::open(flow(1, 1), 2);
  agent.frame(BALANCER, &carry(Handling::Open), &open.write());
  let packet = Packet::data(flow(1, 1), 2, 101);
  agent.frame(BALANCER, &flow_test("a"), &packet.write());
  agent.packet(reset_of(packet));
  agent.pass(Duration::from_secs(1));
  let state = agent.machine.dump(agent.now);
  assert_eq!(state["load"]["work"], 0);
}
