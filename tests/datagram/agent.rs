//! An agent delivers the packets of its upstream's flows, and reports a flow absent only when that
//! is certain.

use {
  crate::{
    plain::{Kind, Packet, Plain},
    support::{
      Harness, Sent, agent_of, configured, flow, found, listed, peer, unlisted, unsure, update,
      upstream,
    },
  },
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    config::Presence,
    datagram::{
      Event, Flow, Frame, Load, Machine, Service, Version, agent,
      frame::{Handling, Known, Refusal},
    },
  },
  std::time::Duration,
};

type Agent = Harness<agent::Machine<Plain>>;

const BALANCER: u8 = 1;

/// The revision of an agent that has received no target list.
const NOTHING: Revision = Revision(0);

/// The revision of the target list that the agents of these tests receive.
const KNOWN: Revision = Revision(2);

fn carry(handling: Handling, service: &str, version: u64) -> Frame {
  let service = service.parse::<Service>().expect("a name");
  Frame::Carry {
    synced: KNOWN,
    handling,
    service: service.digest(),
    version: Version(version),
  }
}

fn deliver(agent: &mut Agent, handling: Handling, packet: Packet) -> Vec<Sent> {
  agent.frame(BALANCER, &carry(handling, "a", 1), &packet.write())
}

/// An agent that has the target list, and whose upstream has opened a flow with sequence number
/// 100.
fn with_flow(first_start: bool) -> (Agent, Flow) {
  let mut agent = agent_of(first_start);
  let flow = flow(40_001, 1);
  let sent = deliver(&mut agent, Handling::Open, Packet::open(flow, 0));
  assert_eq!(sent, [Sent::Upstream(Packet::open(flow, 0))]);
  agent.packet(Packet::answer(flow, 100));
  let sent = deliver(&mut agent, Handling::Deliver, Packet::data(flow, 2, 101));
  assert_eq!(sent, [Sent::Upstream(Packet::data(flow, 2, 101))]);
  (agent, flow)
}

fn absent(flow: Flow, synced: Revision) -> Frame {
  Frame::Absent {
    flows: vec![flow],
    known: Known {
      synced,
      service: "a".parse().expect("a name"),
      tombstones: vec![],
    },
    lost: false,
  }
}

fn is_sent(sent: &[Sent], expected: &Frame) -> bool {
  sent.iter().any(
    |sent| matches!(sent, Sent::Frame(to, frame, _) if *to == peer(BALANCER) && frame == expected),
  )
}

#[test]
fn the_upstreams_answer_opens_the_flow_and_goes_to_the_caller() {
  let mut agent = Harness::agent(9, "a", true);
  let flow = flow(40_001, 1);
  deliver(&mut agent, Handling::Open, Packet::open(flow, 0));
  let sent = agent.packet(Packet::answer(flow, 100));
  assert_matches!(&sent[0], Sent::Frame(_, Frame::Opened(opened, _), _) if *opened == flow);
  assert_eq!(sent[1], Sent::Caller(Packet::answer(flow, 100)));
}

#[test]
fn a_flow_that_another_target_opened_is_absent() {
  let mut agent = Harness::agent(9, "a", true);
  let flow = flow(40_001, 1);
  deliver(&mut agent, Handling::Open, Packet::open(flow, 0));
  agent.packet(Packet::answer(flow, 100));
  let sent = deliver(&mut agent, Handling::Deliver, Packet::data(flow, 2, 777));
  assert!(is_sent(&sent, &absent(flow, NOTHING)), "{sent:?}");
  assert!(!sent.iter().any(|sent| matches!(sent, Sent::Upstream(_))));
}

#[test]
fn a_packet_of_another_service_never_reaches_the_upstream() {
  let mut agent = Harness::agent(9, "a", false);
  for handling in [Handling::Deliver, Handling::Open, Handling::Test] {
    for packet in [
      Packet::open(flow(40_001, 1), 0),
      Packet::data(flow(40_001, 1), 2, 3),
    ] {
      let sent = agent.frame(BALANCER, &carry(handling, "b", 1), &packet.write());
      assert!(!sent.iter().any(|sent| matches!(sent, Sent::Upstream(_))));
    }
  }
}

