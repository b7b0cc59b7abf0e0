//! A balancer that places new flows on targets that are not equally fast.

use {
  super::{ms, tuning},
  crate::{
    balancing::{Balancer, carried, feed_status},
    plain::{Packet, Plain},
    support::{Harness, configured, elsewhere, flow, listed, settings, update},
  },
  fallwell::{
    config::Presence,
    counter::Counter,
    datagram::{Load, Record, balancer, target::StartTime, uneven::Kind},
  },
  std::{collections::BTreeMap, ops::Range, sync::Arc, time::Instant},
};

/// A balancer with overload control that knows targets of service `a`: on `here` in its own data
/// centre, on `there` in another.
fn balancer(here: Range<u8>, there: Range<u8>) -> Balancer {
  let now = Instant::now();
  let counter = Arc::new(Counter::default());
  let machine = balancer::Machine::new(now, &settings(1), tuning(), Plain, 1, counter);
  let mut balancer = Harness::new(machine, now);
  let here = here.map(|host| {
    let id = format!("up-{host}");
    listed(u64::from(host), &id, host, "a", Presence::Live)
  });
  let there = there.map(|host| elsewhere(u64::from(host), &format!("up-{host}"), host, "a"));
  let routes = configured(1, 1, &[(1, "a"), (2, "a")]);
  let records = [routes].into_iter().chain(here).chain(there);
  balancer.platform(update(None, 300, &records.collect::<Vec<_>>()));
  balancer
}

/// Feeds the loads of hosts, and lets the time of a comparison pass.
fn feed(balancer: &mut Balancer, hosts: Range<u8>, load: impl Fn(u8) -> Load) {
  for host in hosts {
    balancer.now += ms(20);
    feed_status(balancer, host, 1, load(host));
  }
}

fn measured(service_ms: u16, work: u16) -> Load {
  Load {
    service_ms,
    work,
    ..Load::default()
  }
}

/// Opens one flow for each port. After each, its host reports its load. Returns how many flows each
/// host gets.
fn shares(
  balancer: &mut Balancer,
  ports: Range<u16>,
  load: impl Fn(u8) -> Load,
) -> BTreeMap<u8, u32> {
  let mut shares = BTreeMap::new();
  for port in ports {
    let sent = balancer.packet(Packet::open(flow(port, 1), 0));
    let (host, _) = carried(&sent)[0];
    *shares.entry(host).or_default() += 1;
    balancer.now += ms(1);
    feed_status(balancer, host, 1, load(host));
  }
  shares
}

/// Guards against a slow target that is given as many flows as the others, or none at all.
#[test]
fn a_target_that_takes_four_times_as_long_gets_a_quarter() {
  let load = |host| measured(if host == 13 { 80 } else { 20 }, 0);
  let mut balancer = balancer(11..17, 0..0);
  feed(&mut balancer, 11..17, load);
  let shares = shares(&mut balancer, 1000..3000, load);
  // 2,000 flows, of which 1 in 21 belongs to the slow target; five standard deviations are 48.
  let slow = shares.get(&13).copied().unwrap_or_default();
  assert!((47..=143).contains(&slow), "{shares:?}");
  assert_eq!(shares.len(), 6, "{shares:?}");
}

/// Guards against all flows meeting a target whose measurements have just been dropped.
#[test]
fn a_target_comes_back_with_one_flow_at_a_time() {
  let slow = |host| measured(if host == 13 { 80 } else { 20 }, 0);
  let mut balancer = balancer(11..15, 0..0);
  feed(&mut balancer, 11..15, slow);
  // The others are busy, and the target is idle.
  let dropped = |host| {
    if host == 13 {
      measured(0, 0)
    } else {
      measured(20, 3)
    }
  };
  feed(&mut balancer, 11..15, dropped);
  let mut to_slow = 0;
  for port in 1000..1010 {
    let sent = balancer.packet(Packet::open(flow(port, 1), 0));
    to_slow += u32::from(carried(&sent)[0].0 == 13);
  }
  assert_eq!(to_slow, 1);
}

/// Guards against a target that stays slow in a balancer's view after its upstream has failed and
/// started again: the new incarnation is not measured yet, and joins as any other.
#[test]
fn an_upstream_that_has_restarted_is_no_longer_relieved() {
  let load = |host| measured(if host == 13 { 80 } else { 20 }, 0);
  let mut balancer = balancer(11..15, 0..0);
  feed(&mut balancer, 11..15, load);
  let mut record = listed(301, "up-13", 13, "a", Presence::Live);
  if let Record::Target {
    target: Some(target),
    ..
  } = &mut record
  {
    target.start_time = Some(StartTime(7));
  }
  balancer.platform(update(Some(300), 301, &[record]));
  let load = |host| measured(if host == 13 { 0 } else { 20 }, 0);
  feed(&mut balancer, 11..15, load);
  let first = shares(&mut balancer, 1000..1100, load);
  // A slow target's share would be 1 in 13; a new target's is a quarter, and half at most.
  let restarted = first.get(&13).copied().unwrap_or_default();
  assert!((15..=50).contains(&restarted), "{first:?}");
}

