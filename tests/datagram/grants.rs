//! An agent reserves free slots of its upstream for flows that are queued in balancers, up to a
//! limit.

use {
  crate::{
    balancing::{Balancer, balancer, busy, carried, feed_status},
    plain::{Packet, Plain},
    support::{
      Agent, Sent, agent, carry, configuration, configured, configured_first, digest, flow, listed,
      peer, route, settings, update, upstream,
    },
  },
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    config::Presence,
    datagram::{
      Frame, Load, Overload, Record, Settings, Tuning, Update, Upstream,
      agent::{self, Bid, Schedule},
      balancer,
      frame::{Demand, Handling, Refusal},
    },
  },
  proptest::prelude::*,
  std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddrV4,
    sync::Arc,
    time::Duration,
  },
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
    ..Demand::default()
  }
}

fn grant(load: Load) -> Frame {
  Frame::Grant { load, priority: 1 }
}

/// The balancers that were granted a slot, in order.
fn granted(sent: &[Sent]) -> Vec<SocketAddrV4> {
  let grants = classes_granted(sent).into_iter();
  grants.map(|(to, ..)| to).collect()
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

/// The same at an agent that has measured nothing: a grant takes 25 ms and a request 40 ms.
const GRANTS_BY_CLASS_MAX: usize = 7;

/// Settings with which classes and callers decide who gets a slot.
fn overload() -> Tuning {
  Tuning {
    overload: Overload { enabled: true },
    ..Tuning::default()
  }
}

/// The routes 1 and 3 of service `a`, of which 3 has precedence, and its targets on these hosts.
fn two_classes(hosts: &[u8]) -> Update {
  let mut records = vec![configured_first(1, 1, &[(1, "a"), (3, "a")], 3)];
  for host in hosts {
    let id = format!("up-{host}");
    records.push(listed(2, &id, *host, "a", Presence::Live));
  }
  update(None, 2, &records)
}

/// An agent like `agent()`, with `overload()` and two classes.
fn agent_by_class() -> Agent {
  let mut agent = agent();
  let place = Upstream {
    address: upstream(9),
    outbound: upstream(10),
    service: "a".parse().expect("a name"),
  };
  let settings = Settings {
    first_start: true,
    ..settings(9)
  };
  let (now, counter) = (agent.now, Arc::default());
  agent.machine = agent::Machine::new(now, &settings, place, overload(), Plain, 1, counter);
  agent.platform(two_classes(&[9]));
  agent
}

/// A balancer with `overload()`, two classes and two targets.
fn balancer_by_class() -> Balancer {
  let mut balancer = balancer();
  let (now, counter) = (balancer.now, Arc::default());
  balancer.machine = balancer::Machine::new(now, &settings(1), overload(), Plain, 1, counter);
  balancer.platform(two_classes(&[11, 12]));
  balancer
}

/// A load of `work` requests at the upstream and `waiting` flows in balancers.
fn contended(work: u16, waiting: u16) -> Load {
  Load {
    waiting,
    ..busy(work)
  }
}

/// Feeds the loads of both targets.
fn feed_loads(balancer: &mut Balancer, load: Load) {
  for host in [11, 12] {
    feed_status(balancer, host, 1, load);
  }
}

/// The grants that were sent: to whom, for which priority, and the number of waiting flows.
fn classes_granted(sent: &[Sent]) -> Vec<(SocketAddrV4, u8, u16)> {
  let frames = sent.iter().filter_map(|sent| match sent {
    Sent::Frame(to, Frame::Grant { load, priority }, _) => Some((*to, *priority, load.waiting)),
    _ => None,
  });
  frames.collect()
}

/// The grants after two balancers have reported these classes and all slots become free at once.
fn granted_together(first: Vec<Demand>, second: Vec<Demand>) -> Vec<(SocketAddrV4, u8, u16)> {
  let mut agent = agent_by_class();
  agent.frame(3, &backlog(GRANTS_BY_CLASS_MAX as u16), &[]);
  agent.frame(1, &backlog_of(first), &[]);
  agent.frame(2, &backlog_of(second), &[]);
  classes_granted(&agent.frame(3, &backlog(0), &[]))
}

/// Guards against a priority that ends at the balancer: the longest queue got the slots.
#[test]
fn slots_go_to_the_highest_class_wherever_it_waits() {
  let sent = granted_together(vec![demand(1, 40, 40)], vec![demand(0, 2, 2)]);
  assert_eq!(sent[..2], [(peer(2), 0, 42); 2]);
  assert_eq!(sent[2..], [(peer(1), 1, 42); 5]);
}

/// Guards against a caller with many flows counting as many callers.
#[test]
fn a_balancer_weighs_as_much_as_its_callers() {
  let sent = granted_together(vec![demand(1, 100, 1)], vec![demand(1, 5, 5)]);
  let second = sent.iter().filter(|(to, ..)| *to == peer(2)).count();
  assert_eq!((sent.len(), second), (GRANTS_BY_CLASS_MAX, 5));
}

/// Guards against flows that jump the queue of all others at a busy target.
#[test]
fn flows_without_a_grant_are_refused_while_more_wait_than_there_are_slots() {
  let mut agent = agent_by_class();
  agent.frame(1, &backlog(5), &[]);
  let sent = open(&mut agent, 2, 1);
  assert_matches!(
    sent[..],
    [Sent::Frame(_, Frame::Refused(_, Refusal::Busy, _), _)]
  );
  // A balancer that hears from no agent is refused by the load alone.
  let packet = Packet::open(flow(1, 1), 0).write();
  let sent = agent.frame(2, &carry(Handling::OpenUngranted), &packet);
  assert_matches!(sent[..], [Sent::Upstream(_)]);
  assert_matches!(open(&mut agent, 1, 3)[..], [Sent::Upstream(_)]);
  // Now 4 wait.
  assert_matches!(open(&mut agent, 2, 4)[..], [Sent::Upstream(_)]);
}

/// Guards against a grant that the retransmission of another flow uses up.
#[test]
fn a_retransmission_uses_no_slot() {
  let mut agent = agent_by_class();
  open(&mut agent, 1, 1);
  agent.frame(1, &backlog(1), &[]);
  open(&mut agent, 1, 1);
  assert_eq!(granted(&agent.frame(1, &backlog(1), &[])), []);
}

/// Failure: a balancer dies with flows queued. Guards against slots that stay reserved for it until
/// its backlog expires.
#[test]
fn a_dead_balancer_is_granted_no_more_than_three_slots_in_a_row() {
  let mut agent = agent_by_class();
  agent.frame(1, &backlog(1), &[]);
  let mut again = 0;
  for _ in 0..4 {
    again += granted(&agent.pass(Duration::from_millis(25))).len();
  }
  assert_eq!(again, 2);
  // It has restarted, and reports again.
  assert_eq!(granted(&agent.frame(1, &backlog(1), &[])), [peer(1)]);
}

/// The classes of the backlog that was sent to the first target.
fn demands(sent: &[Sent]) -> Option<Vec<(u8, u16, u16)>> {
  sent.iter().find_map(|sent| match sent {
    Sent::Frame(to, Frame::Backlog { classes, .. }, _) if *to == peer(11) => {
      let classes = classes.iter();
      Some(
        classes
          .map(|demand| (demand.priority, demand.flows, demand.callers))
          .collect(),
      )
    }
    _ => None,
  })
}

/// Guards against a frame that grows with the number of priorities.
#[test]
fn a_backlog_names_each_class_and_counts_the_lowest_of_many_together() {
  let mut balancer = balancer_by_class();
  let routes = (1..=10).map(|number| (number, "a"));
  let mut configuration = configuration(2, &routes.collect::<Vec<_>>());
  for (priority, route) in (0..).zip(configuration.routes.values_mut()) {
    route.priority = priority;
  }
  let record = Record::Configuration {
    configuration,
    revision: Revision(3),
  };
  balancer.platform(update(Some(2), 3, &[record]));
  feed_loads(&mut balancer, busy(24));
  for (port, number) in [(1, 1), (1, 2), (2, 2)] {
    balancer.packet(Packet::open(flow(port, number), 0));
  }
  let sent = balancer.pass(Duration::ZERO);
  assert_eq!(demands(&sent), Some(vec![(0, 1, 1), (1, 2, 1)]));
  for number in 1..=10 {
    balancer.packet(Packet::open(flow(3, number), 0));
  }
  // A class has doubled.
  let classes = demands(&balancer.pass(Duration::from_millis(5)));
  let classes = classes.expect("a backlog");
  assert_eq!(
    (classes.len(), classes[0], classes[7]),
    (8, (0, 2, 1), (7, 3, 3))
  );
}

#[test]
fn a_grant_is_used_for_its_class_or_else_for_the_most_urgent() {
  let mut balancer = balancer_by_class();
  feed_loads(&mut balancer, busy(24));
  for (port, route) in [(1, 3), (2, 1), (3, 3)] {
    balancer.packet(Packet::open(flow(port, route), 0));
  }
  let mut routes = Vec::new();
  for _ in 0..3 {
    let sent = balancer.frame(12, &grant(busy(5)), &[]);
    routes.extend(sent.iter().filter_map(|sent| match sent {
      Sent::Frame(_, Frame::Carry { .. }, packet) => Packet::read(packet).ok(),
      _ => None,
    }));
  }
  let routes = routes.iter().map(|packet| packet.flow.route);
  assert_eq!(routes.collect::<Vec<_>>(), [route(1), route(3), route(3)]);
}

/// Guards against a balancer with an empty queue that sends straight to targets for which flows wait
/// elsewhere.
#[test]
fn a_new_flow_waits_for_a_grant_while_flows_wait_elsewhere() {
  let mut balancer = balancer_by_class();
  feed_loads(&mut balancer, contended(0, 4));
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let [(host, Handling::Open)] = carried(&sent)[..] else {
    panic!("{sent:?}");
  };
  // The other target would refuse it as well.
  let refused = Frame::Refused(flow(1, 1), Refusal::Busy, contended(2, 5));
  assert_eq!(balancer.frame(host, &refused, &[]), []);
  assert_eq!(balancer.packet(Packet::open(flow(2, 1), 0)), []);
  // Loads that are known do not place it: another balancer may be granted the slot.
  let sent = balancer.pass(Duration::from_millis(5));
  assert_eq!((carried(&sent), backlogs(&sent).len()), (vec![], 2));
  let sent = balancer.frame(11, &grant(contended(0, 5)), &[]);
  assert_eq!(carried(&sent), [(11, Handling::Open)]);
}

/// Failure: all agents of the service are cut off or have restarted, and grant nothing. Guards
/// against flows that wait for grants until their callers give up.
#[test]
fn flows_are_placed_by_loads_if_no_agent_answers() {
  let mut balancer = balancer_by_class();
  feed_loads(&mut balancer, contended(0, 5));
  balancer.packet(Packet::open(flow(1, 1), 0));
  balancer.pass(Duration::ZERO);
  assert_eq!(carried(&balancer.pass(Duration::from_millis(55))), []);
  // One answers, so that there is hope for a grant.
  feed_status(&mut balancer, 12, 1, contended(0, 5));
  assert_eq!(carried(&balancer.pass(Duration::from_millis(50))), []);
  let sent = balancer.pass(Duration::from_millis(65));
  let ungranted = |sent: &[Sent]| matches!(carried(sent)[..], [(_, Handling::OpenUngranted)]);
  assert!(ungranted(&sent), "{sent:?}");
  assert!(ungranted(&balancer.packet(Packet::open(flow(2, 1), 0))));
  feed_status(&mut balancer, 12, 1, contended(0, 5));
  assert_eq!(balancer.packet(Packet::open(flow(3, 1), 0)), []);
}

fn bid(balancer: u8, priority: u8, callers: u16) -> Bid {
  Bid {
    balancer: peer(balancer),
    callers,
    flows: callers,
    granted: 0,
    priority,
  }
}

/// Replays 4 s at a target that serves 100 flows a second: two balancers with 30 and 120 flows a
/// second of priority 1, one of them also with 40 of priority 0. Guards against a chance that
/// depends on where a caller enters, and against a lower class that gets nothing.
#[test]
fn callers_of_a_class_have_the_same_chance_in_a_replayed_load() {
  let mut queues = BTreeMap::<(u8, u8), VecDeque<u32>>::new();
  let mut granted = BTreeMap::<(u8, u8), (u32, u32)>::new();
  let mut schedule = Schedule::default();
  for ms in 0..4000 {
    for (key, interval) in [((1, 0), 25), ((1, 1), 33), ((2, 1), 8)] {
      let arrived = (ms % interval == 0).then_some(ms);
      queues.entry(key).or_default().extend(arrived);
    }
    let bids = queues.iter();
    let bids = bids.map(|((balancer, class), queue)| bid(*balancer, *class, queue.len() as u16));
    if ms % 10 != 0 {
      continue;
    }
    if let Some((to, class)) = schedule.next(&bids.collect::<Vec<_>>()) {
      let key = (to.ip().octets()[3], class);
      let since = queues.get_mut(&key).and_then(VecDeque::pop_front);
      let (count, longest) = granted.entry(key).or_default();
      *count += 1;
      *longest = (*longest).max(ms - since.expect("a queued flow"));
    }
  }
  let (count, longest) = granted[&(1, 0)];
  assert!(count >= 159 && longest <= 30, "{count} flows, {longest} ms");
  let chance = |balancer| {
    let left = queues[&(balancer, 1)].len() as f64;
    let (count, _) = granted[&(balancer, 1)];
    f64::from(count) / (left + f64::from(count))
  };
  let (first, second) = (chance(1), chance(2));
  assert!((first - second).abs() < 0.05, "{first} and {second}");
}

proptest! {
  #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

  /// Guards against a slot that no balancer wants, more than one grant in 8 to a lower class, and a
  /// lower class that starves.
  #[test]
  fn one_grant_in_eight_goes_to_a_lower_class(
    steps in prop::collection::vec(prop::collection::vec((0..4_u16, 0..4_u16), 12), 1..200),
  ) {
    let (mut schedule, mut higher) = (Schedule::default(), 0);
    let mut passed = BTreeMap::<u8, u32>::new();
    for step in steps {
      let bids = (0..12_u8).zip(step).map(|(number, (flows, granted))| Bid {
        granted,
        ..bid(number % 3, number / 3, flows)
      });
      let bids = bids.collect::<Vec<_>>();
      let wanting = bids.iter().filter(|bid| bid.flows > bid.granted);
      let wanting = wanting.map(|bid| (bid.balancer, bid.priority)).collect::<Vec<_>>();
      let next = schedule.next(&bids);
      prop_assert_eq!(next.is_some(), !wanting.is_empty());
      passed.retain(|class, _| wanting.iter().any(|(_, priority)| priority == class));
      let Some((to, priority)) = next else {
        continue;
      };
      prop_assert!(wanting.contains(&(to, priority)));
      let (_, highest) = wanting[0];
      prop_assert!(priority == highest || higher >= 7, "{} since the last lower one", higher);
      higher = if priority == highest { higher + 1 } else { 0 };
      for (_, class) in &wanting {
        passed.entry(*class).or_default();
      }
      for grants in passed.values_mut() {
        *grants += 1;
      }
      passed.remove(&priority);
      // Three lower classes share each eighth grant.
      prop_assert!(passed.values().all(|grants| *grants <= 8 * 3), "{:?}", passed);
    }
  }
}