#[test]
fn a_draining_upstream_gets_no_opening_packet() {
  let (mut agent, open) = with_flow(true);
  agent.platform(update(
    Some(2),
    3,
    &[listed(3, "up", 9, "a", Presence::Leaving)],
  ));
  let sent = deliver(&mut agent, Handling::Open, Packet::open(flow(40_002, 1), 0));
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Refused(_, Refusal::Leaving, _), _)]
  );
  // Packets of its open flow are still delivered.
  let sent = deliver(&mut agent, Handling::Deliver, Packet::data(open, 3, 101));
  assert_eq!(sent, [Sent::Upstream(Packet::data(open, 3, 101))]);
}

#[test]
fn an_upstream_that_was_removed_from_the_list_gets_no_opening_packet() {
  let (mut agent, _) = with_flow(true);
  agent.platform(update(Some(2), 3, &[unlisted(3, "up")]));
  let sent = deliver(&mut agent, Handling::Open, Packet::open(flow(40_002, 1), 0));
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Refused(_, Refusal::Leaving, _), _)]
  );
}

/// Guards against new flows at an upstream that was removed from the target list before its agent
/// received the list.
#[test]
fn an_upstream_that_was_never_listed_gets_no_opening_packet() {
  let mut agent = Harness::agent(9, "a", true);
  agent.platform(update(None, 3, &[configured(1, 1, &[(1, "a")])]));
  assert_eq!(agent.machine.dump(agent.now)["leaving"], true);
  let packet = Packet::open(flow(40_002, 1), 0);
  let sent = deliver(&mut agent, Handling::Open, packet);
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Refused(_, Refusal::Leaving, _), _)]
  );
  // A balancer with a later list may know the upstream from there.
  let mut later = carry(Handling::Open, "a", 1);
  if let Frame::Carry { synced, .. } = &mut later {
    *synced = Revision(4);
  }
  let sent = agent.frame(BALANCER, &later, &packet.write());
  assert_eq!(sent, [Sent::Upstream(packet)]);
  let record = listed(4, "up", 9, "a", Presence::Live);
  agent.platform(update(Some(3), 4, &[record]));
  assert_eq!(agent.machine.dump(agent.now)["leaving"], false);
}

#[test]
fn an_opening_packet_for_a_route_without_the_service_is_dropped() {
  let (mut agent, _) = with_flow(true);
  agent.platform(update(Some(2), 3, &[configured(3, 2, &[])]));
  let sent = deliver(&mut agent, Handling::Open, Packet::open(flow(40_002, 1), 0));
  assert_eq!(sent, []);
}

#[test]
fn an_agent_that_knows_all_flows_reports_absent_without_a_test() {
  let (mut agent, _) = with_flow(true);
  let other = flow(40_002, 1);
  let packet = Packet::data(other, 5, 6);
  let sent = deliver(&mut agent, Handling::Test, packet);
  assert_eq!(sent, [Sent::Frame(peer(1), absent(other, KNOWN), vec![])]);
  // A packet that was to be delivered is returned.
  let sent = deliver(&mut agent, Handling::Deliver, packet);
  let back = packet.write();
  assert_eq!(sent, [Sent::Frame(peer(1), absent(other, KNOWN), back)]);
}

#[test]
fn an_agent_that_has_just_started_tests_a_flow_before_it_reports_absent() {
  let mut agent = Harness::agent(9, "a", false);
  let flow = flow(40_001, 1);
  let packet = Packet::data(flow, 5, 6);
  let sent = deliver(&mut agent, Handling::Test, packet);
  assert_eq!(sent, [Sent::Upstream(packet)]);
  // One packet is enough for a test.
  assert_eq!(deliver(&mut agent, Handling::Test, packet), []);
  let sent = agent.packet(packet.returned());
  assert_eq!(sent, [Sent::Frame(peer(1), absent(flow, NOTHING), vec![])]);
  // The upstream is given no more packets of the flow, since it counts each as a stray.
  let sent = deliver(&mut agent, Handling::Test, packet);
  assert_eq!(sent, [Sent::Frame(peer(1), absent(flow, NOTHING), vec![])]);
}

