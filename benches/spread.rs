//! Propagation time of a change and the cost of control traffic by the number of balancers. All
//! state machines run in one process, connected in memory. Bytes are those of the encoded messages;
//! `full_size` also measures those of the transport.

#[path = "../tests/support/mod.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod support;

use {
  fallwell::{
    Revision,
    config::{Key, Record},
    id,
    peer::Machine,
  },
  std::time::{Duration, Instant},
  support::mesh::{Mesh, instance, service},
};

const CHANGES: u64 = 20;

fn records(replicas: usize) -> Vec<Record> {
  // The number of agents is proportional to that of balancers: 3,200 for 440.
  let agents = replicas * 3200 / 440;
  let services = (replicas * 530 / 440) as u16;
  let instances = (0..replicas + agents).map(|index| instance(index, 1 + index as u64));
  let mut records = instances.collect::<Vec<_>>();
  for record in &mut records[replicas..] {
    if let Some(text) = &mut record.text {
      *text = text.replace("balancer", "agent");
    }
  }
  records.extend((1..=services).map(|id| service(id, 6, 100_000 + u64::from(id))));
  records
}

fn all_in_force(revision: u64, is_counted: fn(usize) -> bool) -> impl Fn(&[Machine]) -> bool {
  move |machines| {
    let counted = machines
      .iter()
      .enumerate()
      .filter(|(index, _)| is_counted(*index));
    counted.map(|(_, machine)| machine).all(|machine| {
      machine.store().in_force(Key::Service(id::Service(1))) == Some(Revision(revision))
    })
  }
}

fn main() {
  println!(
    "balancers | spread p50 ms | worst ms | worst, a fifth gone ms | worst, 20% lost ms | healed ms | quiet B/s a node | B a change a node | us a tick"
  );
  for replicas in [55, 110, 220, 440] {
    let records = records(replicas);
    let mut mesh = Mesh::new(replicas, &records, 1);
    mesh.run(Duration::from_secs(3));
    mesh.bytes.clear();
    let started = Instant::now();
    mesh.run(Duration::from_secs(10));
    // Each balancer ticks once per second.
    let tick_count = replicas as f64 * 10.0;
    let tick_us = started.elapsed().as_secs_f64() * 1e6 / tick_count;
    let idle_bytes = total_bytes(&mesh) as f64 / tick_count;
    let (mut times, bytes_per_change) = publish_changes(&mut mesh, 200_000, idle_bytes, |_| true);
    times.sort_unstable();
    let healed = heal_partition(&mut mesh, 250_000);
    // A data centre has failed, but its instances are still in the configuration.
    mesh.is_cut = Box::new(|a, b| a % 5 == 0 || b % 5 == 0);
    let (partitioned, _) = publish_changes(&mut mesh, 300_000, idle_bytes, |index| index % 5 != 0);
    mesh.is_cut = Box::new(|_, _| false);
    mesh.run(Duration::from_secs(30));
    mesh.loss_probability = 0.2;
    let (lossy, _) = publish_changes(&mut mesh, 400_000, idle_bytes, |_| true);
    println!(
      "{replicas:>9} | {:>13} | {:>8} | {:>22} | {:>18} | {healed:>9} | {idle_bytes:>16.0} | {bytes_per_change:>17.0} | {tick_us:>9.1}",
      times[times.len() / 2].as_millis(),
      times[times.len() - 1].as_millis(),
      partitioned.iter().max().map_or(0, Duration::as_millis),
      lossy.iter().max().map_or(0, Duration::as_millis),
    );
  }
}

/// Partitions the balancers into halves for a minute and publishes ten changes in each. Returns the
/// time from the end of the partition until all agree, in milliseconds.
fn heal_partition(mesh: &mut Mesh, first_revision: u64) -> u128 {
  let replicas = mesh.machines.len();
  mesh.is_cut = Box::new(move |a, b| (a < replicas / 2) != (b < replicas / 2));
  for change in 0..10_u64 {
    let id = 2 + change as u16;
    mesh.publish(0, service(id, 7, first_revision + change));
    mesh.publish(
      replicas - 1,
      service(id + 10, 7, first_revision + 100 + change),
    );
    mesh.run(Duration::from_secs(6));
  }
  mesh.is_cut = Box::new(|_, _| false);
  let agreed = mesh.run_until(Duration::from_mins(1), |machines| {
    let digest = machines[0].store().digest();
    machines
      .iter()
      .all(|machine| machine.store().digest() == digest)
  });
  agreed
    .expect("the halves agree within a minute")
    .as_millis()
}

fn total_bytes(mesh: &Mesh) -> u64 {
  mesh.bytes.values().sum()
}

/// Publishes changes one after another. Returns the time until each is in force at all counted
/// balancers, and the bytes per change and balancer beyond those of idle traffic.
fn publish_changes(
  mesh: &mut Mesh,
  first_revision: u64,
  idle_bytes: f64,
  is_counted: fn(usize) -> bool,
) -> (Vec<Duration>, f64) {
  let replicas = mesh.machines.len();
  mesh.bytes.clear();
  let mut times = Vec::new();
  for change in 0..CHANGES {
    let revision = first_revision + change;
    let publisher = change as usize * 7919 % replicas;
    let publisher = if is_counted(publisher) {
      publisher
    } else {
      publisher + 1
    };
    mesh.publish(publisher, service(1, 6 + change as u32 % 3, revision));
    let elapsed = mesh.run_until(Duration::from_secs(30), all_in_force(revision, is_counted));
    times.push(elapsed.expect("a change is in force within 30 s"));
    mesh.run(Duration::from_secs(1));
  }
  let elapsed_total: Duration = times.iter().sum::<Duration>() + Duration::from_secs(CHANGES);
  let idle_bytes = idle_bytes * elapsed_total.as_secs_f64() * replicas as f64;
  let bytes_per_change = (total_bytes(mesh) as f64 - idle_bytes) / CHANGES as f64 / replicas as f64;
  (times, bytes_per_change)
}
