//! Silence counts only for an agent that was asked: a flow must not be reset because its owner, which
//! does not know this balancer, has sent nothing.

use {
  crate::{
    balancing::{
      Balancer, absent, balancer, feed_balancer_status, feed_status, history, is_reset,
      pass_with_statuses, search,
    },
    support::{configured, flow, listed, peer, unlisted, update, upstream},
    world::World,
  },
  fallwell::{
    Revision,
    config::Presence,
    datagram::{
      Event, Frame, Load, Machine, Origin, Outbox, Update,
      frame::{History, Role, Tombstone},
    },
  },
  std::{net::SocketAddrV4, time::Duration},
};

/// Guards against the reset of flows at a target that has left the target list, by a balancer that
/// was added after that, while the target's agent is restarted as planned.
#[test]
fn flows_of_an_unlisted_target_survive_a_restart_of_its_agent() {
  for seed in 0..20 {
    let mut world = World::from_first_start(seed);
    world.set_processing_ms(20);
    world.configure(&[(1, "a")]);
    for host in 11..15 {
      world.start_target(host, "a");
    }
    world.run(2000);
    // The next requests come during the restart, some of them to the added balancer.
    world.set_pause_ms(4200..4600);
    for _ in 0..80 {
      world.call(1, 5000);
      world.run(10);
    }
    world.unlist(14);
    world.run(500);
    world.start_balancer(4);
    world.run(3000);
    world.stop(14);
    world.run(500);
    world.start_agent(14);
    world.run(10_000);
    assert_eq!((world.reset, world.pending()), (0, 80), "seed {seed}");
  }
}

/// Processes that the machine sends a status.
fn greeted(balancer: &mut Balancer, time: Duration) -> Vec<SocketAddrV4> {
  let mut out = Outbox::default();
  balancer.now += time;
  balancer.machine.step(balancer.now, Event::Tick, &mut out);
  let datagrams = out.datagrams().iter();
  let statuses = datagrams.filter(|datagram| {
    let frame = Frame::decode(out.bytes(datagram));
    matches!(frame, Ok((Frame::Status(_), _)))
  });
  statuses.map(|datagram| datagram.to).collect()
}

/// A balancer that runs and learns from a peer that the target on host 13 was removed 20 s ago.
fn informed() -> Balancer {
  let mut balancer = balancer();
  feed_balancer_status(&mut balancer, 2);
  balancer.pass(Duration::from_secs(2));
  let tombstone = Tombstone {
    address: upstream(13),
    age_ms: 20_000,
    service: "a".parse().expect("a name"),
  };
  let history = History {
    known: true,
    parts: 1,
    synced: Revision(4),
    tombstones: vec![tombstone],
    ..History::default()
  };
  balancer.frame(2, &Frame::History(history), &[]);
  for host in [11, 12, 21] {
    feed_status(&mut balancer, host, 1, Load::default());
  }
  balancer
}

/// Searches for a flow that the agents of the listed targets deny. Returns after how many
/// milliseconds it is reset; none if it is not.
fn reset_after(balancer: &mut Balancer) -> Option<u64> {
  search(balancer);
  for host in [11, 12] {
    balancer.frame(host, &absent(4), &[]);
  }
  let reset = (1..300).find(|_| {
    feed_status(balancer, 11, 1, Load::default());
    let sent = balancer.pass(Duration::from_millis(10));
    is_reset(&sent, flow(1, 1), 100)
  });
  reset.map(|step| step * 10)
}

#[test]
fn an_agent_that_was_never_contacted_has_time_to_answer() {
  let after = reset_after(&mut informed()).expect("a reset");
  assert!((1500..2500).contains(&after), "{after}");
}

#[test]
fn an_agent_that_does_not_answer_statuses_is_not_waited_for() {
  let mut balancer = informed();
  assert!(greeted(&mut balancer, Duration::from_millis(500)).contains(&peer(13)));
  pass_with_statuses(&mut balancer, 2);
  let after = reset_after(&mut balancer).expect("a reset");
  assert!(after <= 150, "{after}");
  // It counts as lost, and is sent no more statuses.
  assert!(!greeted(&mut balancer, Duration::from_millis(500)).contains(&peer(13)));
}