/// Queries flows whose callers last acknowledged `acknowledges`.
fn query(agent: &mut Agent, flows: &[Flow], acknowledges: u32, service: &str) -> Vec<Sent> {
  let service = service.parse::<Service>().expect("a name");
  let flows = flows.iter().map(|flow| (*flow, acknowledges));
  let frame = Frame::Query {
    synced: KNOWN,
    flows: flows.collect(),
    services: vec![service.digest()],
  };
  agent.frame(BALANCER, &frame, &[])
}

#[test]
fn an_agent_that_knows_all_flows_answers_a_query_without_a_test() {
  let (mut agent, here) = with_flow(true);
  let (one, other) = (flow(40_002, 1), flow(40_003, 1));
  let sent = query(&mut agent, &[one, here, other], 101, "a");
  let absent = Frame::Absent {
    flows: vec![one, other],
    known: Known {
      synced: KNOWN,
      service: "a".parse().expect("a name"),
      tombstones: vec![],
    },
    lost: false,
  };
  let expected = [found(here), absent];
  assert_eq!(
    sent,
    expected.map(|frame| Sent::Frame(peer(1), frame, vec![]))
  );
}

#[test]
fn a_flow_whose_answer_was_acknowledged_is_found_before_its_first_packet() {
  let mut agent = Harness::agent(9, "a", true);
  let flow = flow(40_001, 1);
  deliver(&mut agent, Handling::Open, Packet::open(flow, 0));
  agent.packet(Packet::answer(flow, 100));
  let sent = query(&mut agent, &[flow], 101, "a");
  assert!(is_sent(&sent, &found(flow)), "{sent:?}");
  let sent = query(&mut agent, &[flow], 777, "a");
  assert!(is_sent(&sent, &absent(flow, NOTHING)), "{sent:?}");
}

/// The other targets that an agent names to a balancer that knows the target list up to revision
/// `asker`.
fn targets_named_to(agent: &mut Agent, asker: u64) -> Known {
  let query = Frame::Query {
    synced: Revision(asker),
    flows: vec![(flow(40_009, 1), 6)],
    services: vec!["a".parse::<Service>().expect("a name").digest()],
  };
  let sent = agent.frame(BALANCER, &query, &[]);
  let known = sent.into_iter().find_map(|sent| match sent {
    Sent::Frame(_, Frame::Absent { known, .. }, _) => Some(known),
    _ => None,
  });
  known.expect("flow is absent")
}

#[test]
fn an_agent_names_targets_unknown_to_the_asker_and_requires_no_later_list() {
  let (mut agent, _) = with_flow(true);
  let records = [
    listed(3, "up-10", 10, "a", Presence::Live),
    listed(4, "up-11", 11, "a", Presence::Live),
    listed(5, "up-20", 20, "b", Presence::Live),
  ];
  agent.platform(update(Some(2), 5, &records));
  let known = targets_named_to(&mut agent, 3);
  assert_eq!(known.tombstones, [(upstream(11), 0)]);
  assert_eq!(known.synced, Revision(3));
  assert_eq!(targets_named_to(&mut agent, 9).synced, Revision(5));
}

#[test]
fn an_agent_that_cannot_name_all_targets_requires_its_own_revision() {
  let (mut agent, _) = with_flow(true);
  let records = (3..100).map(|host| {
    let id = format!("up-{host}");
    listed(host, &id, host as u8, "a", Presence::Live)
  });
  agent.platform(update(Some(2), 99, &records.collect::<Vec<_>>()));
  assert_eq!(targets_named_to(&mut agent, 2).synced, Revision(99));
  assert_eq!(targets_named_to(&mut agent, 90).synced, Revision(90));
}

