//! Routes with several weighted services: distribution of new flows, and searches that find a flow
//! at the service that accepted it, however its address was routed since.

use {
  crate::{
    balancing::{
      Balancer, absent, balancer, carried, feed_balancer_status, feed_status, is_reset, queried,
      search,
    },
    plain::Packet,
    support::{
      Sent, agent, backends, carry, configured, configured_weighted, flow, peer, unlisted, update,
      upstream,
    },
  },
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    datagram::{
      Backends, Flow, Frame, Load, Record, Service,
      frame::{FormerBackend, Handling, History, Refusal},
    },
  },
  std::{collections::BTreeMap, net::SocketAddrV4, time::Duration},
};

/// The number of flows that are distributed.
const FLOWS: u32 = 100_000;

fn flows() -> impl Iterator<Item = Flow> {
  (0..FLOWS).map(|number| Flow {
    caller: SocketAddrV4::new((number >> 8).into(), 1024 + (number & 0xff) as u16),
    route: crate::support::route(1),
  })
}

fn service_of(backends: &Backends, flow: &Flow) -> Service {
  backends.ranked(flow)[0].service.clone()
}

fn flows_by_service(backends: &Backends) -> BTreeMap<String, u32> {
  let mut flows_by_service = BTreeMap::new();
  for flow in flows() {
    *flows_by_service
      .entry(String::from(service_of(backends, &flow)))
      .or_default() += 1;
  }
  flows_by_service
}

/// Five standard deviations of the number of flows that get a share of the whole.
fn tolerance(share: f64) -> f64 {
  5.0 * (f64::from(FLOWS) * share * (1.0 - share)).sqrt()
}

#[test]
fn new_flows_are_shared_by_weight() {
  for shares in [
    vec![("a", 90), ("b", 10)],
    vec![("a", 1), ("b", 1), ("c", 2)],
    vec![("a", 999), ("b", 1)],
  ] {
    let flows_by_service = flows_by_service(&backends(&shares));
    let all = shares.iter().map(|(_, weight)| f64::from(*weight));
    let all = all.sum::<f64>();
    for (service, weight) in shares {
      let share = f64::from(weight) / all;
      let count = f64::from(flows_by_service.get(service).copied().unwrap_or_default());
      let deviation = (count - share * f64::from(FLOWS)).abs();
      assert!(
        deviation < tolerance(share),
        "{service}: {flows_by_service:?}"
      );
    }
  }
}

#[test]
fn a_change_of_weights_moves_the_fewest_flows_possible() {
  let before = backends(&[("a", 90), ("b", 10)]);
  let after = backends(&[("a", 80), ("b", 20)]);
  let b = "b".parse::<Service>().expect("a name");
  let moved = flows().filter(|flow| service_of(&before, flow) != service_of(&after, flow));
  let moved = moved.collect::<Vec<_>>();
  assert!(moved.iter().all(|flow| service_of(&after, flow) == b));
  let deviation = (moved.len() as f64 - 0.1 * f64::from(FLOWS)).abs();
  assert!(deviation < tolerance(0.1), "{}", moved.len());
}

#[test]
fn an_added_service_takes_flows_and_the_others_exchange_none() {
  let before = backends(&[("a", 3), ("b", 1)]);
  let after = backends(&[("a", 3), ("b", 1), ("c", 1)]);
  let c = "c".parse::<Service>().expect("a name");
  let mut moved = flows().filter(|flow| service_of(&before, flow) != service_of(&after, flow));
  assert!(moved.all(|flow| service_of(&after, &flow) == c));
}

#[test]
fn a_service_of_weight_zero_takes_none() {
  let flows_by_service = flows_by_service(&backends(&[("a", 0), ("b", 7)]));
  assert_eq!(
    flows_by_service.into_iter().collect::<Vec<_>>(),
    [("b".into(), FLOWS)]
  );
}

/// A configuration that routes address 1 to both services by these weights.
fn split_record(revision: u64, version: u64, a: u32, b: u32) -> Record {
  let both = vec![("a", a), ("b", b)];
  configured_weighted(revision, version, &[(1, both), (2, vec![("b", 1)])])
}

/// A balancer with two targets of service `a` and one of `b`, and a route to both.
fn balancer_with_split(a: u32, b: u32) -> Balancer {
  let mut balancer = balancer();
  balancer.platform(update(Some(4), 5, &[split_record(5, 2, a, b)]));
  balancer
}

/// Opens a flow. Returns the host that it is placed on.
fn open_flow(balancer: &mut Balancer, flow: Flow) -> u8 {
  let sent = balancer.packet(Packet::open(flow, 0));
  let carried = carried(&sent);
  let [(host, Handling::Open)] = carried[..] else {
    panic!("{sent:?}");
  };
  host
}

