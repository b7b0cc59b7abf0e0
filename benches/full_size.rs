//! Balancers with a configuration of up to the size that the system is designed for: memory,
//! processor time, control traffic, the time to join, and the time until a published change is in
//! force, both normally and while half of the balancers cannot reach the platform.

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
/// How long processor time and traffic are measured while nothing changes.
const MEASURED_TIME: Duration = Duration::from_secs(10);

/// Numbers of services and instances: a quarter, half, and all of the design size.
const SIZES: [(u16, usize); 3] = [(132, 910), (265, 1820), (530, 3640)];

async fn publish_record(fleet: &Fleet, record: Record) {
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

async fn time_to_in_force(fleet: &mut Fleet) -> Duration {
  let started = Instant::now();
  let revision = fleet.publish(1).await;
  let all = (1..=BALANCERS).collect::<Vec<_>>();
  fleet.wait_in_force(&all, 1, revision).await;
  started.elapsed()
}

#[tokio::main]
async fn main() {
  for (services, instances) in SIZES {
    let fleet = Fleet::new().balancers(BALANCERS).service(1, 6);
    let mut fleet = fleet.without_agents().relayed().start().await;
    for id in 2..=services {
      publish_record(&fleet, support::mesh::service(id, 6, 1)).await;
    }
    for index in 5000..5000 + instances {
      // Registered as agents, so that the balancers do not connect to them.
      let mut record = support::mesh::instance(index, 1);
      record.text = record.text.map(|text| text.replace("balancer", "agent"));
      publish_record(&fleet, record).await;
    }
    time_to_in_force(&mut fleet).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let cpu_time = fleet.balancer(1).cpu_time();
    let bytes = control_bytes(&fleet.balancer_state(1).await);
    let stream_bytes = fleet.fabric_counters().await["stream_bytes"]
      .as_u64()
      .expect("bytes");
    tokio::time::sleep(MEASURED_TIME).await;
    let stream_bytes = fleet.fabric_counters().await["stream_bytes"]
      .as_u64()
      .expect("bytes")
      - stream_bytes;
    // Each byte is sent by one balancer and received by another.
    let stream_bytes = stream_bytes * 2 / MEASURED_TIME.as_secs() / u64::from(BALANCERS);
    let cpu_time = fleet
      .balancer(1)
      .cpu_time()
      .saturating_sub(cpu_time)
      .as_secs_f64()
      / MEASURED_TIME.as_secs_f64();
    let bytes = (control_bytes(&fleet.balancer_state(1).await) - bytes) / MEASURED_TIME.as_secs();
    let memory = fleet.balancer(1).resident_bytes() as f64 / 1e6;
    println!(
      "{services} services, {instances} instances: {memory:.1} MB, {:.2}% of a core, {bytes} control bytes/s by the codec, {stream_bytes} \
       in and out as carried",
      cpu_time * 100.0
    );
    let mut healthy = Vec::new();
    for _ in 0..10 {
      healthy.push(time_to_in_force(&mut fleet).await.as_millis());
    }
    let cuts = vec![fleet.cut_from_platform(1), fleet.cut_from_platform(2)];
    fleet
      .inject_faults(&Plan {
        cuts,
        ..Plan::default()
      })
      .await;
    let mut partitioned = Vec::new();
    for _ in 0..10 {
      partitioned.push(time_to_in_force(&mut fleet).await.as_millis());
    }
    fleet.inject_faults(&Plan::default()).await;
    println!(
      "  publishing to in force on {BALANCERS}, ms: healthy {healthy:?}; platform out of reach of half {partitioned:?}"
    );
    fleet.balancer(1).kill();
    let started = Instant::now();
    fleet.start_balancer(1);
    fleet.wait_ready(fleet.balancer_api(1)).await;
    println!(
      "  a balancer joined within {} ms",
      started.elapsed().as_millis()
    );
  }
}