#[test]
fn an_agent_that_has_just_started_is_unsure_until_a_test_has_ended() {
  let mut agent = Harness::agent(9, "a", false);
  let flow = flow(40_001, 1);
  let sent = query(&mut agent, &[flow], 6, "a");
  assert!(is_sent(&sent, &unsure(flow)), "{sent:?}");
  // It answers once the test has ended.
  deliver(&mut agent, Handling::Test, Packet::data(flow, 5, 6));
  assert_eq!(query(&mut agent, &[flow], 6, "a"), []);
  agent.packet(Packet::data(flow, 5, 6).returned());
  let sent = query(&mut agent, &[flow], 6, "a");
  assert!(is_sent(&sent, &absent(flow, NOTHING)), "{sent:?}");
}

#[test]
fn an_open_flow_is_found_whatever_services_the_asker_knows() {
  let (mut agent, here) = with_flow(true);
  let sent = query(&mut agent, &[here], 101, "b");
  assert!(is_sent(&sent, &found(here)), "{sent:?}");
  assert!(!is_sent(&sent, &absent(here, KNOWN)), "{sent:?}");
}

#[test]
fn a_flow_whose_address_was_never_routed_here_is_not_found() {
  let (mut agent, _) = with_flow(true);
  // Left over from the upstream of another service that had the address before.
  let restore = Frame::Restore {
    flows: vec![flow(40_002, 2)],
  };
  agent.frame(BALANCER, &restore, &[]);
  let sent = query(&mut agent, &[flow(40_002, 2)], 101, "b");
  let foreign = Frame::Foreign {
    flows: vec![flow(40_002, 2)],
    service: "a".parse::<Service>().expect("a name").digest(),
  };
  assert_eq!(sent, [Sent::Frame(peer(BALANCER), foreign, vec![])]);
}

#[test]
fn a_flow_whose_test_packet_is_not_bounced_is_found() {
  let mut agent = Harness::agent(9, "a", false);
  let flow = flow(40_001, 1);
  deliver(&mut agent, Handling::Test, Packet::data(flow, 5, 6));
  let sent = agent.pass(Duration::from_millis(100));
  assert!(is_sent(&sent, &found(flow)), "{sent:?}");
}

#[test]
fn a_flow_that_the_upstream_has_lost_is_reported_lost_with_its_packet() {
  let (mut agent, flow) = with_flow(true);
  let packet = Packet::data(flow, 3, 101);
  deliver(&mut agent, Handling::Deliver, packet);
  let sent = agent.packet(packet.returned());
  let back = packet.write();
  let lost = Frame::Absent {
    flows: vec![flow],
    known: Known {
      synced: KNOWN,
      service: "a".parse().expect("a name"),
      tombstones: vec![],
    },
    lost: true,
  };
  assert_eq!(sent, [Sent::Frame(peer(1), lost, back)]);
}

#[test]
fn a_flow_whose_opening_packet_is_bounced_is_refused() {
  let mut agent = Harness::agent(9, "a", true);
  let flow = flow(40_001, 1);
  deliver(&mut agent, Handling::Open, Packet::open(flow, 0));
  let sent = agent.packet(Packet::open(flow, 0).returned());
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Refused(_, Refusal::Full, _), _)]
  );
}

#[test]
fn flows_beyond_the_objective_are_refused_before_the_upstream_gets_them() {
  let (mut agent, _) = with_flow(true);
  let mut refused = 0;
  for port in 0..40 {
    let packet = Packet::open(flow(41_000 + port, 1), 0);
    let sent = deliver(&mut agent, Handling::Open, packet);
    let busy = |sent: &Sent| matches!(sent, Sent::Frame(_, Frame::Refused(_, Refusal::Busy, _), _));
    refused += usize::from(sent.iter().any(busy));
  }
  // With 4 slots and an assumed 40 ms each, 0.75 of the objective of 200 ms allows 11 in the queue.
  assert!((25..35).contains(&refused), "refused {refused} of 40");
}

/// Stops an agent gracefully and starts its next incarnation, which receives the handover.
fn restart(before: &mut Agent) -> Agent {
  before.step(Event::Stop);
  let final_frames = before.step(Event::End);
  let parts = final_frames.into_iter().filter_map(|sent| match sent {
    Sent::Frame(_, frame @ Frame::Handover { .. }, _) => Some(frame),
    _ => None,
  });
  let parts = parts.collect::<Vec<_>>();
  assert!(!parts.is_empty());
  let mut next = Harness::agent(9, "a", false);
  for part in &parts {
    next.frame(BALANCER, part, &[]);
  }
  next
}

