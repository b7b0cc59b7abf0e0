//! Distribution of new flows over equivalent targets, although all balancers see the same loads.

use {
  crate::{
    balancing::{Balancer, carried, feed_status},
    plain::Packet,
    support::{Harness, configured, flow, listed, update},
  },
  fallwell::{config::Presence, datagram::Load},
  std::{collections::BTreeMap, ops::Range},
};

/// A load with a measured service time and no requests.
fn measured(service_ms: u16) -> Load {
  Load {
    service_ms,
    ..Load::default()
  }
}

/// A balancer with targets of service `a` on these hosts that report these loads.
fn balancer_with_targets(hosts: Range<u8>, load: impl Fn(u8) -> Load) -> Balancer {
  let mut balancer = Harness::balancer(1, None);
  let listed = hosts.clone().map(|host| {
    let id = format!("up-{host}");
    listed(u64::from(host) + 2, &id, host, "a", Presence::Live)
  });
  let records = [configured(1, 1, &[(1, "a")])].into_iter().chain(listed);
  balancer.platform(update(None, 300, &records.collect::<Vec<_>>()));
  for host in hosts {
    feed_status(&mut balancer, host, 1, load(host));
  }
  balancer
}

/// Opens one flow for each port and adds to the number of flows that each host gets. After each
/// flow its host reports the same load again.
fn count_shares(
  balancer: &mut Balancer,
  ports: Range<u16>,
  load: impl Fn(u8) -> Load,
  shares: &mut BTreeMap<u8, u32>,
) {
  for port in ports {
    let sent = balancer.packet(Packet::open(flow(port, 1), 0));
    let (host, _) = carried(&sent)[0];
    *shares.entry(host).or_default() += 1;
    feed_status(balancer, host, 1, load(host));
  }
}

#[test]
fn a_fleet_of_balancers_spreads_light_load_over_all_targets() {
  // All balancers see the same 180 targets, whose service times vary randomly.
  let load = |host: u8| measured(38 + u16::from(host) % 5);
  let mut all = BTreeMap::new();
  for number in 0..60_u16 {
    let mut balancer = balancer_with_targets(20..200, load);
    let first = 1024 + number * 300;
    count_shares(&mut balancer, first..first + 300, load, &mut all);
  }
  let mean = 60 * 300 / 180;
  let busiest = all.values().max().copied().unwrap_or_default();
  assert_eq!(all.len(), 180, "some targets got none");
  assert!(busiest <= 2 * mean, "{busiest} against {mean} in the mean");
}

#[test]
fn a_target_without_a_measured_time_gets_its_share() {
  // The measured times are shorter than the default for a target without one.
  let load = |host: u8| if host < 24 { measured(15) } else { measured(0) };
  let mut balancer = balancer_with_targets(20..25, load);
  let mut all = BTreeMap::new();
  count_shares(&mut balancer, 2000..2500, load, &mut all);
  let unmeasured = all.get(&24).copied().unwrap_or_default();
  assert!((50..=200).contains(&unmeasured), "{all:?}");
}

#[test]
fn a_slower_or_busier_target_gets_no_flows() {
  let load = |host: u8| match host {
    20 => measured(60),
    21 => Load {
      work: 2,
      ..measured(40)
    },
    _ => measured(40),
  };
  let mut balancer = balancer_with_targets(20..30, load);
  let mut all = BTreeMap::new();
  count_shares(&mut balancer, 2000..2300, load, &mut all);
  assert!(!all.contains_key(&20) && !all.contains_key(&21), "{all:?}");
}
