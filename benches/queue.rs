//! Time of one decision and memory of one entry of the queue that is fair between callers.

use {
  fallwell::fair::Queue,
  std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
  },
};

const CALLERS: u32 = 5000;
const CLASSES: u32 = 8;
const DECISIONS: u32 = 200_000;
const ENTRIES: u32 = 10_000;
const ROUNDS: u32 = 7;

/// Queues of this many processes are built for the measurement of memory.
const PROCESSES: u32 = 20;

/// Like the entry of a queued flow: when its caller sent it, and its two ends.
type Entry = (Instant, SocketAddrV4, SocketAddrV4);

type Classes = Vec<Queue<Ipv4Addr, Entry>>;

#[derive(Debug)]
struct Load {
  callers: u32,
  last: u32,
  start: Instant,
}

impl Load {
  /// The class, the caller and the entry of the next new flow; callers come in a mixed order.
  fn next(&mut self) -> (usize, Ipv4Addr, Entry) {
    self.last += 1;
    let mixed = self.last.wrapping_mul(0x9e37_79b9);
    let caller = Ipv4Addr::from_bits(0x0a00_0000 + (mixed >> 8) % self.callers);
    let route = SocketAddrV4::new(Ipv4Addr::new(10, 9, 9, 9), 443);
    let time = self.start + Duration::from_micros(u64::from(self.last) * 100);
    let entry = (
      time,
      SocketAddrV4::new(caller, (self.last % 60_000) as u16),
      route,
    );
    ((self.last % CLASSES) as usize, caller, entry)
  }

  fn fill(&mut self, entries: u32) -> Classes {
    let mut classes = vec![Queue::new(); CLASSES as usize];
    for _ in 0..entries {
      let (class, caller, entry) = self.next();
      classes[class].insert(caller, 0, entry);
    }
    classes
  }
}

fn load(callers: u32) -> Load {
  Load {
    callers,
    last: 0,
    start: Instant::now(),
  }
}

/// A new flow finds the queue full and takes the place of another.
fn displace(classes: &mut Classes, load: &mut Load) {
  let (class, caller, entry) = load.next();
  let queue = &mut classes[class];
  let Some((longest, last)) = queue.longest() else {
    return;
  };
  black_box(queue.flows_of(longest) > queue.flows_of(caller) + 1);
  queue.remove(longest, &last);
  queue.insert(caller, 0, entry);
}

/// A target takes a flow: the oldest of those that came in the last 500 ms, else the oldest of all.
/// Another one arrives.
fn place(classes: &mut Classes, load: &mut Load) {
  let (class, caller, entry) = load.next();
  let queue = &mut classes[class];
  let since = entry.0.checked_sub(Duration::from_millis(500));
  let since = since.unwrap_or(entry.0);
  let first = queue.first_since(&(since, entry.1, entry.2));
  if let Some((caller, entry)) = first.or_else(|| queue.first()) {
    queue.remove(caller, &entry);
  }
  queue.insert(caller, 0, entry);
}

/// The least and the median of the rounds' mean times.
fn decision_ns(callers: u32, decide: fn(&mut Classes, &mut Load)) -> [f64; 2] {
  let mut load = load(callers);
  let mut classes = load.fill(ENTRIES);
  let rounds = (0..ROUNDS).map(|_| {
    let started = processor_ns();
    for _ in 0..DECISIONS {
      decide(&mut classes, &mut load);
    }
    (processor_ns() - started) as f64 / f64::from(DECISIONS)
  });
  let mut rounds = rounds.collect::<Vec<_>>();
  rounds.sort_by(f64::total_cmp);
  [rounds[0], rounds[rounds.len() / 2]]
}

/// The processor time of this process, which other work on the machine stretches less than it
/// stretches the time that passes.
fn processor_ns() -> u64 {
  let text = std::fs::read_to_string("/proc/self/schedstat").expect("schedstat");
  let first = text.split_whitespace().next();
  first.and_then(|text| text.parse().ok()).expect("time")
}

fn resident_bytes() -> u64 {
  let status = std::fs::read_to_string("/proc/self/status").expect("status");
  let line = status.lines().find(|line| line.starts_with("VmRSS:"));
  let text = line.and_then(|line| line.split_whitespace().nth(1));
  let kilobytes = text.and_then(|text| text.parse::<u64>().ok());
  kilobytes.expect("memory") * 1024
}

/// The bytes of an entry. The queues are not freed, so that later ones do not use their memory.
fn entry_bytes(callers: u32) -> f64 {
  let mut load = load(callers);
  let before = resident_bytes();
  let processes = (0..PROCESSES).map(|_| load.fill(ENTRIES));
  std::mem::forget(black_box(processes.collect::<Vec<_>>()));
  let used = resident_bytes().saturating_sub(before);
  used as f64 / f64::from(PROCESSES * ENTRIES)
}

fn main() {
  println!("{ENTRIES} entries of {CLASSES} classes, {ROUNDS} rounds of {DECISIONS} decisions:");
  println!("callers | displacement ns: least, median | placement and arrival ns | bytes an entry");
  for callers in [ENTRIES, CALLERS, 100, 1] {
    let bytes = entry_bytes(callers);
    let [least, median] = decision_ns(callers, displace);
    print!("{callers:>7} | {least:>22.0}, {median:>6.0} | ");
    let [least, median] = decision_ns(callers, place);
    println!("{least:>16.0}, {median:>6.0} | {bytes:>14.0}");
  }
}