#[test]
fn a_flow_that_opens_during_shutdown_is_handed_over() {
  let (mut before, _) = with_flow(true);
  let late = crate::support::flow(40_002, 1);
  deliver(&mut before, Handling::Open, Packet::open(late, 0));
  before.packet(Packet::answer(late, 300));
  before.step(Event::Stop);
  deliver(&mut before, Handling::Deliver, Packet::data(late, 2, 301));
  let mut next = restart(&mut before);
  let packet = Packet::data(late, 3, 311);
  let sent = deliver(&mut next, Handling::Deliver, packet);
  assert_eq!(sent, [Sent::Upstream(packet)]);
}

#[test]
fn an_answered_flow_is_handed_over_and_opens_at_the_next_incarnation() {
  let (mut before, _) = with_flow(true);
  let unconfirmed = crate::support::flow(40_002, 1);
  deliver(&mut before, Handling::Open, Packet::open(unconfirmed, 0));
  before.packet(Packet::answer(unconfirmed, 300));
  let mut next = restart(&mut before);
  let elsewhere = deliver(
    &mut next,
    Handling::Deliver,
    Packet::data(unconfirmed, 2, 777),
  );
  assert!(
    is_sent(&elsewhere, &absent(unconfirmed, NOTHING)),
    "{elsewhere:?}"
  );
  let packet = Packet::data(unconfirmed, 2, 301);
  let sent = deliver(&mut next, Handling::Deliver, packet);
  assert_eq!(sent, [Sent::Upstream(packet)]);
}

#[test]
fn a_late_opening_packet_does_not_hide_a_flow_that_was_handed_over() {
  let (mut before, flow) = with_flow(true);
  before.step(Event::Stop);
  let final_frames = before.step(Event::End);
  let mut next = Harness::agent(9, "a", false);
  deliver(&mut next, Handling::Open, Packet::open(flow, 1));
  for sent in final_frames {
    if let Sent::Frame(_, frame @ Frame::Handover { .. }, _) = sent {
      next.frame(BALANCER, &frame, &[]);
    }
  }
  let packet = Packet::data(flow, 3, 111);
  let sent = deliver(&mut next, Handling::Deliver, packet);
  assert_eq!(sent, [Sent::Upstream(packet)]);
}

#[test]
fn an_agent_that_does_not_know_all_flows_marks_its_handover_as_partial() {
  let (mut before, flow) = with_flow(false);
  let mut next = restart(&mut before);
  let packet = Packet::data(flow, 3, 111);
  let sent = deliver(&mut next, Handling::Deliver, packet);
  assert_eq!(sent, [Sent::Upstream(packet)]);
  let other = crate::support::flow(40_002, 1);
  let sent = query(&mut next, &[other], 6, "a");
  assert!(is_sent(&sent, &unsure(other)), "{sent:?}");
}

#[test]
fn a_late_opening_retransmission_leaves_its_flow_open() {
  let (mut agent, flow) = with_flow(true);
  deliver(&mut agent, Handling::Open, Packet::open(flow, 2));
  agent.packet(Packet::answer(flow, 100));
  // The caller acknowledges a later answer.
  let packet = Packet::data(flow, 3, 111);
  let sent = deliver(&mut agent, Handling::Deliver, packet);
  assert_eq!(sent, [Sent::Upstream(packet)]);
}

#[test]
fn a_bounced_opening_retransmission_leaves_its_flow_open() {
  let (mut agent, flow) = with_flow(true);
  deliver(&mut agent, Handling::Open, Packet::open(flow, 2));
  let sent = agent.packet(Packet::open(flow, 2).returned());
  let refused = |sent: &Sent| matches!(sent, Sent::Frame(_, Frame::Refused(..), _));
  assert!(!sent.iter().any(refused), "{sent:?}");
  let packet = Packet::data(flow, 3, 111);
  let sent = deliver(&mut agent, Handling::Deliver, packet);
  assert_eq!(sent, [Sent::Upstream(packet)]);
}

