//! Entries of the target list that another program has written must not take the place of targets on
//! the same instances.

use {
  crate::{
    balancing::{Balancer, agent_status, carried, is_reset},
    plain::Packet,
    support::{Harness, Sent, configured, flow, listed, peer, unlisted, update, upstream},
    world::World,
  },
  fallwell::{
    config::Presence,
    datagram::{Frame, Load, Record, frame::Handling, target::StartTime},
  },
  std::time::Duration,
};

/// The hosts of the targets of service `a`.
const A_HOSTS: std::ops::Range<u8> = 11..14;

/// The hosts of the targets of service `b`.
const B_HOSTS: std::ops::Range<u8> = 21..23;

fn world(seed: u64) -> World {
  let mut world = World::new(seed);
  world.configure(&[(1, "a"), (2, "b")]);
  for host in A_HOSTS {
    world.start_target(host, "a");
  }
  for host in B_HOSTS {
    world.start_target(host, "b");
  }
  world.run(2000);
  world
}

/// Checks that new flows of both services are served without a reset.
fn check_served(world: &mut World, seed: u64) {
  let (served, reset) = (world.served, world.reset);
  for number in 0..60 {
    world.call(1 + number % 2, 3);
    world.run(20);
  }
  world.run(2000);
  assert_eq!(
    (world.served - served, world.reset - reset),
    (60, 0),
    "seed {seed}"
  );
}

/// Restarts all processes at once.
fn restart_all(world: &mut World) {
  world.lose_power(false);
  world.run(500);
  world.restore_power();
  world.run(2000);
}

/// Guards against the loss of all targets of a service to entries of a service that no route has.
#[test]
fn entries_of_an_unknown_service_displace_no_target() {
  for seed in 0..8 {
    let mut world = world(seed);
    for host in A_HOSTS.chain(B_HOSTS) {
      world.list_foreign(host, "exporter", Presence::Live);
    }
    world.run(1000);
    check_served(&mut world, seed);
    restart_all(&mut world);
    check_served(&mut world, seed);
  }
}

/// The same where the entries name services that have routes, also that of the target.
#[test]
fn entries_of_a_configured_service_displace_no_target() {
  for seed in 0..8 {
    let mut world = world(seed);
    for host in A_HOSTS {
      world.list_foreign(host, "b", Presence::Live);
      world.list_foreign(host, "a", Presence::Leaving);
    }
    for host in B_HOSTS {
      world.list_foreign(host, "a", Presence::Live);
    }
    world.run(1000);
    check_served(&mut world, seed);
    restart_all(&mut world);
    check_served(&mut world, seed);
  }
}

/// Guards against processes that take themselves, or each other, for agents.
#[test]
fn entries_of_the_instances_of_balancers_are_harmless() {
  for seed in 0..8 {
    let mut world = world(seed);
    for host in 1..=3 {
      world.list_foreign(host, "exporter", Presence::Live);
      world.list_foreign(host, "a", Presence::Live);
    }
    world.run(1000);
    check_served(&mut world, seed);
    restart_all(&mut world);
    check_served(&mut world, seed);
  }
}

/// An entry of another program on a target's instance, at another port.
fn foreign(revision: u64, host: u8, service: &str, presence: Presence) -> Record {
  at_port(listed(revision, "foreign", host, service, presence), 9100)
}

/// The record of a target, with another port.
fn at_port(mut record: Record, port: u16) -> Record {
  if let Record::Target {
    target: Some(target),
    ..
  } = &mut record
  {
    target.address.set_port(port);
  }
  record
}

/// A balancer with one target of service `a` and one of service `b`, whose agents have reported.
fn balancer() -> Balancer {
  let mut balancer = unreported();
  report(&mut balancer, 4);
  balancer
}

/// The same before the agents have reported their upstreams.
fn unreported() -> Balancer {
  let mut balancer = Harness::balancer(1, None);
  let records = [
    configured(1, 1, &[(1, "a"), (2, "b")]),
    listed(3, "up-11", 11, "a", Presence::Live),
    listed(4, "up-21", 21, "b", Presence::Live),
  ];
  balancer.platform(update(None, 4, &records));
  balancer
}

/// Feeds the statuses of both agents, which know the target list up to a revision.
fn report(balancer: &mut Balancer, synced: u64) {
  for (host, service) in [(11, "a"), (21, "b")] {
    let status = agent_status(host, service, synced, Load::default());
    balancer.frame(host, &Frame::Status(status), &[]);
  }
}

/// What a balancer does with the first packet of a new flow to a route.
fn open(balancer: &mut Balancer, port: u16, route: u8) -> Vec<Sent> {
  balancer.packet(Packet::open(flow(port, route), 0))
}

#[test]
fn the_entry_of_the_agents_own_upstream_is_its_target() {
  let mut balancer = balancer();
  for (revision, service) in [(5, "exporter"), (6, "a"), (7, "b")] {
    let record = foreign(revision, 11, service, Presence::Leaving);
    balancer.platform(update(Some(revision - 1), revision, &[record]));
    let sent = open(&mut balancer, revision as u16, 1);
    assert_eq!(carried(&sent), [(11, Handling::Open)], "{service}");
  }
}

