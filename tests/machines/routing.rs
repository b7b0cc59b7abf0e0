use {
  super::world::{NoLoads, SERVICE, service, target},
  assert_matches::assert_matches,
  fallwell::{
    Code, Revision,
    config::TargetSet,
    id,
    routing::{Health, Loads, Machine, Path, Route, Table},
    wire::Flow,
  },
  rand::{SeedableRng, rngs::SmallRng},
  std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

fn table(targets: u32, health: impl Fn(u32) -> Health) -> Table {
  let service = service((1..=targets).map(target));
  Table::new(Revision(1), &service, &[], 1, |target| health(target.id.0))
}

fn last(route: Route) -> u32 {
  assert_matches!(route, Route::Chain { chain, first, .. } => {
    chain.last().copied().unwrap_or(first.target).0
  })
}

fn opening(key: u64) -> Flow {
  Flow::Keyed { key, opens: true }
}

#[test]
fn new_flows_are_distributed_evenly() {
  let table = table(7, |_| Health::Live);
  let mut counts: HashMap<u32, u32> = HashMap::new();
  for key in 0..7000 {
    let route = Machine::step(&table, opening(key), &NoLoads).unwrap();
    *counts.entry(last(route)).or_default() += 1;
  }
  assert_eq!(counts.len(), 7);
  assert!(
    counts.values().all(|count| (850..1150).contains(count)),
    "{counts:?}"
  );
}

#[test]
fn new_flow_goes_to_the_less_loaded_of_two_candidates() {
  struct FirstIsFull;
  impl Loads for FirstIsFull {
    fn load(&self, _: id::Service, target: id::Target) -> u8 {
      if target.0 == 1 { 255 } else { 10 }
    }
  }
  let table = table(7, |_| Health::Live);
  for key in 0..1000 {
    let route = Machine::step(&table, opening(key), &FirstIsFull).unwrap();
    assert_ne!(last(route), 1);
  }
}

#[test]
fn leaving_target_is_in_chains_but_opens_no_flow() {
  let table = table(3, |id| {
    if id == 1 {
      Health::Leaving
    } else {
      Health::Live
    }
  });
  let mut included = 0;
  for key in 0..1000 {
    let route = Machine::step(&table, opening(key), &NoLoads).unwrap();
    assert_matches!(&route, Route::Chain { chain, first, .. } => {
      included += u32::from(first.target.0 == 1 || chain.iter().any(|target| target.0 == 1));
    });
    assert_ne!(last(route), 1);
  }
  assert!(included > 500, "in {included} chains");
}

#[test]
fn silent_target_gets_copies_and_is_in_no_chain() {
  let table = table(4, |id| {
    if id == 1 {
      Health::Silent
    } else {
      Health::Live
    }
  });
  let mut copies_seen = 0;
  for key in 0..1000 {
    let route = Machine::step(&table, opening(key), &NoLoads).unwrap();
    assert_matches!(route, Route::Chain { chain, copies, first, .. } => {
      assert_ne!(first.target.0, 1);
      assert!(chain.iter().all(|target| target.0 != 1));
      copies_seen += copies.iter().filter(|copy| copy.target.0 == 1).count();
    });
  }
  assert!(copies_seen > 300, "{copies_seen} copies");
}

/// In a network partition, no new flow may be placed on the unreachable half of the targets.
#[test]
fn new_flows_avoid_silent_targets_even_if_half_are_silent() {
  let table = table(4, |id| {
    if id <= 2 {
      Health::Silent
    } else {
      Health::Live
    }
  });
  for key in 0..1000 {
    assert!(last(Machine::step(&table, opening(key), &NoLoads).unwrap()) > 2);
  }
}

#[test]
fn opening_packet_is_routed_when_all_targets_are_silent() {
  let table = table(4, |_| Health::Silent);
  for key in 0..100 {
    assert!(last(Machine::step(&table, opening(key), &NoLoads).unwrap()) > 0);
  }
}

#[test]
fn packet_naming_an_unknown_target_is_relayed() {
  let table = table(2, |_| Health::Live);
  let flow = Flow::Named {
    incarnation: id::Incarnation(1),
    target: id::Target(99),
  };
  assert_matches!(Machine::step(&table, flow, &NoLoads), Ok(Route::Relay(_)));
}

#[test]
fn packet_naming_a_target_of_a_previous_set_is_sent_to_it() {
  let history = [TargetSet {
    revision: Revision(1),
    targets: vec![target(9)],
  }];
  let service = service([target(1)]);
  let table = Table::new(Revision(2), &service, &history, 1, |_| Health::Live);
  let flow = Flow::Named {
    incarnation: id::Incarnation(1),
    target: id::Target(9),
  };
  assert_matches!(
    Machine::step(&table, flow, &NoLoads),
    Ok(Route::Named(hop)) if hop.target.0 == 9
  );
}

#[test]
fn packet_naming_an_unknown_target_is_unroutable_without_a_live_target() {
  let table = table(2, |_| Health::Leaving);
  let flow = Flow::Named {
    incarnation: id::Incarnation(1),
    target: id::Target(99),
  };
  assert_eq!(
    Machine::step(&table, flow, &NoLoads),
    Err(Code::PacketUnroutable)
  );
  assert_eq!(table.service(), SERVICE);
}

#[test]
fn answers_use_the_callers_last_balancer_until_it_times_out() {
  let (first, second) = (balancer(1), balancer(2));
  let caller = SocketAddr::from(([127, 0, 0, 1], 9));
  let mut rng = SmallRng::seed_from_u64(1);
  let mut path = Path::default();
  let start = Instant::now();
  path.set_listed(start, &[first, second]);
  path.note_packet(start, caller, first, true);
  path.note_heard(start, second);
  assert_eq!(path.choose(start, caller, &mut rng), Some(first));
  let later = start + Duration::from_secs(3);
  path.note_heard(later, second);
  assert_eq!(path.choose(later, caller, &mut rng), Some(second));
}

/// A forwarded packet doesn't show that its balancer can be reached from here; answers sent to it
/// might be lost.
#[test]
fn balancer_of_a_forwarded_packet_is_not_considered_responsive() {
  let (first, second) = (balancer(1), balancer(2));
  let caller = SocketAddr::from(([127, 0, 0, 1], 9));
  let mut rng = SmallRng::seed_from_u64(1);
  let mut path = Path::default();
  let start = Instant::now();
  path.set_listed(start, &[first, second]);
  path.note_heard(start, first);
  path.note_packet(start, caller, second, false);
  assert_eq!(path.choose(start, caller, &mut rng), Some(first));
}

/// Guards against answers to new flows that are lost since they are sent through a balancer that has
/// been cut off.
#[test]
fn answers_avoid_a_balancer_that_was_not_heard_from_recently() {
  let (first, second, third) = (balancer(1), balancer(2), balancer(3));
  let caller = SocketAddr::from(([127, 0, 0, 1], 9));
  let mut rng = SmallRng::seed_from_u64(1);
  let mut path = Path::default();
  let start = Instant::now();
  path.set_listed(start, &[first, second]);
  path.note_heard(start, first);
  let later = start + Duration::from_millis(1600);
  path.note_heard(later, second);
  path.note_packet(later, caller, third, false);
  for _ in 0..50 {
    assert_eq!(path.choose(later, caller, &mut rng), Some(second));
  }
  let later = later + Duration::from_millis(1600);
  assert_eq!(path.choose(later, caller, &mut rng), Some(second));
}

/// Guards against answers that are lost since a balancer that is cut off from here reaches the agent
/// through another one.
#[test]
fn a_forwarded_packet_does_not_replace_the_balancer_of_a_direct_one() {
  let (first, second) = (balancer(1), balancer(2));
  let caller = SocketAddr::from(([127, 0, 0, 1], 9));
  let mut rng = SmallRng::seed_from_u64(1);
  let mut path = Path::default();
  let start = Instant::now();
  path.set_listed(start, &[first, second]);
  path.note_heard(start, second);
  path.note_packet(start, caller, first, true);
  path.note_packet(start, caller, second, false);
  assert_eq!(path.choose(start, caller, &mut rng), Some(first));
  let later = start + Duration::from_secs(2);
  path.note_heard(later, second);
  path.note_packet(later, caller, second, false);
  assert_eq!(path.choose(later, caller, &mut rng), Some(second));
}

/// Guards against the loss of all packets that reach a balancer which is cut off from their target,
/// while other targets can reach it.
#[test]
fn packets_for_a_silent_target_are_also_sent_through_a_live_one() {
  let table = table(4, |id| match id {
    1 | 2 => Health::Silent,
    3 => Health::Leaving,
    _ => Health::Live,
  });
  let relay = |target, key| Machine::relay(&table, id::Target(target), key);
  for key in 0..20 {
    assert_matches!(relay(1, key), Some(hop) if hop.target.0 == 4);
    assert_eq!(relay(3, key), None);
    assert_eq!(relay(4, key), None);
    assert_eq!(relay(9, key), None);
  }
}

#[test]
fn unresponsive_balancer_is_probed_once_per_second() {
  let mut path = Path::default();
  let start = Instant::now();
  path.set_listed(start, &[balancer(1), balancer(2)]);
  let mut probes = 0;
  for tick in 0..100 {
    let now = start + Duration::from_millis(50 * tick);
    path.note_heard(now, balancer(2));
    probes += path.take_due_probes(now).len();
  }
  assert_eq!(probes, 5);
}

fn balancer(number: u8) -> SocketAddr {
  SocketAddr::from(([127, 8, 0, number], 7200))
}
