//! Time of one routing decision, for packets whose connection ID contains their target and for the
//! first packets of flows.

use {
  fallwell::{
    Revision, config, id,
    routing::{Health, Loads, Machine, Table},
    wire::{Cid, Flow, Tagger},
  },
  std::{collections::HashMap, hint::black_box, net::SocketAddr, time::Instant},
};

const ROUNDS: u32 = 400_000;

struct NoLoads;

impl Loads for NoLoads {
  fn load(&self, _: id::Service, _: id::Target) -> u8 {
    0
  }
}

fn table(service: u16, targets: u32) -> Table {
  let targets = (1..=targets).map(|target| config::Target {
    agent: SocketAddr::from(([127, 0, (target / 250) as u8, (target % 250) as u8], 7200)),
    connections: 2000,
    id: id::Target(target),
    leaving: false,
    slots: 5,
  });
  let service = config::Service {
    address: SocketAddr::from(([127, 1, 1, 1], 443)),
    drain_s: 60,
    generation: 1,
    id: id::Service(service),
    name: String::new(),
    ramp_s: 0,
    repeat_window_s: 600,
    routes: Vec::new(),
    targets: targets.collect(),
  };
  Table::new(Revision(1), &service, &[], 1, |_| Health::Live)
}

fn tagger() -> Tagger {
  let secret = config::Secret {
    id: 1,
    value: "000102030405060708090a0b0c0d0e0f".into(),
  };
  Tagger::new(&config::Keyring {
    current: 1,
    secrets: vec![secret],
  })
  .expect("keyring")
}

/// The mean time of a call after a warm-up, in nanoseconds.
fn mean_ns(mut step: impl FnMut(u32)) -> f64 {
  for round in 0..ROUNDS / 10 {
    step(round);
  }
  let started = Instant::now();
  for round in 0..ROUNDS {
    step(round);
  }
  started.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS)
}

fn named_target_ns(services: u16, targets: u32) -> f64 {
  let tagger = tagger();
  let tables = (1..=services)
    .map(|service| (id::Service(service), table(service, targets)))
    .collect::<HashMap<_, _>>();
  let cids = (0..1024_u32).map(|index| {
    let service = id::Service(1 + (index % u32::from(services)) as u16);
    let cid = Cid {
      incarnation: id::Incarnation(1),
      random: [1, 2, 3, 4, 5],
      target: id::Target(1 + index * 7919 % targets),
    };
    (service, cid.encode(service, &tagger))
  });
  let cids = cids.collect::<Vec<_>>();
  mean_ns(|round| {
    let (service, bytes) = &cids[round as usize % cids.len()];
    let cid = Cid::decode(bytes, *service, &tagger).expect("ours");
    let flow = Flow::Named {
      incarnation: cid.incarnation,
      target: cid.target,
    };
    let _ = black_box(Machine::step(&tables[service], flow, &NoLoads));
  })
}

fn first_packet_ns(targets: u32) -> f64 {
  let table = table(1, targets);
  mean_ns(|round| {
    let flow = Flow::Keyed {
      key: u64::from(round) << 32 | 0x9e37,
      opens: true,
    };
    let _ = black_box(Machine::step(&table, flow, &NoLoads));
  })
}

fn main() {
  println!("a packet that names its target (connection ID read and checked, target looked up):");
  for (targets, services) in [(7, 2), (70, 53), (6, 530), (3200, 2)] {
    let time = named_target_ns(services, targets);
    println!("  {services:>4} services of {targets:>4} targets: {time:>7.1} ns");
  }
  println!("a first packet (two candidates of a service, chain built):");
  for targets in [3, 7, 10, 70, 3200] {
    println!(
      "  service of {targets:>4} targets: {:>9.1} ns",
      first_packet_ns(targets)
    );
  }
}
