//! What a process does not remember is asked of all that may: a flow must not be reset because the
//! processes that started or missed changes do not know the service or target that owns it.

use {
  crate::{
    balancing::{
      Balancer, absent, balancer, feed_balancer_status, feed_status, is_reset, queried, search,
    },
    support::{
      Harness, Sent, configured, configured_weighted, flow, listed, peer, route, unlisted, update,
      upstream,
    },
    world::World,
  },
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    config::Presence,
    datagram::{
      Frame, Load, Record,
      frame::{FormerBackend, History, Tombstone},
    },
  },
  std::time::Duration,
};

/// The weights of services `a` and `b` on the first route.
type Shares = Vec<(&'static str, u32)>;

/// Targets of services `a` and `b`, with the first route shared between them.
fn world(seed: u64, shares: &Shares) -> World {
  let mut world = World::from_first_start(seed);
  world.set_processing_ms(20);
  world.configure_weighted(&[(1, shares.clone()), (2, vec![("b", 1)])]);
  for host in 11..15 {
    world.start_target(host, "a");
  }
  for host in 21..23 {
    world.start_target(host, "b");
  }
  world.run(2000);
  world
}

fn both() -> Shares {
  vec![("a", 1), ("b", 1)]
}

/// Opens flows that outlast the test.
fn open_flows(world: &mut World) {
  for _ in 0..40 {
    world.call(1, 5000);
    world.run(10);
  }
  world.run(500);
}

fn withdraw(world: &mut World) {
  world.configure_weighted(&[(1, vec![("a", 1)]), (2, vec![("b", 1)])]);
}

/// Guards against the reset of flows at a service that was taken off their route, after all
/// balancers were killed at once.
#[test]
fn flows_of_a_withdrawn_service_survive_a_kill_of_all_balancers() {
  for seed in 0..8 {
    let mut world = world(seed, &both());
    open_flows(&mut world);
    withdraw(&mut world);
    world.run(4000);
    for host in 1..=3 {
      world.kill(host);
    }
    world.run(500);
    for host in 1..=3 {
      world.start_balancer(host);
    }
    world.run(8000);
    assert_eq!((world.reset, world.pending()), (0, 40), "seed {seed}");
  }
}

/// Guards against the reset of flows at a target that left the target list, after all balancers and
/// the agents of its service were killed at once.
#[test]
fn flows_of_an_unlisted_target_survive_a_kill_of_its_service() {
  for seed in 0..8 {
    let mut world = world(seed, &vec![("a", 1)]);
    // Not a seed: agents that have just started do not know it.
    world.start_balancer(4);
    world.run(2000);
    open_flows(&mut world);
    world.unlist(14);
    world.run(1000);
    let killed = [1, 2, 3, 4, 11, 12, 13, 14];
    for host in killed {
      world.kill(host);
    }
    world.run(500);
    for host in killed {
      if host < 5 {
        world.start_balancer(host);
      } else {
        world.start_agent(host);
      }
    }
    world.run(8000);
    assert_eq!((world.reset, world.pending()), (0, 40), "seed {seed}");
  }
}

/// Guards against the reset of flows at a service that was added to their route and taken off again
/// while the balancer was cut off.
#[test]
fn flows_of_a_service_that_a_balancer_missed_are_found_by_it() {
  for seed in 0..8 {
    let mut world = world(seed, &vec![("a", 1)]);
    for isolated in 1..=3 {
      world.set_isolated(isolated, true);
      world.configure_weighted(&[(1, both()), (2, vec![("b", 1)])]);
      world.run(1000);
      open_flows(&mut world);
      withdraw(&mut world);
      world.run(1500);
      world.set_isolated(isolated, false);
      world.run(3000);
    }
    assert_eq!((world.reset, world.pending()), (0, 120), "seed {seed}");
  }
}

/// The same where the store has forgotten the changes, so that no process knows all of them.
#[test]
fn flows_survive_a_gap_in_the_history_of_the_store() {
  for seed in 0..8 {
    let mut world = world(seed, &both());
    open_flows(&mut world);
    world.set_store_answers(false);
    withdraw(&mut world);
    world.unlist(14);
    world.run(3000);
    world.forget_history();
    world.set_store_answers(true);
    world.run(3000);
    for host in 1..=3 {
      world.stop(host);
      world.run(500);
      world.start_balancer(host);
      world.run(2000);
    }
    assert_eq!((world.reset, world.pending()), (0, 40), "seed {seed}");
  }
}

/// Guards against the reset of flows at a service that was taken off their route, after all processes
/// were killed at once: nobody knows any more that the address was routed to it.
#[test]
fn flows_of_a_withdrawn_service_are_not_reset_after_a_kill_of_all_processes() {
  for seed in 0..8 {
    let mut world = world(seed, &both());
    open_flows(&mut world);
    withdraw(&mut world);
    world.run(4000);
    world.lose_power(false);
    world.run(500);
    world.restore_power();
    world.run(8000);
    assert_eq!(world.reset, 0, "seed {seed}");
  }
}

/// Guards against callers that are not told that their targets are gone, after a loss of power of all
/// machines: targets of other services that have just started cannot own their flows.
#[test]
fn flows_are_reset_at_once_after_a_loss_of_power() {
  for seed in 0..8 {
    let mut world = world(seed, &both());
    open_flows(&mut world);
    world.lose_power(true);
    world.run(500);
    world.restore_power();
    world.run(600);
    assert_eq!((world.reset, world.pending()), (40, 0), "seed {seed}");
  }
}

/// A history that names service `b` as a former backend of address 1.
fn former_b(known: bool) -> Frame {
  Frame::History(History {
    former_backends: vec![FormerBackend {
      address: route(1),
      age_ms: 500,
      service: "b".parse().expect("a name"),
    }],
    known,
    parts: 1,
    synced: Revision(4),
    ..History::default()
  })
}

fn is_requested(sent: &[Sent], host: u8) -> bool {
  sent.contains(&Sent::Frame(peer(host), Frame::HistoryRequest, vec![]))
}

/// A balancer that has started together with its peer. Agent 21, of another service, has run on.
fn started() -> Balancer {
  let mut balancer = Harness::balancer(1, None);
  feed_balancer_status(&mut balancer, 2);
  let live = Presence::Live;
  let records = [
    configured(1, 1, &[(1, "a"), (2, "b")]),
    listed(2, "up-11", 11, "a", live),
    listed(4, "up-21", 21, "b", live),
  ];
  balancer.platform(update(None, 4, &records));
  balancer
}

#[test]
fn agents_are_asked_for_the_history_once_no_balancer_knows_it() {
  let mut balancer = started();
  let sent = feed_status(&mut balancer, 21, 1, Load::default());
  assert!(!is_requested(&sent, 21), "{sent:?}");
  let sent = balancer.frame(2, &crate::balancing::history(false), &[]);
  assert!(is_requested(&sent, 21), "{sent:?}");
  // The answer of the other agent does not matter any more.
  feed_status(&mut balancer, 11, 1, Load::default());
  assert_eq!(search(&mut balancer), [11]);
  let mut sent = balancer.frame(11, &absent(4), &[]);
  sent.extend(balancer.frame(21, &former_b(true), &[]));
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  assert_eq!(queried(&balancer.pass(Duration::from_millis(1))), [21]);
  let sent = balancer.frame(21, &absent(4), &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn a_flow_is_reset_once_all_agents_have_answered_without_knowing_the_history() {
  let mut balancer = started();
  balancer.frame(2, &crate::balancing::history(false), &[]);
  for host in [11, 21] {
    feed_status(&mut balancer, host, 1, Load::default());
  }
  search(&mut balancer);
  balancer.frame(21, &crate::balancing::history(false), &[]);
  let sent = balancer.frame(11, &absent(4), &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  let sent = balancer.frame(11, &crate::balancing::history(false), &[]);
  // The owner may be of a service that the address is no longer routed to.
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  assert_eq!(queried(&balancer.pass(Duration::from_millis(1))), [21]);
  let sent = balancer.frame(21, &absent(4), &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

/// A balancer without history, whose search for `flow(1, 1)` only agent 21, of another service, has
/// not denied. Its target was listed by `record`.
fn denied_by_its_service(record: Record, flows_known: bool) -> (Balancer, Vec<Sent>) {
  let mut balancer = Harness::balancer(1, None);
  let records = [
    configured(1, 1, &[(1, "a"), (2, "b")]),
    listed(2, "up-11", 11, "a", Presence::Live),
    record,
  ];
  balancer.platform(update(None, 4, &records));
  for (host, flows_known) in [(11, true), (21, flows_known)] {
    feed_status(&mut balancer, host, 1, Load::default());
    let history = History {
      flows_known,
      parts: 1,
      synced: Revision(4),
      ..History::default()
    };
    balancer.frame(host, &Frame::History(history), &[]);
  }
  search(&mut balancer);
  let sent = balancer.frame(11, &absent(4), &[]);
  (balancer, sent)
}

/// Guards against a reset while the agent of the owner has lost its memory.
#[test]
fn a_flow_is_not_reset_while_an_agent_of_another_service_may_own_it() {
  let target = listed(4, "up-21", 21, "b", Presence::Live);
  let (mut balancer, mut sent) = denied_by_its_service(target, false);
  for _ in 0..60 {
    assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
    // The query would be in vain.
    assert_eq!(queried(&sent), [0; 0]);
    sent = balancer.pass(Duration::from_millis(50));
    sent.extend(feed_status(&mut balancer, 21, 1, Load::default()));
  }
}

#[test]
fn an_agent_that_cannot_tell_whether_it_owns_a_flow_does_not_deny_it() {
  let target = listed(4, "up-21", 21, "b", Presence::Live);
  let (mut balancer, sent) = denied_by_its_service(target, true);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  assert_eq!(queried(&balancer.pass(Duration::from_millis(1))), [21]);
  // It has restarted meanwhile.
  let foreign = Frame::Foreign {
    flows: vec![flow(1, 1)],
    service: crate::support::digest("b"),
  };
  let mut sent = balancer.frame(21, &foreign, &[]);
  for _ in 0..60 {
    assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
    sent = balancer.pass(Duration::from_millis(50));
  }
}

#[test]
fn targets_that_started_after_the_configuration_own_no_flows_of_former_services() {
  let target = started_at(4);
  let (_, sent) = denied_by_its_service(target, false);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

/// The same where the target is listed during the search, as after a loss of power.
#[test]
fn a_flow_is_reset_once_the_other_targets_are_known_to_have_started_late() {
  let former = listed(3, "up-20", 21, "b", Presence::Live);
  let (mut balancer, sent) = denied_by_its_service(former, false);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  let sent = balancer.platform(update(Some(4), 5, &[started_at(5)]));
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

/// The record of a target of service `b` that started at a revision.
fn started_at(revision: u64) -> Record {
  let record = listed(revision, "up-21", 21, "b", Presence::Live);
  crate::support::started(revision, record)
}

#[test]
fn later_records_of_an_incarnation_keep_its_start() {
  let now = std::time::Instant::now();
  let mut catalog = fallwell::datagram::Catalog::default();
  let records = [configured(1, 1, &[(1, "a")]), started_at(4)];
  catalog.apply_update(now, update(None, 4, &records));
  let later = listed(6, "up-21", 21, "b", Presence::Leaving);
  catalog.apply_update(now, update(Some(4), 6, &[later]));
  let (_, entry) = catalog.entries().next().expect("an entry");
  assert_eq!(entry.target.started, Some(Revision(4)));
  assert_eq!(catalog.routes_known_from(), Some(Revision(1)));
  // After a gap, services of its address may be unknown until the configuration in force then.
  let records = [configured(8, 2, &[(1, "a")]), started_at(4)];
  catalog.apply_update(now, update(None, 9, &records));
  assert_eq!(catalog.routes_known_from(), Some(Revision(8)));
}

#[test]
fn a_few_agents_are_asked_for_the_history_at_a_time() {
  let mut balancer = balancer();
  let listed = (30..60).map(|host| {
    let id = format!("up-{host}");
    listed(u64::from(host), &id, host, "a", Presence::Live)
  });
  balancer.platform(update(Some(4), 100, &listed.collect::<Vec<_>>()));
  let mut requests = 0;
  for host in 30..60 {
    let sent = feed_status(&mut balancer, host, 1, Load::default());
    requests += usize::from(is_requested(&sent, host));
  }
  assert_eq!(requests, 16);
}

#[test]
fn missed_changes_are_asked_for_at_a_process_that_is_not_behind() {
  let mut balancer = started();
  balancer.frame(2, &crate::balancing::history(true), &[]);
  feed_status(&mut balancer, 11, 1, Load::default());
  // The store has forgotten its history.
  let records = [
    configured(1, 1, &[(1, "a"), (2, "b")]),
    listed(2, "up-11", 11, "a", Presence::Live),
    listed(4, "up-21", 21, "b", Presence::Live),
  ];
  let sent = balancer.platform(update(None, 9, &records));
  assert!(is_requested(&sent, 2), "{sent:?}");
  search(&mut balancer);
  let mut sent = balancer.frame(11, &absent(4), &[]);
  sent.extend(balancer.frame(2, &former_b(true), &[]));
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  // Its catalog was behind, so that it is asked again.
  let sent = balancer.pass(Duration::from_millis(151));
  assert!(is_requested(&sent, 2), "{sent:?}");
}

#[test]
fn an_agent_asks_for_the_history_and_passes_it_on() {
  let mut agent = Harness::agent(11, "a", false);
  let records = [configured(1, 1, &[(1, "a")])];
  agent.platform(update(None, 4, &records));
  let status = Frame::Status(crate::balancing::balancer_status());
  let sent = agent.frame(2, &status, &[]);
  assert!(is_requested(&sent, 2), "{sent:?}");
  let history = History {
    known: true,
    parts: 1,
    synced: Revision(4),
    tombstones: vec![Tombstone {
      address: upstream(13),
      age_ms: 2000,
      service: "a".parse().expect("a name"),
    }],
    ..History::default()
  };
  agent.frame(2, &Frame::History(history), &[]);
  let sent = agent.frame(3, &Frame::HistoryRequest, &[]);
  assert_matches!(
    &sent[..],
    [Sent::Frame(to, Frame::History(History { known: true, tombstones, .. }), _)]
      if *to == peer(3) && tombstones.len() == 1 && tombstones[0].address.ip() == upstream(13).ip()
  );
}

#[test]
fn changes_that_a_receiver_missed_come_with_the_next_update() {
  let now = std::time::Instant::now();
  let mut sender = fallwell::datagram::Catalog::default();
  sender.apply_update(now, update(None, 5, &[configured(5, 1, &[(1, "a")])]));
  let mut receiver = sender.clone();
  let between: [Record; 2] = [
    configured_weighted(6, 2, &[(1, vec![("a", 1), ("b", 1)])]),
    listed(7, "up-13", 13, "a", Presence::Live),
  ];
  sender.apply_update(now, update(Some(5), 7, &between));
  let mut informed = receiver.clone();
  informed.apply_update(now, sender.since(now, Revision(5)));
  let after = [configured(8, 3, &[(1, "a")]), unlisted(9, "up-13")];
  sender.apply_update(now, update(Some(7), 9, &after));
  let later = sender.since(now, Revision(5));
  assert!(!receiver.apply_update(now, later).has_gap);
  for catalog in [&sender, &receiver] {
    let services = catalog.services(&route(1));
    assert_eq!(services.len(), 2, "{services:?}");
    assert_eq!(catalog.tombstones(now).len(), 1);
  }
  // A receiver that knows both gets no more than the changes.
  let records = sender.since(now, Revision(7)).records;
  assert_matches!(
    &records[..],
    [Record::Delta { .. }, Record::Target { target: None, .. }]
  );
  informed.apply_update(now, sender.since(now, Revision(7)));
  assert_eq!(informed.services(&route(1)).len(), 2);
  assert_eq!(informed.tombstones(now).len(), 1);
}

#[test]
fn a_gap_is_passed_on_to_receivers_that_are_behind_it() {
  let now = std::time::Instant::now();
  let mut sender = fallwell::datagram::Catalog::default();
  sender.apply_update(now, update(None, 5, &[configured(5, 1, &[(1, "a")])]));
  let (mut receiver, mut inside) = (sender.clone(), sender.clone());
  let missed = [listed(7, "up-13", 13, "a", Presence::Live)];
  inside.apply_update(now, update(Some(5), 7, &missed));
  let snapshot = [configured(5, 1, &[(1, "a")])];
  assert!(sender.apply_update(now, update(None, 9, &snapshot)).has_gap);
  let later = sender.since(now, Revision(5));
  assert_eq!(later.after, Some(Revision(5)));
  assert!(receiver.apply_update(now, later).has_gap);
  // One that has a part of what was missed gets a snapshot, which removes it.
  inside.apply_update(now, sender.since(now, Revision(7)));
  let (_, entry) = inside.entries().next().expect("an entry");
  assert!(entry.removed.is_some());
  assert!(!sender.since(now, Revision(9)).has_gap);
}

/// Guards against histories that are never received since a part does not fit in a datagram.
#[test]
fn each_part_of_a_history_fits_in_a_datagram() {
  let mut balancer = balancer();
  let service = "s".repeat(200);
  let targets = (30..90).map(|host| {
    let id = format!("up-{host}");
    listed(u64::from(host), &id, host, &service, Presence::Live)
  });
  balancer.platform(update(Some(4), 100, &targets.collect::<Vec<_>>()));
  let removed = (30..90_u8).map(|host| unlisted(100 + u64::from(host), &format!("up-{host}")));
  balancer.platform(update(Some(100), 200, &removed.collect::<Vec<_>>()));
  let sent = balancer.frame(2, &Frame::HistoryRequest, &[]);
  let (mut tombstones, parts) = (0, sent.len());
  for sent in &sent {
    let Sent::Frame(_, frame, _) = sent else {
      panic!("{sent:?}");
    };
    let mut bytes = Vec::new();
    frame.encode(&mut bytes);
    assert!(bytes.len() <= 1400, "{} bytes", bytes.len());
    if let Frame::History(history) = frame {
      assert_eq!(usize::from(history.parts), parts);
      tombstones += history.tombstones.len();
    }
  }
  assert_eq!(tombstones, 60);
}