#[test]
fn flows_are_handed_over_at_a_graceful_restart() {
  let (mut before, flow) = with_flow(true);
  let mut next = restart(&mut before);
  let packet = Packet::data(flow, 3, 101);
  let sent = deliver(&mut next, Handling::Test, packet);
  assert!(is_sent(&sent, &found(flow)), "{sent:?}");
  // All flows are known: another flow is reported absent without a test.
  let other = crate::support::flow(40_002, 1);
  let sent = deliver(&mut next, Handling::Test, Packet::data(other, 5, 6));
  assert_eq!(sent, [Sent::Frame(peer(1), absent(other, NOTHING), vec![])]);
}

#[test]
fn an_agent_sends_its_status_at_the_first_frame_of_a_balancer() {
  let mut agent = Harness::agent(9, "a", false);
  let query = Frame::Query {
    synced: KNOWN,
    flows: vec![],
    services: vec!["a".parse::<Service>().expect("a name").digest()],
  };
  assert_eq!(agent.statuses(BALANCER, &query), 1);
  assert_eq!(agent.statuses(BALANCER, &query), 0);
}

#[test]
fn an_agent_is_idle_once_its_upstream_has_answered() {
  let (mut agent, flow) = with_flow(true);
  agent.step(Event::Stop);
  assert!(!agent.machine.is_idle());
  agent.packet(Packet::data(flow, 101, 12));
  assert!(agent.machine.is_idle());
}

#[test]
fn a_stopping_agent_takes_no_new_flow() {
  let (mut agent, _) = with_flow(true);
  agent.step(Event::Stop);
  let sent = deliver(&mut agent, Handling::Open, Packet::open(flow(40_002, 1), 0));
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Refused(_, Refusal::Leaving, _), _)]
  );
}

#[test]
fn an_old_service_time_is_no_longer_reported() {
  let (mut agent, flow) = with_flow(true);
  agent.now += Duration::from_millis(2);
  agent.packet(Packet::data(flow, 101, 2));
  let reported_ms = |agent: &mut Agent| {
    let other = crate::support::flow(40_002, 1);
    deliver(agent, Handling::Open, Packet::open(other, 0));
    let sent = agent.packet(Packet::answer(other, 500));
    let Some(Sent::Frame(_, Frame::Opened(_, load), _)) = sent.first() else {
      panic!("{sent:?}");
    };
    load.service_ms
  };
  assert_eq!(reported_ms(&mut agent), 2);
  agent.now += Duration::from_secs(4);
  assert_eq!(reported_ms(&mut agent), 0);
}

#[test]
fn the_service_time_of_an_upload_counts_from_its_last_packet() {
  let (mut agent, flow) = with_flow(true);
  for sequence in 3..50 {
    agent.now += Duration::from_millis(10);
    deliver(
      &mut agent,
      Handling::Deliver,
      Packet::data(flow, sequence, 101),
    );
  }
  agent.now += Duration::from_millis(5);
  // A retransmission changes nothing.
  deliver(&mut agent, Handling::Deliver, Packet::data(flow, 20, 101));
  agent.now += Duration::from_millis(2);
  agent.packet(Packet::data(flow, 101, 50));
  let other = crate::support::flow(40_002, 1);
  deliver(&mut agent, Handling::Open, Packet::open(other, 0));
  let sent = agent.packet(Packet::answer(other, 500));
  assert_matches!(&sent[0], Sent::Frame(_, Frame::Opened(_, load), _) if load.service_ms == 7);
}

#[test]
fn data_retransmitted_after_its_answer_is_no_request() {
  let (mut agent, flow) = with_flow(true);
  agent.packet(Packet::data(flow, 101, 2));
  for _ in 0..10 {
    deliver(&mut agent, Handling::Deliver, Packet::data(flow, 2, 101));
  }
  let other = crate::support::flow(40_002, 1);
  deliver(&mut agent, Handling::Open, Packet::open(other, 0));
  let sent = agent.packet(Packet::answer(other, 500));
  // Only the new flow's expected request counts.
  assert_matches!(&sent[0], Sent::Frame(_, Frame::Opened(_, load), _) if load.work == 1);
}