#[test]
fn an_entry_that_its_agent_does_not_claim_names_no_target() {
  let mut balancer = balancer();
  let records = [
    unlisted(5, "up-21"),
    foreign(6, 21, "b", Presence::Live),
    foreign(6, 11, "b", Presence::Live),
  ];
  balancer.platform(update(Some(4), 6, &records));
  report(&mut balancer, 6);
  balancer.pass(Duration::from_secs(2));
  report(&mut balancer, 6);
  // No target of the service is left: the flow is rejected at once.
  let sent = open(&mut balancer, 1, 2);
  assert!(is_reset(&sent, flow(1, 2), 0), "{sent:?}");
}

#[test]
fn no_flow_is_rejected_before_the_agents_have_reported() {
  let mut balancer = unreported();
  balancer.platform(update(Some(4), 5, &[foreign(5, 11, "b", Presence::Live)]));
  assert_eq!(open(&mut balancer, 1, 1), []);
  report(&mut balancer, 5);
  let sent = balancer.pass(Duration::from_millis(30));
  assert_eq!(carried(&sent), [(11, Handling::Open)]);
}

#[test]
fn an_entry_of_a_service_without_a_route_is_not_preferred() {
  let mut balancer = unreported();
  let record = foreign(5, 11, "exporter", Presence::Live);
  balancer.platform(update(Some(4), 5, &[record]));
  let sent = open(&mut balancer, 1, 1);
  assert_eq!(carried(&sent), [(11, Handling::Open)]);
}

#[test]
fn a_target_that_starts_again_under_another_id_stays_in_use() {
  let mut balancer = balancer();
  let records = [
    unlisted(5, "up-11"),
    listed(6, "up-11-again", 11, "a", Presence::Live),
  ];
  balancer.platform(update(Some(4), 6, &records));
  report(&mut balancer, 6);
  let sent = open(&mut balancer, 1, 1);
  assert_eq!(carried(&sent), [(11, Handling::Open)]);
}

#[test]
fn a_target_that_moves_to_another_port_stays_in_use() {
  let mut balancer = balancer();
  let moved = at_port(listed(5, "up-11", 11, "a", Presence::Live), 8001);
  balancer.platform(update(Some(4), 5, &[moved]));
  // Its agent has not received the entry yet, or has not been started with the new port.
  let sent = open(&mut balancer, 1, 1);
  assert_eq!(carried(&sent), [(11, Handling::Open)]);
  let status = agent_of_port(8001, 5);
  balancer.frame(11, &Frame::Status(status), &[]);
  let sent = open(&mut balancer, 2, 1);
  assert_eq!(carried(&sent), [(11, Handling::Open)]);
}

/// The status of an agent on host 11 whose upstream listens at a port.
fn agent_of_port(port: u16, synced: u64) -> fallwell::datagram::frame::Status {
  let mut address = upstream(11);
  address.set_port(port);
  let service = "a".parse().expect("a name");
  let role = fallwell::datagram::frame::Role::Agent {
    load: Load::default(),
    upstream: fallwell::datagram::target::Identity::new(address, &service),
  };
  fallwell::datagram::frame::Status {
    incarnation: 2,
    role,
    ..agent_status(11, "a", synced, Load::default())
  }
}

#[test]
fn a_start_time_in_another_programs_entry_does_not_affect_the_target() {
  let mut balancer = unreported();
  let mut record = foreign(5, 11, "a", Presence::Live);
  if let Record::Target {
    target: Some(target),
    ..
  } = &mut record
  {
    target.start_time = Some(StartTime(u64::MAX));
  }
  balancer.platform(update(Some(4), 5, &[record]));
  report(&mut balancer, 5);
  let status = agent_status(
    11,
    "a",
    5,
    Load {
      down: true,
      ..Load::default()
    },
  );
  balancer.frame(11, &Frame::Status(status), &[]);
  let mut restarted = listed(6, "up-11", 11, "a", Presence::Live);
  if let Record::Target {
    target: Some(target),
    ..
  } = &mut restarted
  {
    target.start_time = Some(StartTime(7));
  }
  // The load of the previous incarnation does not apply to the new one.
  balancer.platform(update(Some(5), 6, &[restarted]));
  let state = fallwell::datagram::Machine::dump(&balancer.machine, balancer.now);
  let targets = state["targets"].as_array().expect("targets");
  let target = targets
    .iter()
    .find(|target| target["agent"] == peer(11).to_string());
  assert_eq!(target.expect("a target")["load"]["down"], false);
}

#[test]
fn an_agent_goes_by_the_entry_of_its_own_upstream() {
  let mut agent = crate::support::agent();
  let same_address = |revision, service| listed(revision, "foreign", 9, service, Presence::Live);
  let records = [
    same_address(3, "exporter"),
    foreign(4, 9, "a", Presence::Leaving),
  ];
  agent.platform(update(Some(2), 4, &records));
  let sent = agent.frame(
    1,
    &crate::support::carry(Handling::Open),
    &Packet::open(flow(1, 1), 0).write(),
  );
  assert!(matches!(sent[..], [Sent::Upstream(_)]), "{sent:?}");
}