/// Guards against callers who get nothing since only relieved targets are up: the others fail.
#[test]
fn a_relieved_target_serves_where_no_other_is_up() {
  let load = |host| Load {
    down: host != 13,
    ..measured(if host == 13 { 80 } else { 20 }, 0)
  };
  let mut balancer = balancer(11..15, 0..0);
  feed(&mut balancer, 11..15, load);
  let shares = shares(&mut balancer, 1000..1050, load);
  assert_eq!(
    shares.keys().copied().collect::<Vec<_>>(),
    [13],
    "{shares:?}"
  );
}

/// Guards against flows that cross to another data centre for less than crossing costs, 30 ms, and
/// against those that come back for the first free slot here.
#[test]
fn flows_cross_when_the_wait_here_exceeds_that_there_by_the_cost() {
  let load = |here: u16| move |host| measured(20, if host < 14 { here } else { 0 });
  let mut balancer = balancer(11..14, 14..17);
  // With 4 slots, each request more makes an answer 5 ms later, and 3 ms more are added for use.
  let works = [(5, false), (12, true), (5, true), (3, false), (5, false)];
  for (port, (work, crosses)) in (1000..).zip(works) {
    feed(&mut balancer, 11..17, load(work));
    let sent = balancer.packet(Packet::open(flow(port, 1), 0));
    let (host, _) = carried(&sent)[0];
    assert_eq!(host >= 14, crosses, "{work}: {host}");
  }
}

/// Guards against a new target that gets every flow while it is not measured and seems idle.
#[test]
fn a_new_target_gets_at_most_twice_its_share() {
  let load = |host| {
    measured(
      if host == 15 { 0 } else { 20 },
      if host == 15 { 0 } else { 2 },
    )
  };
  let mut balancer = balancer(11..15, 0..0);
  feed(&mut balancer, 11..15, load);
  shares(&mut balancer, 1000..1100, load);
  let joined = listed(301, "up-15", 15, "a", Presence::Live);
  balancer.platform(update(Some(300), 301, &[joined]));
  feed(&mut balancer, 11..16, load);
  let shares = shares(&mut balancer, 2000..2200, load);
  let new = shares.get(&15).copied().unwrap_or_default();
  assert!((70..=80).contains(&new), "{shares:?}");
}

/// Guards against a flow placed by the mean time of all kinds of work: one target is slow for its
/// kind alone.
#[test]
fn a_flow_is_placed_by_the_times_of_its_route() {
  let kind = |number| Kind::from(crate::support::route(number));
  let load = |host| Load {
    times: [
      (kind(1), ms(if host == 11 { 40 } else { 20 })),
      (kind(2), ms(20)),
    ]
    .into_iter()
    .collect(),
    ..measured(20, 0)
  };
  let mut balancer = balancer(11..14, 0..0);
  feed(&mut balancer, 11..14, load);
  let first = shares(&mut balancer, 1000..1100, load);
  assert!(!first.contains_key(&11), "{first:?}");
  let mut second = 0;
  for port in 2000..2100 {
    let sent = balancer.packet(Packet::open(flow(port, 2), 0));
    let (host, _) = carried(&sent)[0];
    second += u32::from(host == 11);
    balancer.now += ms(1);
    feed_status(&mut balancer, host, 1, load(host));
  }
  assert!(second > 10, "{second}");
}

/// Guards against a target that is no longer heard from and takes the place of another slow one
/// among those that may be relieved.
#[test]
fn an_old_load_relieves_no_target() {
  let load = |host| {
    let ms = match host {
      13 => 200,
      14 => 80,
      _ => 20,
    };
    measured(ms, 0)
  };
  let mut balancer = balancer(11..16, 0..0);
  feed(&mut balancer, 11..16, load);
  balancer.now += ms(3000);
  feed(&mut balancer, 11..13, load);
  feed(&mut balancer, 14..16, load);
  let shares = shares(&mut balancer, 1000..1300, load);
  // 300 flows, of which 1 in 13 belongs to the slow target.
  let slow = shares.get(&14).copied().unwrap_or_default();
  assert!((5..=45).contains(&slow), "{shares:?}");
}

/// Guards against a target that is listed long before it is heard from, and then gets every flow
/// until it has twice its share of all flows since it was listed.
#[test]
fn a_target_joins_when_it_is_first_heard_from() {
  let load = |host| {
    let (service_ms, work) = if host == 15 { (0, 0) } else { (20, 2) };
    measured(service_ms, work)
  };
  let mut balancer = balancer(11..16, 0..0);
  feed(&mut balancer, 11..15, load);
  shares(&mut balancer, 1000..1100, load);
  feed(&mut balancer, 11..16, load);
  let shares = shares(&mut balancer, 2000..2010, load);
  let new = shares.get(&15).copied().unwrap_or_default();
  assert!((1..=4).contains(&new), "{shares:?}");
}