#[test]
fn a_removed_target_that_a_snapshot_names_has_time_to_answer() {
  let mut sender = fallwell::datagram::Catalog::default();
  let now = std::time::Instant::now();
  let records = [
    configured(1, 1, &[(1, "a")]),
    listed(2, "up-11", 11, "a", Presence::Live),
    listed(3, "up-13", 13, "a", Presence::Live),
  ];
  sender.apply_update(now, update(None, 3, &records));
  sender.apply_update(now, update(Some(3), 4, &[unlisted(4, "up-13")]));
  let mut balancer = crate::support::Harness::balancer(1, None);
  balancer.now += Duration::from_secs(3);
  let snapshot: Update = sender.since(balancer.now, Revision(0));
  balancer.step(Event::Update(Origin::Peer(peer(2)), snapshot));
  feed_status(&mut balancer, 11, 1, Load::default());
  balancer.frame(11, &history(true), &[]);
  assert_eq!(search(&mut balancer), [11, 13]);
  balancer.frame(11, &absent(4), &[]);
  for _ in 0..10 {
    let sent = balancer.pass(Duration::from_millis(100));
    assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  }
}

#[test]
fn agents_of_unlisted_targets_are_sent_statuses_while_they_are_heard() {
  let mut balancer = balancer();
  feed_status(&mut balancer, 13, 1, Load::default());
  balancer.platform(update(Some(4), 5, &[unlisted(5, "up-12")]));
  let greeted = greeted(&mut balancer, Duration::from_millis(500));
  assert!(greeted.contains(&peer(12)), "{greeted:?}");
  assert!(greeted.contains(&peer(13)), "{greeted:?}");
}

/// Guards against a balancer that does not know the agent of an unlisted target, which knows only
/// its seeds.
#[test]
fn the_agent_of_an_unlisted_target_makes_itself_known_to_all_balancers() {
  let mut agent = crate::support::agent();
  agent.platform(update(Some(2), 3, &[unlisted(3, "up")]));
  let mut status = crate::balancing::balancer_status();
  status.balancers = vec![peer(7)];
  agent.frame(2, &Frame::Status(status), &[]);
  let mut out = Outbox::default();
  agent.now += Duration::from_millis(500);
  agent.machine.step(agent.now, Event::Tick, &mut out);
  let greeted = out.datagrams().iter().any(|datagram| {
    let frame = Frame::decode(out.bytes(datagram));
    datagram.to == peer(7)
      && matches!(frame, Ok((Frame::Status(status), _)) if matches!(status.role, Role::Agent { .. }))
  });
  assert!(greeted);
}

#[test]
fn a_balancer_that_is_cut_off_counts_no_agent_as_lost() {
  let mut balancer = balancer();
  balancer.platform(update(Some(4), 5, &[unlisted(5, "up-12")]));
  pass_with_statuses(&mut balancer, 2);
  feed_status(&mut balancer, 12, 1, Load::default());
  search(&mut balancer);
  balancer.frame(11, &absent(5), &[]);
  for _ in 0..30 {
    let sent = balancer.pass(Duration::from_millis(100));
    assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  }
}

/// Guards against the reset of flows by a balancer that was cut off itself: it has heard nothing from
/// an agent, since it heard nothing from anybody.
#[test]
fn a_balancer_that_was_cut_off_waits_for_agents_again() {
  let mut balancer = balancer();
  balancer.platform(update(Some(4), 5, &[unlisted(5, "up-12")]));
  balancer.pass(Duration::from_secs(3));
  feed_status(&mut balancer, 11, 1, Load::default());
  search(&mut balancer);
  let sent = balancer.frame(11, &absent(5), &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  // Other agents are heard again.
  for _ in 0..4 {
    let sent = balancer.pass(Duration::from_millis(300));
    assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
    feed_status(&mut balancer, 11, 1, Load::default());
  }
}

/// Guards against statuses from every agent to every balancer of a large deployment.
#[test]
fn the_agent_of_a_listed_target_knows_the_balancers_that_it_hears() {
  let mut agent = crate::support::agent();
  let mut status = crate::balancing::balancer_status();
  status.balancers = vec![peer(7)];
  agent.frame(2, &Frame::Status(status), &[]);
  let mut out = Outbox::default();
  agent.now += Duration::from_millis(500);
  agent.machine.step(agent.now, Event::Tick, &mut out);
  assert!(out.datagrams().iter().any(|sent| sent.to == peer(2)));
  assert!(out.datagrams().iter().all(|sent| sent.to != peer(7)));
}
