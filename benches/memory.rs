//! Memory of an agent and a balancer by the number of open flows.

#[path = "../tests/support/mod.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod support;

use {
  fallwell::{
    Revision, flow, id,
    wire::{Carry, Chain, Flow},
  },
  futures::{StreamExt, stream},
  std::{net::SocketAddr, time::Instant},
  support::fleet::Fleet,
};

const FLOW_COUNTS: [usize; 5] = [0, 500, 1000, 2000, 4000];

#[tokio::main]
async fn main() {
  let fleet = Fleet::new().balancers(1).service(1, 1).connections(10_000);
  let mut fleet = fleet.start().await;
  let mut flows = Vec::new();
  let mut rows: Vec<(usize, u64, u64)> = Vec::new();
  let idle = fleet.agent(1, 1).cpu_time();
  tokio::time::sleep(std::time::Duration::from_secs(10)).await;
  let idle = fleet.agent(1, 1).cpu_time().saturating_sub(idle);
  println!(
    "an agent without flows: {:.2}% of a core",
    idle.as_secs_f64() * 10.0
  );
  println!("flows | agent MB | balancer MB | processor ms a new flow: agent, balancer");
  for flow_count in FLOW_COUNTS {
    let used = (fleet.agent(1, 1).cpu_time(), fleet.balancer(1).cpu_time());
    let new_flows = flow_count - flows.len();
    let opened = stream::iter(0..new_flows)
      .map(|_| fleet.caller(1))
      .buffer_unordered(50);
    flows.extend(opened.collect::<Vec<_>>().await);
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let agent = fleet.agent(1, 1).resident_bytes();
    let agent_used = fleet.agent(1, 1).cpu_time().saturating_sub(used.0);
    let balancer = fleet.balancer(1).resident_bytes();
    let balancer_used = fleet.balancer(1).cpu_time().saturating_sub(used.1);
    let ms_per_flow =
      |time: std::time::Duration| time.as_secs_f64() * 1e3 / new_flows.max(1) as f64;
    println!(
      "{flow_count:>5} | {:>8.1} | {:>11.1} | {:.3}, {:.3}",
      agent as f64 / 1e6,
      balancer as f64 / 1e6,
      ms_per_flow(agent_used),
      ms_per_flow(balancer_used)
    );
    rows.push((flow_count, agent, balancer));
  }
  let (first, last) = (rows[1], rows[rows.len() - 1]);
  let bytes_per_flow = |a: u64, b: u64| (b as f64 - a as f64) / (last.0 - first.0) as f64;
  println!(
    "slope in bytes a flow, from {} to {}: agent {:.0}, balancer {:.0}",
    first.0,
    last.0,
    bytes_per_flow(first.1, last.1),
    bytes_per_flow(first.2, last.2)
  );
  keyed_flows();
}

/// Memory and time per flow of the agent's flow table, for flows identified by key.
fn keyed_flows() {
  let mut machine = flow::Machine::new(
    id::Service(1),
    id::Target(1),
    id::Incarnation(1),
    flow::Settings {
      remembered_max: 200_000,
      ..flow::Settings::default()
    },
  );
  let service = fallwell::config::Service {
    address: SocketAddr::from(([127, 1, 1, 1], 443)),
    drain_s: 60,
    generation: 1,
    id: id::Service(1),
    name: String::new(),
    ramp_s: 0,
    repeat_window_s: 600,
    routes: Vec::new(),
    targets: vec![fallwell::config::Target {
      agent: SocketAddr::from(([127, 0, 0, 1], 7200)),
      connections: 1_000_000,
      id: id::Target(1),
      leaving: false,
      slots: 5,
    }],
  };
  let table = fallwell::routing::Table::new(Revision(1), &service, &[], 1, |_| {
    fallwell::routing::Health::Live
  });
  let resident_bytes = || {
    let status = std::fs::read_to_string("/proc/self/status").expect("status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let text = line.and_then(|line| line.split_whitespace().nth(1));
    text
      .and_then(|text| text.parse::<u64>().ok())
      .expect("memory")
      * 1024
  };
  let before = resident_bytes();
  let started = Instant::now();
  for key in 0..100_000 {
    let carry = Carry {
      balancer: None,
      caller: SocketAddr::from(([127, 0, 0, 1], 9)),
      chain: Chain::new(),
      flow: Flow::Keyed { key, opens: true },
      hops: 0,
      redirects: 0,
      revision: Revision(1),
      service: id::Service(1),
      target: id::Target(1),
      may_open: true,
    };
    let event = flow::Event::Carry {
      carry: &carry,
      flows: 0,
    };
    machine.step(started, Some(&table), event);
  }
  println!(
    "100,000 flows by key at the machine: {:.0} bytes and {:.0} ns each",
    (resident_bytes() - before) as f64 / 1e5,
    started.elapsed().as_secs_f64() * 1e9 / 1e5
  );
}
