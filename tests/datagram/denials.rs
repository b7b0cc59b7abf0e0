//! An agent's answer counts for what it was asked: a flow must not be reset because its owner was
//! asked about other services only.

use {
  crate::{
    balancing::{
      Balancer, absent, balancer, feed_balancer_status, feed_status, is_reset, queried, search,
    },
    plain::Packet,
    support::{
      Agent, Harness, Sent, carry_to, configured, configured_weighted, digest, flow, listed, peer,
      route, unlisted, update,
    },
  },
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    config::Presence,
    datagram::{
      Frame, Load, Record,
      frame::{FormerBackend, Handling, History},
    },
  },
  std::time::Duration,
};

/// The host of the agent that owns `flow(1, 1)`.
const OWNER: u8 = 22;

/// A configuration that routes address 1 to services `a` and `b`.
fn both(revision: u64, version: u64) -> Record {
  configured_weighted(revision, version, &[(1, vec![("a", 1), ("b", 1)])])
}

/// An agent of service `b` that owns `flow(1, 1)`. Its target has left the target list and its
/// service the flow's route.
fn owner() -> Agent {
  let mut agent = Harness::agent(OWNER, "b", true);
  let live = Presence::Live;
  let listed = listed(2, "up-22", OWNER, "b", live);
  agent.platform(update(None, 2, &[both(1, 1), listed]));
  let open = Packet::open(flow(1, 1), 0);
  agent.frame(1, &carry_to("b", Handling::Open), &open.write());
  agent.packet(Packet::answer(flow(1, 1), 99));
  let data = Packet::data(flow(1, 1), 2, 100);
  agent.frame(1, &carry_to("b", Handling::Deliver), &data.write());
  agent.packet(Packet::data(flow(1, 1), 100, 3));
  let records = [configured(3, 2, &[(1, "a")]), unlisted(4, "up-22")];
  agent.platform(update(Some(2), 4, &records));
  agent
}

/// A balancer that has just started and does not know that address 1 was routed to service `b`. It
/// hears from the owner's agent, whose target it does not know.
fn started() -> Balancer {
  let mut balancer = balancer();
  feed_balancer_status(&mut balancer, 2);
  feed_status(&mut balancer, OWNER, 1, Load::default());
  balancer
}

/// The history of a balancer that remembers the route to service `b`.
fn history() -> Frame {
  Frame::History(History {
    flows_known: true,
    known: true,
    former_backends: vec![FormerBackend {
      address: route(1),
      age_ms: 500,
      service: "b".parse().expect("a name"),
    }],
    part: 0,
    parts: 1,
    synced: Revision(4),
    tombstones: vec![],
  })
}

/// Passes the queries among `sent` to the owner, and its answers back.
fn relay(balancer: &mut Balancer, owner: &mut Agent, sent: &[Sent]) -> Vec<Sent> {
  let mut all = Vec::new();
  for sent in sent {
    let Sent::Frame(to, query @ Frame::Query { .. }, _) = sent else {
      continue;
    };
    if *to != peer(OWNER) {
      continue;
    }
    for answer in owner.frame(1, query, &[]) {
      if let Sent::Frame(_, answer, packet) = answer {
        all.extend(balancer.frame(OWNER, &answer, &packet));
      }
    }
  }
  all
}

/// Guards against the reset of a flow whose owner had denied it when it was asked about the other
/// services of the flow's route only.
#[test]
fn a_flow_of_a_withdrawn_service_is_found_before_the_history_has_come() {
  let (mut balancer, mut owner) = (started(), owner());
  balancer.packet(Packet::data(flow(1, 1), 2, 100));
  let mut all = Vec::new();
  for step in 0..40 {
    let sent = balancer.pass(Duration::from_millis(10));
    all.extend(relay(&mut balancer, &mut owner, &sent));
    if step == 2 {
      for host in [11, 12] {
        all.extend(balancer.frame(host, &absent(4), &[]));
      }
    }
    if step == 10 {
      all.extend(balancer.frame(2, &history(), &[]));
    }
    all.extend(sent);
  }
  assert!(!is_reset(&all, flow(1, 1), 100), "{all:?}");
  let delivered = all.iter().any(|sent| {
    matches!(sent, Sent::Frame(to, Frame::Carry { handling: Handling::Deliver, .. }, _)
      if *to == peer(OWNER))
  });
  assert!(delivered, "{all:?}");
}

#[test]
fn an_agent_that_could_not_answer_is_queried_again_once_its_service_is_known() {
  let mut balancer = started();
  search(&mut balancer);
  let foreign = Frame::Foreign {
    flows: vec![flow(1, 1)],
    service: digest("b"),
  };
  for host in [11, 12] {
    balancer.frame(host, &absent(4), &[]);
  }
  assert_eq!(queried(&balancer.pass(Duration::from_millis(1))), [OWNER]);
  let mut all = balancer.frame(OWNER, &foreign, &[]);
  all.extend(balancer.frame(2, &history(), &[]));
  let sent = balancer.pass(Duration::from_millis(1));
  assert!(queried(&sent).contains(&OWNER), "{sent:?}");
  // The answer to the first query, sent a second time, changes nothing.
  all.extend(balancer.frame(OWNER, &foreign, &[]));
  all.extend(balancer.frame(21, &absent(4), &[]));
  assert!(!is_reset(&all, flow(1, 1), 100), "{all:?}");
  let sent = balancer.frame(OWNER, &absent(4), &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn an_agent_that_cannot_answer_counts_as_denial_if_its_service_was_never_on_the_route() {
  let mut balancer = started();
  search(&mut balancer);
  for host in [11, 12] {
    balancer.frame(host, &absent(4), &[]);
  }
  let foreign = Frame::Foreign {
    flows: vec![flow(1, 1)],
    service: digest("c"),
  };
  balancer.frame(OWNER, &foreign, &[]);
  let sent = balancer.frame(2, &history(), &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  let sent = balancer.frame(21, &absent(4), &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

/// The query of a balancer that knows only service `a` on the route of `flow(1, 1)`.
fn query_of_a() -> Frame {
  Frame::Query {
    synced: Revision(4),
    flows: vec![(flow(1, 1), 100)],
    services: vec![digest("a")],
  }
}

#[test]
fn an_agent_that_has_just_started_tests_no_flow_of_another_service() {
  let mut agent = Harness::agent(OWNER, "b", false);
  agent.platform(update(None, 3, &[configured(3, 2, &[(1, "a")])]));
  let sent = agent.frame(1, &query_of_a(), &[]);
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Foreign { flows, service }, _)]
      if flows[..] == [flow(1, 1)] && *service == digest("b")
  );
  let packet = Packet::data(flow(1, 1), 2, 100).write();
  let sent = agent.frame(1, &carry_to("a", Handling::Test), &packet);
  assert!(!sent.iter().any(|sent| matches!(sent, Sent::Upstream(_))));
}

#[test]
fn an_agent_that_remembers_the_route_to_its_service_offers_a_test() {
  let mut agent = Harness::agent(OWNER, "b", false);
  agent.platform(update(None, 1, &[both(1, 1)]));
  agent.platform(update(Some(1), 3, &[configured(3, 2, &[(1, "a")])]));
  let sent = agent.frame(1, &query_of_a(), &[]);
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Unsure { flows, service }, _)]
      if flows[..] == [flow(1, 1)] && *service == digest("b")
  );
}

#[test]
fn an_agent_that_knows_all_its_flows_denies_one_of_another_service() {
  let mut agent = Harness::agent(OWNER, "b", true);
  let sent = agent.frame(1, &query_of_a(), &[]);
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Absent { lost: false, .. }, _)]
  );
}