#[test]
fn a_flow_without_a_request_counts_as_work_for_a_limited_time() {
  let mut agent = Harness::agent(9, "a", true);
  let opened = agent.now;
  deliver(&mut agent, Handling::Open, Packet::open(flow(40_001, 1), 0));
  agent.packet(Packet::answer(flow(40_001, 1), 100));
  // Once the load has been reported, nothing else is due sooner.
  agent.pass(Duration::from_millis(120));
  assert!(agent.machine.deadline() <= opened + Duration::from_millis(300));
  agent.pass(Duration::from_millis(180));
  deliver(&mut agent, Handling::Open, Packet::open(flow(40_002, 1), 0));
  let sent = agent.packet(Packet::answer(flow(40_002, 1), 500));
  assert_matches!(&sent[0], Sent::Frame(_, Frame::Opened(_, load), _) if load.work == 1);
}

#[test]
fn the_service_time_is_not_measured_before_the_slots_are_known() {
  // Without the target list, three concurrent requests take 60 ms.
  let mut agent = Harness::agent(9, "a", false);
  let flows = [1, 2, 3].map(|port| flow(port, 1));
  for flow in flows {
    deliver(&mut agent, Handling::Open, Packet::open(flow, 0));
    agent.packet(Packet::answer(flow, 100));
    deliver(&mut agent, Handling::Deliver, Packet::data(flow, 2, 101));
  }
  agent.now += Duration::from_millis(60);
  for flow in flows {
    agent.packet(Packet::data(flow, 101, 3));
  }
  deliver(&mut agent, Handling::Open, Packet::open(flow(4, 1), 0));
  let sent = agent.packet(Packet::answer(flow(4, 1), 100));
  // With one slot assumed, the third would count as queued behind the others, at 20 ms.
  assert_matches!(&sent[0], Sent::Frame(_, Frame::Opened(_, load), _) if load.service_ms == 0);
}

#[test]
fn the_timeout_of_a_first_request_adapts_to_callers() {
  let (mut agent, _) = with_flow(true);
  for port in 1..=40 {
    deliver(&mut agent, Handling::Open, Packet::open(flow(port, 1), 0));
    agent.packet(Packet::answer(flow(port, 1), 100));
    agent.pass(Duration::from_millis(10));
    deliver(
      &mut agent,
      Handling::Deliver,
      Packet::data(flow(port, 1), 2, 101),
    );
    agent.packet(Packet::data(flow(port, 1), 101, 3));
  }
  let work = |agent: &mut Agent, port| {
    deliver(agent, Handling::Open, Packet::open(flow(port, 1), 0));
    let sent = agent.packet(Packet::answer(flow(port, 1), 100));
    let Some(Sent::Frame(_, Frame::Opened(_, load), _)) = sent.first() else {
      panic!("{sent:?}");
    };
    load.work
  };
  // The request of `with_flow` is in flight too.
  assert_eq!(work(&mut agent, 41), 2);
  agent.pass(Duration::from_millis(25));
  assert_eq!(work(&mut agent, 42), 3);
  // Callers take 10 ms, so the first flow no longer counts after 35 ms.
  agent.pass(Duration::from_millis(10));
  assert_eq!(work(&mut agent, 43), 3);
}

#[test]
fn a_late_opening_packet_does_not_hide_a_flow_of_the_previous_incarnation() {
  let mut agent = agent_of(false);
  let flow = flow(40_001, 1);
  deliver(&mut agent, Handling::Open, Packet::open(flow, 0));
  agent.packet(Packet::answer(flow, 100));
  // The caller has acknowledged another answer: of this upstream before the agent restarted, or of
  // another target.
  let sent = query(&mut agent, &[flow], 501, "a");
  assert!(is_sent(&sent, &unsure(flow)), "{sent:?}");
  let packet = Packet::data(flow, 2, 501);
  let sent = deliver(&mut agent, Handling::Test, packet);
  assert_eq!(sent, [Sent::Upstream(packet)]);
  let sent = agent.pass(Duration::from_millis(31));
  assert!(is_sent(&sent, &found(flow)), "{sent:?}");
}