#[test]
fn balancers_agree_on_the_service_of_a_flow() {
  let (mut one, mut other) = (balancer_with_split(2, 1), balancer_with_split(2, 1));
  // The other balancer has pending flows, so that its targets seem busier.
  for port in 5000..5004 {
    other.packet(Packet::open(flow(port, 1), 0));
  }
  let at_b = |host: u8| host == 21;
  for port in 1..60 {
    let flow = flow(port, 1);
    for host in [11, 12, 21] {
      feed_status(&mut one, host, 1, Load::default());
      feed_status(&mut other, host, 1, Load::default());
    }
    let hosts = (open_flow(&mut one, flow), open_flow(&mut other, flow));
    assert_eq!(at_b(hosts.0), at_b(hosts.1), "{hosts:?}");
  }
}

#[test]
fn flows_of_a_service_without_targets_go_to_the_other_services_of_the_route() {
  let mut balancer = balancer_with_split(1, 99);
  balancer.platform(update(Some(5), 6, &[unlisted(6, "up-21")]));
  balancer.pass(Duration::from_secs(3));
  for host in [11, 12] {
    feed_status(&mut balancer, host, 1, Load::default());
  }
  for port in 1..20 {
    assert_ne!(open_flow(&mut balancer, flow(port, 1)), 21);
  }
}

