//! Real balancers that hold the configuration of the size to design for: memory, processor time,
//! control bytes, time to join, and time from publishing to in force, healthy and with the
//! platform out of reach of half of them.

#[path = "../tests/support/mod.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod support;

use {
  fallwell::{config::Record, standin::Plan},
  serde_json::Value,
  std::time::{Duration, Instant},
  support::fleet::Fleet,
};

const BALANCERS: u8 = 4;
const QUIET: Duration = Duration::from_secs(10);

/// The size in shares of the one to design for.
const SHARES: [(u16, usize); 3] = [(132, 910), (265, 1820), (530, 3640)];

async fn put(fleet: &Fleet, record: Record) {
  let text = record.text.unwrap_or_default();
  fleet.put(&record.key.to_string(), &text).await;
}

fn control_bytes(state: &Value) -> u64 {
  let counters = state["counters"].as_object().expect("counters");
  let control = counters
    .iter()
    .filter(|(name, _)| name.starts_with("control."));
  control.filter_map(|(_, count)| count.as_u64()).sum()
}

async fn in_force(fleet: &mut Fleet) -> Duration {
  let begun = Instant::now();
  let revision = fleet.publish(1).await;
  let all = (1..=BALANCERS).collect::<Vec<_>>();
  fleet.wait_in_force(&all, 1, revision).await;
  begun.elapsed()
}

#[tokio::main]
async fn main() {
  for (services, instances) in SHARES {
    let fleet = Fleet::new().balancers(BALANCERS).service(1, 6);
    let mut fleet = fleet.without_agents().relayed().start().await;
    for id in 2..=services {
      put(&fleet, support::mesh::service(id, 6, 1)).await;
    }
    for index in 5000..5000 + instances {
      // Listed as agents: nobody calls them.
      let mut record = support::mesh::instance(index, 1);
      record.text = record.text.map(|text| text.replace("balancer", "agent"));
      put(&fleet, record).await;
    }
    in_force(&mut fleet).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let used = fleet.balancer(1).cpu_time();
    let bytes = control_bytes(&fleet.balancer_state(1).await);
    let carried = fleet.fabric_counters().await["stream_bytes"]
      .as_u64()
      .expect("bytes");
    tokio::time::sleep(QUIET).await;
    let carried = fleet.fabric_counters().await["stream_bytes"]
      .as_u64()
      .expect("bytes")
      - carried;
    // Each byte on the way is one that leaves a node and one that enters another.
    let carried = carried * 2 / QUIET.as_secs() / u64::from(BALANCERS);
    let used = fleet
      .balancer(1)
      .cpu_time()
      .saturating_sub(used)
      .as_secs_f64()
      / QUIET.as_secs_f64();
    let bytes = (control_bytes(&fleet.balancer_state(1).await) - bytes) / QUIET.as_secs();
    let memory = fleet.balancer(1).resident_bytes() as f64 / 1e6;
    println!(
      "{services} services, {instances} instances: {memory:.1} MB, {:.2}% of a core, {bytes} control bytes/s by the codec, {carried} \
       in and out as carried",
      used * 100.0
    );
    let mut healthy = Vec::new();
    for _ in 0..10 {
      healthy.push(in_force(&mut fleet).await.as_millis());
    }
    let cuts = vec![fleet.cut_from_platform(1), fleet.cut_from_platform(2)];
    fleet
      .inject_faults(&Plan {
        cuts,
        ..Plan::default()
      })
      .await;
    let mut half = Vec::new();
    for _ in 0..10 {
      half.push(in_force(&mut fleet).await.as_millis());
    }
    fleet.inject_faults(&Plan::default()).await;
    println!(
      "  publishing to in force on {BALANCERS}, ms: healthy {healthy:?}; platform out of reach of half {half:?}"
    );
    fleet.balancer(1).kill();
    let begun = Instant::now();
    fleet.start_balancer(1);
    fleet.wait_ready(fleet.balancer_api(1)).await;
    println!(
      "  a balancer joined within {} ms",
      begun.elapsed().as_millis()
    );
  }
}