#[test]
fn a_flow_that_fails_a_test_while_it_opens_no_longer_counts_as_work() {
  let mut agent = Harness::agent(9, "a", false);
  let flow = flow(40_001, 1);
  deliver(&mut agent, Handling::Open, Packet::open(flow, 0));
  agent.packet(Packet::answer(flow, 100));
  let packet = Packet::data(flow, 2, 501);
  deliver(&mut agent, Handling::Test, packet);
  agent.packet(packet.returned());
  let other = crate::support::flow(40_002, 1);
  deliver(&mut agent, Handling::Open, Packet::open(other, 0));
  let sent = agent.packet(Packet::answer(other, 100));
  assert_matches!(&sent[0], Sent::Frame(_, Frame::Opened(_, load), _) if load.work == 1);
}

/// An upstream's reset of a flow.
fn reset(flow: Flow) -> Packet {
  Packet {
    data: 0,
    kind: Kind::Reset,
    ..Packet::data(flow, 101, 3)
  }
}

/// Opens a flow and sends a request in it; false where the agent refuses the flow.
fn request_in_new_flow(agent: &mut Agent, flow: Flow) -> bool {
  let sent = deliver(agent, Handling::Open, Packet::open(flow, 0));
  if is_sent(
    &sent,
    &Frame::Refused(flow, Refusal::Down, refused_load(&sent)),
  ) {
    return false;
  }
  agent.packet(Packet::answer(flow, 100));
  deliver(agent, Handling::Deliver, Packet::data(flow, 2, 101));
  true
}

fn refused_load(sent: &[Sent]) -> Load {
  match sent.first() {
    Some(Sent::Frame(_, Frame::Refused(_, _, load), _)) => *load,
    _ => Load::default(),
  }
}

#[test]
fn an_upstream_that_resets_all_requests_is_tried_with_one_flow_at_a_time() {
  let mut agent = Harness::agent(9, "a", true);
  for port in 1..=3 {
    assert!(request_in_new_flow(&mut agent, flow(port, 1)));
    agent.packet(reset(flow(port, 1)));
  }
  assert!(!request_in_new_flow(&mut agent, flow(4, 1)));
  agent.pass(Duration::from_millis(510));
  assert!(request_in_new_flow(&mut agent, flow(5, 1)));
  assert!(!request_in_new_flow(&mut agent, flow(6, 1)));
  agent.packet(reset(flow(5, 1)));
  // The circuit is open for twice as long.
  agent.pass(Duration::from_millis(900));
  assert!(!request_in_new_flow(&mut agent, flow(7, 1)));
  agent.pass(Duration::from_millis(110));
  assert!(request_in_new_flow(&mut agent, flow(8, 1)));
  agent.packet(Packet::data(flow(8, 1), 101, 3));
  for port in 9..=12 {
    assert!(request_in_new_flow(&mut agent, flow(port, 1)));
  }
}

#[test]
fn an_upstream_that_answers_between_resets_stays_in_use() {
  let mut agent = Harness::agent(9, "a", true);
  for port in 1..=20 {
    assert!(request_in_new_flow(&mut agent, flow(port, 1)));
    let last = if port % 3 == 0 {
      Packet::data(flow(port, 1), 101, 3)
    } else {
      reset(flow(port, 1))
    };
    agent.packet(last);
  }
}

#[test]
fn an_upstream_that_never_answers_its_trial_is_tried_again() {
  let mut agent = Harness::agent(9, "a", true);
  for port in 1..=3 {
    assert!(request_in_new_flow(&mut agent, flow(port, 1)));
    agent.packet(reset(flow(port, 1)));
  }
  for port in 4..=6 {
    agent.pass(Duration::from_millis(510));
    assert!(request_in_new_flow(&mut agent, flow(port, 1)));
  }
}
