//! Packets per second and processor time per packet of a balancer with one worker, compared with a
//! plain relay in the same execution.

#[path = "../tests/support/mod.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod support;

use {
  fallwell::{
    config, id,
    net::{Batch, Outbox, Socket},
    wire::{Cid, HEADER_MAX, Tagger},
  },
  std::{
    net::SocketAddr,
    sync::{
      Arc,
      atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
  },
  support::{child::Child, fleet::Fleet},
};

const ROUND_DURATION: Duration = Duration::from_secs(3);
const PACKET_BYTES: usize = 1200;
const SENDERS: usize = 2;

struct Throughput {
  packets_per_s: f64,
  processor_us: f64,
}

/// Counts the datagrams that arrive at an address.
fn count_received(address: SocketAddr, count: Arc<AtomicU64>, stop: Arc<AtomicBool>) {
  let socket = Socket::bind(address, false).expect("sink");
  thread::spawn(move || {
    let mut batch = Batch::default();
    while !stop.load(Ordering::Relaxed) {
      match socket.receive(&mut batch) {
        Ok(true) => {
          count.fetch_add(batch.datagrams().count() as u64, Ordering::Relaxed);
        }
        _ => thread::sleep(Duration::from_micros(200)),
      }
    }
  });
}

/// Packets with short headers of 64 flows, all owned by the same target.
fn packets() -> Vec<Vec<u8>> {
  let tagger = Tagger::new(&config::Keyring {
    current: 1,
    secrets: vec![config::Secret {
      id: 1,
      value: "000102030405060708090a0b0c0d0e0f".into(),
    }],
  })
  .expect("keyring");
  (0..64_u8)
    .map(|index| {
      let cid = Cid {
        incarnation: id::Incarnation(1),
        random: [index; 5],
        target: id::Target(1),
      };
      let mut packet = vec![0; PACKET_BYTES];
      packet[0] = 0x40;
      packet[1..17].copy_from_slice(&cid.encode(id::Service(1), &tagger));
      packet
    })
    .collect()
}

/// Sends packets to an address without rate limit. Returns the rate at which they arrive at the
/// target, and the processor time per packet of the forwarding process.
fn measure(process: &Child, to: SocketAddr, count: &Arc<AtomicU64>) -> Throughput {
  let stop = Arc::new(AtomicBool::new(false));
  let mut senders = Vec::new();
  for _ in 0..SENDERS {
    let stop = Arc::clone(&stop);
    senders.push(thread::spawn(move || {
      let socket = Socket::bind(SocketAddr::from(([127, 0, 0, 1], 0)), false).expect("sender");
      let packets = packets();
      while !stop.load(Ordering::Relaxed) {
        let mut outbox = Outbox::default();
        for packet in packets.iter().take(32) {
          outbox.push(to, [0; HEADER_MAX], 0, packet);
        }
        outbox.flush(&socket);
      }
    }));
  }
  thread::sleep(Duration::from_millis(500));
  let (before, used, started) = (
    count.load(Ordering::Relaxed),
    process.cpu_time(),
    Instant::now(),
  );
  thread::sleep(ROUND_DURATION);
  let packets = (count.load(Ordering::Relaxed) - before) as f64;
  let processor = process.cpu_time().saturating_sub(used).as_secs_f64();
  let time = started.elapsed().as_secs_f64();
  stop.store(true, Ordering::Relaxed);
  for sender in senders {
    let _ = sender.join();
  }
  Throughput {
    packets_per_s: packets / time,
    processor_us: processor * 1e6 / packets,
  }
}

#[tokio::main]
async fn main() {
  let fleet = Fleet::new().balancers(1).service(1, 1).without_agents();
  let mut fleet = fleet.start().await;
  let count = Arc::new(AtomicU64::new(0));
  let stop = Arc::new(AtomicBool::new(false));
  let target = fleet.published_agent(1, 1, 7200);
  count_received(target, Arc::clone(&count), Arc::clone(&stop));
  let listen = SocketAddr::new(target.ip(), 7999);
  let relay = fleet.start_standin(&[
    "relay",
    "--listen",
    &listen.to_string(),
    "--to",
    &target.to_string(),
  ]);
  thread::sleep(Duration::from_millis(300));
  let entry = fleet.balancer_service_address(1, 1);
  println!("packets of {PACKET_BYTES} bytes, {SENDERS} senders, one thread each:");
  let mut ratios = Vec::new();
  for round in 1..=3 {
    let relayed = measure(&relay, listen, &count);
    let balancer = measure(fleet.balancer(1), entry, &count);
    let ratio = balancer.packets_per_s / relayed.packets_per_s;
    println!(
      "  round {round}: relay {:>8.0} packets/s, {:.2} us each; balancer {:>8.0} packets/s, {:.2} us \
       each; ratio {ratio:.2}",
      relayed.packets_per_s, relayed.processor_us, balancer.packets_per_s, balancer.processor_us
    );
    ratios.push(ratio);
  }
  ratios.sort_by(f64::total_cmp);
  println!("  median ratio {:.2}, wanted 0.80", ratios[1]);
  stop.store(true, Ordering::Relaxed);
}
