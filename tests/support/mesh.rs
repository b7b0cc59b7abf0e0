//! Peer machines that exchange messages in simulated time, with random delays and losses.

use {
  fallwell::{
    Revision,
    config::{self, Key, Presence, Record, Role as InstanceRole},
    id,
    peer::{Event, Machine, Message, Role, Settings},
  },
  rand::{RngExt, SeedableRng, rngs::SmallRng},
  serde_json::json,
  std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// An arrival: its time, the number of the message, and the indexes of sender and receiver.
/// Reversed, so that the earliest is at the top of the heap.
type Arrival = Reverse<(Duration, u64, usize, usize)>;

/// A simulated network of peer machines, which are addressed by their index.
pub struct Mesh {
  /// Bytes sent, by message kind.
  pub bytes: BTreeMap<&'static str, u64>,
  /// Messages sent, by message kind.
  pub messages: BTreeMap<&'static str, u64>,
  pub machines: Vec<Machine>,
  /// Whether messages from one machine to another are lost; takes their indexes.
  pub is_cut: Box<dyn Fn(usize, usize) -> bool>,
  /// The probability that a message is lost.
  pub loss_probability: f64,
  arrivals: BinaryHeap<Arrival>,
  elapsed: Duration,
  in_flight: HashMap<u64, Message>,
  indexes: HashMap<SocketAddr, usize>,
  last_number: u64,
  next_ticks: Vec<Duration>,
  rng: SmallRng,
  start: Instant,
}

/// The control address of the machine with this index.
pub fn address(index: usize) -> SocketAddr {
  SocketAddr::from(([127, 7, (index / 250) as u8, (index % 250) as u8], 7100))
}

/// A record with the instance document of one balancer.
pub fn instance(index: usize, revision: u64) -> Record {
  let id = id::Instance(index as u32);
  let instance = config::Instance {
    control: address(index),
    data_centre: format!("centre-{}", index % 5),
    id,
    presence: Presence::Live,
    role: InstanceRole::Balancer,
    tunnel: address(index),
  };
  let text = json!(instance).to_string();
  Record::new(Key::Instance(id), Revision(revision), Some(text))
}

/// A record with a service document of realistic size: four routes and the given number of
/// targets.
pub fn service(id: u16, targets: u32, revision: u64) -> Record {
  let targets = (1..=targets).map(|target| config::Target {
    agent: SocketAddr::from(([127, 6, (id % 250) as u8, target as u8], 7200)),
    connections: 2000,
    id: id::Target(target),
    leaving: false,
    slots: 5,
  });
  let document = config::Service {
    address: SocketAddr::from(([127, 5, (id / 250) as u8, (id % 250) as u8], 443)),
    drain_s: 3600,
    generation: revision,
    id: id::Service(id),
    name: format!("service-{id}"),
    ramp_s: 10,
    repeat_window_s: 600,
    routes: vec![config::Route::default(); 4],
    targets: targets.collect(),
  };
  let text = json!(document).to_string();
  Record::new(
    Key::Service(id::Service(id)),
    Revision(revision),
    Some(text),
  )
}

impl Mesh {
  /// Replicas that all store the same records.
  pub fn new(replicas: usize, records: &[Record], seed: u64) -> Self {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut machines = Vec::new();
    for index in 0..replicas {
      let mut machine = Machine::new(
        address(index),
        Role::Replica,
        Vec::new(),
        Settings::default(),
        seed + index as u64,
      );
      machine.step(start, Event::Platform(records.to_vec()));
      machines.push(machine);
    }
    let tick = Settings::default().tick;
    let next_ticks = machines
      .iter()
      .map(|_| tick.mul_f64(rng.random_range(0.0..1.0)));
    Self {
      arrivals: BinaryHeap::new(),
      bytes: BTreeMap::new(),
      is_cut: Box::new(|_, _| false),
      elapsed: Duration::ZERO,
      in_flight: HashMap::new(),
      last_number: 0,
      loss_probability: 0.0,
      messages: BTreeMap::new(),
      indexes: (0..replicas).map(|index| (address(index), index)).collect(),
      next_ticks: next_ticks.collect(),
      machines,
      rng,
      start,
    }
  }

  /// Adds an empty replica with one other as its seed, and returns its index.
  pub fn join(&mut self, seed: usize) -> usize {
    let index = self.machines.len();
    self.machines.push(Machine::new(
      address(index),
      Role::Replica,
      vec![address(seed)],
      Settings::default(),
      index as u64,
    ));
    self.indexes.insert(address(index), index);
    self.next_ticks.push(self.elapsed);
    index
  }

  /// Delivers an answer of the platform without changes to one replica.
  pub fn confirm(&mut self, replica: usize) {
    self.step(replica, Event::Platform(Vec::new()));
  }

  /// The age of the oldest confirmation by the platform, direct or through peers, over all
  /// replicas.
  pub fn oldest_confirmation(&self) -> Duration {
    let now = self.start + self.elapsed;
    let ages = self.machines.iter().map(|machine| machine.confirmed(now));
    let ages = ages.map(|age| age.unwrap_or(Duration::MAX));
    ages.max().unwrap_or(Duration::MAX)
  }

  /// Delivers an answer of the platform with one changed record to one replica.
  pub fn publish(&mut self, replica: usize, record: Record) {
    self.step(replica, Event::Platform(vec![record]));
  }

  /// Simulates until a condition holds and returns the time that it took, or `None` after the
  /// timeout.
  pub fn run_until(
    &mut self,
    timeout: Duration,
    condition: impl Fn(&[Machine]) -> bool,
  ) -> Option<Duration> {
    let start = self.elapsed;
    let end = start + timeout;
    while !condition(&self.machines) {
      if !self.advance(end) {
        return None;
      }
    }
    Some(self.elapsed.saturating_sub(start))
  }

  /// Simulates for this time.
  pub fn run(&mut self, time: Duration) {
    let end = self.elapsed + time;
    while self.advance(end) {}
  }

  /// Simulates the next tick or arrival; returns false if the end comes first.
  fn advance(&mut self, end: Duration) -> bool {
    let (index, tick) = self
      .next_ticks
      .iter()
      .copied()
      .enumerate()
      .min_by_key(|(_, tick)| *tick)
      .expect("at least one replica");
    let arrival = self.arrivals.peek().map(|Reverse((time, ..))| *time);
    let next = arrival.map_or(tick, |time| time.min(tick));
    if next >= end {
      self.elapsed = end;
      return false;
    }
    self.elapsed = next;
    if arrival != Some(next) {
      self.next_ticks[index] = next + Settings::default().tick;
      self.step(index, Event::Tick);
      return true;
    }
    if let Some(Reverse((_, number, from, to))) = self.arrivals.pop()
      && let Some(message) = self.in_flight.remove(&number)
    {
      self.step(to, Event::Received(address(from), message));
    }
    true
  }

  fn step(&mut self, index: usize, event: Event) {
    // The loss of a message sent in response to a failure is not reported: this bounds the
    // recursion.
    let reports_failures = !matches!(event, Event::Failed(..));
    let outgoing = self.machines[index].step(self.start + self.elapsed, event);
    for (peer, message) in outgoing {
      *self.bytes.entry(message.kind()).or_default() += message.size() as u64;
      *self.messages.entry(message.kind()).or_default() += 1;
      let Some(receiver) = self.indexes.get(&peer).copied() else {
        continue;
      };
      if (self.is_cut)(index, receiver) || self.rng.random_bool(self.loss_probability) {
        if reports_failures {
          self.step(index, Event::Failed(peer, message));
        }
        continue;
      }
      let delay = Duration::from_micros(self.rng.random_range(500..10_000));
      self.last_number += 1;
      self.in_flight.insert(self.last_number, message);
      let arrival = (self.elapsed + delay, self.last_number, index, receiver);
      self.arrivals.push(Reverse(arrival));
    }
  }
}
