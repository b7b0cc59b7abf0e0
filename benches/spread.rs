//! How fast a change spreads and what control costs, against the number of balancers: the real
//! machines over a link in memory, in one process. Bytes are the codec's; `full_size` measures
//! what the transport adds.

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

fn records(carriers: usize) -> Vec<Record> {
  // Agents are on the list too: 3,200 of them before 440 balancers, in proportion.
  let agents = carriers * 3200 / 440;
  let services = (carriers * 530 / 440) as u16;
  let listed = (0..carriers + agents).map(|index| instance(index, 1 + index as u64));
  let mut records = listed.collect::<Vec<_>>();
  for record in &mut records[carriers..] {
    if let Some(text) = &mut record.text {
      *text = text.replace("balancer", "agent");
    }
  }
  records.extend((1..=services).map(|id| service(id, 6, 100_000 + u64::from(id))));
  records
}

fn all_have(revision: u64, counts: fn(usize) -> bool) -> impl Fn(&[Machine]) -> bool {
  move |machines| {
    let counted = machines
      .iter()
      .enumerate()
      .filter(|(index, _)| counts(*index));
    counted.map(|(_, machine)| machine).all(|machine| {
      machine.store().in_force(Key::Service(id::Service(1))) == Some(Revision(revision))
    })
  }
}

fn main() {
  println!(
    "balancers | spread p50 ms | worst ms | worst, a fifth gone ms | worst, 20% lost ms | healed ms | quiet B/s a node | B a change a node | us a tick"
  );
  for carriers in [55, 110, 220, 440] {
    let records = records(carriers);
    let mut mesh = Mesh::new(carriers, &records, 1);
    mesh.run(Duration::from_secs(3));
    mesh.bytes.clear();
    let begun = Instant::now();
    mesh.run(Duration::from_secs(10));
    let ticks = carriers as f64 * 10.0;
    let tick = begun.elapsed().as_secs_f64() * 1e6 / ticks;
    let quiet = total(&mesh) as f64 / ticks;
    let (mut times, cost) = spread(&mut mesh, 200_000, quiet, |_| true);
    times.sort_unstable();
    let healed = heal(&mut mesh, 250_000);
    // A data centre is gone, and the list does not know yet.
    mesh.is_cut = Box::new(|a, b| a % 5 == 0 || b % 5 == 0);
    let (gone, _) = spread(&mut mesh, 300_000, quiet, |index| index % 5 != 0);
    mesh.is_cut = Box::new(|_, _| false);
    mesh.run(Duration::from_secs(30));
    mesh.loss_probability = 0.2;
    let (lossy, _) = spread(&mut mesh, 400_000, quiet, |_| true);
    println!(
      "{carriers:>9} | {:>13} | {:>8} | {:>22} | {:>18} | {healed:>9} | {quiet:>16.0} | {cost:>17.0} | {tick:>9.1}",
      times[times.len() / 2].as_millis(),
      times[times.len() - 1].as_millis(),
      gone.iter().max().map_or(0, Duration::as_millis),
      lossy.iter().max().map_or(0, Duration::as_millis),
    );
  }
}

/// Two halves apart for a minute, each with ten changes of its own: how long until all agree.
fn heal(mesh: &mut Mesh, first: u64) -> u128 {
  let carriers = mesh.machines.len();
  mesh.is_cut = Box::new(move |a, b| (a < carriers / 2) != (b < carriers / 2));
  for change in 0..10_u64 {
    let id = 2 + change as u16;
    mesh.publish(0, service(id, 7, first + change));
    mesh.publish(carriers - 1, service(id + 10, 7, first + 100 + change));
    mesh.run(Duration::from_secs(6));
  }
  mesh.is_cut = Box::new(|_, _| false);
  let agreed = mesh.run_until(Duration::from_mins(1), |machines| {
    let first = machines[0].store().digest();
    machines
      .iter()
      .all(|machine| machine.store().digest() == first)
  });
  agreed
    .expect("the halves agree within a minute")
    .as_millis()
}

fn total(mesh: &Mesh) -> u64 {
  mesh.bytes.values().sum()
}

/// Publishes changes one after another; the times that they took, and bytes a change a node.
fn spread(
  mesh: &mut Mesh,
  first: u64,
  quiet: f64,
  counts: fn(usize) -> bool,
) -> (Vec<Duration>, f64) {
  let carriers = mesh.machines.len();
  mesh.bytes.clear();
  let mut times = Vec::new();
  for change in 0..CHANGES {
    let revision = first + change;
    let at = change as usize * 7919 % carriers;
    let at = if counts(at) { at } else { at + 1 };
    mesh.publish(at, service(1, 6 + change as u32 % 3, revision));
    let took = mesh.run_until(Duration::from_secs(30), all_have(revision, counts));
    times.push(took.expect("a change spreads within 30 s"));
    mesh.run(Duration::from_secs(1));
  }
  let passed: Duration = times.iter().sum::<Duration>() + Duration::from_secs(CHANGES);
  let quiet = quiet * passed.as_secs_f64() * carriers as f64;
  let cost = (total(mesh) as f64 - quiet) / CHANGES as f64 / carriers as f64;
  (times, cost)
}