#[test]
fn a_flow_is_reset_at_once_if_no_service_accepts_new_flows() {
  let mut balancer = balancer_with_split(0, 0);
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert!(is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

#[test]
fn an_open_flow_stays_at_its_service_when_weights_change() {
  let mut balancer = balancer_with_split(0, 1);
  assert_eq!(open_flow(&mut balancer, flow(1, 1)), 21);
  balancer.frame(21, &Frame::Opened(flow(1, 1), Load::default()), &[]);
  balancer.platform(update(Some(5), 6, &[split_record(6, 3, 1, 0)]));
  let sent = balancer.packet(Packet::data(flow(1, 1), 2, 100));
  assert_matches!(
    &sent[..],
    [Sent::Frame(to, Frame::Carry { handling: Handling::Deliver, service, .. }, _)]
      if *to == peer(21) && *service == crate::support::digest("b")
  );
}

#[test]
fn a_reopened_flow_follows_the_newest_configuration() {
  let mut balancer = balancer_with_split(0, 1);
  assert_eq!(open_flow(&mut balancer, flow(1, 1)), 21);
  balancer.frame(21, &Frame::Opened(flow(1, 1), Load::default()), &[]);
  balancer.platform(update(Some(5), 6, &[split_record(6, 3, 1, 0)]));
  assert_ne!(open_flow(&mut balancer, flow(1, 1)), 21);
}

/// Checks that a balancer which does not know `flow(1, 1)` finds it at the target of service `b`.
fn check_found_at_b(balancer: &mut Balancer) {
  let mut all = search(balancer);
  all.extend(queried(&balancer.pass(Duration::from_millis(50))));
  assert!(all.contains(&21), "{all:?}");
  for host in [11, 12] {
    let sent = balancer.frame(host, &absent(4), &[]);
    assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  }
  let found = Frame::Found {
    flow: flow(1, 1),
    service: crate::support::digest("b"),
  };
  let sent = balancer.frame(21, &found, &[]);
  assert_eq!(carried(&sent), [(21, Handling::Deliver)]);
}

#[test]
fn a_flow_is_found_at_any_service_of_its_route() {
  check_found_at_b(&mut balancer_with_split(90, 10));
}

#[test]
fn a_flow_is_found_at_a_service_whose_weight_became_zero() {
  let mut balancer = balancer_with_split(90, 10);
  balancer.platform(update(Some(5), 6, &[split_record(6, 3, 1, 0)]));
  check_found_at_b(&mut balancer);
}

#[test]
fn a_flow_is_found_at_a_service_that_its_route_no_longer_names() {
  let mut balancer = balancer_with_split(90, 10);
  let routes = [(1, "a"), (2, "b")];
  balancer.platform(update(Some(5), 6, &[configured(6, 3, &routes)]));
  check_found_at_b(&mut balancer);
}

#[test]
fn a_flow_is_found_after_its_route_was_removed_and_added_again() {
  let mut balancer = balancer_with_split(90, 10);
  balancer.platform(update(Some(5), 6, &[configured(6, 3, &[(2, "b")])]));
  let routes = [(1, "a"), (2, "b")];
  balancer.platform(update(Some(6), 7, &[configured(7, 4, &routes)]));
  check_found_at_b(&mut balancer);
}

#[test]
fn a_flow_is_found_after_several_changes_of_its_route() {
  let mut balancer = balancer_with_split(0, 1);
  let routes = [(1, "a"), (2, "b")];
  balancer.platform(update(Some(5), 6, &[configured(6, 3, &routes)]));
  let third = [(1, vec![("a", 1), ("c", 1)]), (2, vec![("b", 1)])];
  balancer.platform(update(Some(6), 7, &[configured_weighted(7, 4, &third)]));
  check_found_at_b(&mut balancer);
}

#[test]
fn a_former_backend_is_not_queried_after_the_lifetime_of_flows() {
  let mut balancer = balancer_with_split(90, 10);
  let routes = [(1, "a"), (2, "b")];
  balancer.platform(update(Some(5), 6, &[configured(6, 3, &routes)]));
  balancer.pass(Duration::from_secs(80));
  for host in [11, 12, 21] {
    feed_status(&mut balancer, host, 1, Load::default());
  }
  let mut all = search(&mut balancer);
  all.extend(queried(&balancer.pass(Duration::from_millis(50))));
  assert!(!all.contains(&21), "{all:?}");
}

#[test]
fn a_starting_balancer_learns_former_backends_from_its_peers() {
  let mut balancer = balancer();
  feed_balancer_status(&mut balancer, 2);
  search(&mut balancer);
  for host in [11, 12] {
    let sent = balancer.frame(host, &absent(4), &[]);
    assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  }
  let history = Frame::History(History {
    flows_known: true,
    known: true,
    former_backends: vec![FormerBackend {
      address: crate::support::route(1),
      age_ms: 500,
      service: "b".parse().expect("a name"),
    }],
    part: 0,
    parts: 1,
    synced: Revision(4),
    tombstones: vec![],
  });
  let sent = balancer.frame(2, &history, &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  let mut repeated = Vec::new();
  for _ in 0..4 {
    repeated.extend(queried(&balancer.pass(Duration::from_millis(50))));
  }
  assert!(repeated.contains(&21), "{repeated:?}");
  let sent = balancer.frame(21, &absent(4), &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn a_balancer_sends_its_former_backends_on_request() {
  let mut balancer = balancer_with_split(90, 10);
  let routes = [(1, "a"), (2, "b")];
  balancer.platform(update(Some(5), 6, &[configured(6, 3, &routes)]));
  let sent = balancer.frame(2, &Frame::HistoryRequest, &[]);
  assert_matches!(
    &sent[..],
    [Sent::Frame(to, Frame::History(History { former_backends, .. }), _)]
      if *to == peer(2) && former_backends.len() == 1 && former_backends[0].address == crate::support::route(1)
  );
}

#[test]
fn tombstones_reported_by_an_agent_belong_to_its_service() {
  let mut balancer = balancer_with_split(90, 10);
  search(&mut balancer);
  let known = fallwell::datagram::frame::Known {
    synced: Revision(4),
    service: "b".parse().expect("a name"),
    tombstones: vec![(upstream(22), 100)],
  };
  let absent = Frame::Absent {
    flows: vec![flow(1, 1)],
    known,
    lost: false,
  };
  balancer.frame(21, &absent, &[]);
  balancer.platform(update(Some(5), 6, &[split_record(6, 3, 1, 0)]));
  // The tombstone belongs to service `b` and is not queried about flows to `a`.
  let routes = [(1, "b"), (3, "a")];
  balancer.platform(update(Some(6), 7, &[configured(7, 4, &routes)]));
  balancer.packet(Packet::data(flow(1, 3), 2, 100));
  let mut queried = Vec::new();
  for _ in 0..3 {
    for sent in balancer.pass(Duration::from_millis(50)) {
      if let Sent::Frame(to, Frame::Query { flows, .. }, _) = sent
        && flows.iter().any(|(queried, _)| *queried == flow(1, 3))
      {
        queried.push(to.ip().octets()[3]);
      }
    }
  }
  assert!(!queried.contains(&22), "{queried:?}");
}

#[test]
fn an_agent_rejects_a_new_flow_that_is_routed_to_another_service() {
  let mut agent = agent();
  agent.platform(update(Some(2), 3, &[split_record(3, 2, 0, 1)]));
  let packet = Packet::open(flow(1, 1), 0);
  // The sender has an older configuration.
  let sent = agent.frame(1, &carry(Handling::Open), &packet.write());
  assert!(!sent.contains(&Sent::Upstream(packet)), "{sent:?}");
}

#[test]
fn an_agent_of_another_service_denies_a_flow() {
  let mut agent = agent();
  let query = Frame::Query {
    synced: Revision(2),
    flows: vec![(flow(1, 1), 100)],
    services: vec![crate::support::digest("b"), crate::support::digest("c")],
  };
  let sent = agent.frame(1, &query, &[]);
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Absent { lost: false, .. }, _)]
  );
}

#[test]
fn a_refused_flow_stays_with_its_service() {
  let mut balancer = balancer_with_split(1, 0);
  let first = open_flow(&mut balancer, flow(1, 1));
  let busy = Load {
    service_ms: 40,
    work: 4,
    ..Load::default()
  };
  let refused = Frame::Refused(flow(1, 1), Refusal::Busy, busy);
  let sent = balancer.frame(first, &refused, &[]);
  assert_eq!(
    carried(&sent),
    [(if first == 11 { 12 } else { 11 }, Handling::Open)]
  );
}
