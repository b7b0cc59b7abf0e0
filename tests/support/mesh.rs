//! Peer machines that hand each other messages over a link in memory, with delays and losses.

use {
  fallwell::{
    Revision,
    config::{self, Key, Presence, Record, Role as Place},
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

/// A message on its way: when it arrives, a running number, sender, receiver.
type Transit = Reverse<(Duration, u64, usize, usize)>;

pub struct Mesh {
  /// Bytes sent, by kind.
  pub bytes: BTreeMap<&'static str, u64>,
  /// Messages sent, by kind.
  pub messages: BTreeMap<&'static str, u64>,
  pub machines: Vec<Machine>,
  /// Pairs that do not reach each other.
  pub cut: Box<dyn Fn(usize, usize) -> bool>,
  pub loss: f64,
  base: Instant,
  letters: HashMap<u64, Message>,
  next: u64,
  places: HashMap<SocketAddr, usize>,
  rng: SmallRng,
  ticks: Vec<Duration>,
  time: Duration,
  transit: BinaryHeap<Transit>,
}

pub fn address(index: usize) -> SocketAddr {
  SocketAddr::from(([127, 7, (index / 250) as u8, (index % 250) as u8], 7100))
}

/// The list entry of one balancer.
pub fn instance(index: usize, revision: u64) -> Record {
  let id = id::Instance(index as u32);
  let instance = config::Instance {
    control: address(index),
    data_centre: format!("centre-{}", index % 5),
    id,
    presence: Presence::Live,
    role: Place::Balancer,
    tunnel: address(index),
  };
  let text = json!(instance).to_string();
  Record::new(Key::Instance(id), Revision(revision), Some(text))
}

/// A service with some targets, of about the size that the capacity page reckons with.
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
  /// Carriers that all hold the same records.
  pub fn new(carriers: usize, records: &[Record], seed: u64) -> Self {
    let base = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut machines = Vec::new();
    for index in 0..carriers {
      let mut machine = Machine::new(
        address(index),
        Role::Replica,
        Vec::new(),
        Settings::default(),
        seed + index as u64,
      );
      machine.step(base, Event::Platform(records.to_vec()));
      machines.push(machine);
    }
    let tick = Settings::default().tick;
    let ticks = machines
      .iter()
      .map(|_| tick.mul_f64(rng.random_range(0.0..1.0)));
    Self {
      bytes: BTreeMap::new(),
      cut: Box::new(|_, _| false),
      letters: HashMap::new(),
      loss: 0.0,
      messages: BTreeMap::new(),
      next: 0,
      places: (0..carriers).map(|index| (address(index), index)).collect(),
      ticks: ticks.collect(),
      base,
      machines,
      rng,
      time: Duration::ZERO,
      transit: BinaryHeap::new(),
    }
  }

  /// Adds a carrier that holds nothing and knows the first as its seed.
  pub fn join(&mut self, seed: usize) -> usize {
    let index = self.machines.len();
    self.machines.push(Machine::new(
      address(index),
      Role::Replica,
      vec![address(seed)],
      Settings::default(),
      index as u64,
    ));
    self.places.insert(address(index), index);
    self.ticks.push(self.time);
    index
  }

  /// The platform tells one carrier that nothing has changed.
  pub fn confirm(&mut self, at: usize) {
    self.step(at, Event::Platform(Vec::new()));
  }

  /// How long ago the carrier that knows least heard, through others, from the platform.
  pub fn oldest_word(&self) -> Duration {
    let now = self.base + self.time;
    let words = self.machines.iter().map(|machine| machine.confirmed(now));
    let ages = words.map(|age| age.unwrap_or(Duration::MAX));
    ages.max().unwrap_or(Duration::MAX)
  }

  /// The platform tells one carrier of a change.
  pub fn publish(&mut self, at: usize, record: Record) {
    self.step(at, Event::Platform(vec![record]));
  }

  /// Lets time pass until a condition holds, at most so long; the time that it took.
  pub fn run_until(
    &mut self,
    most: Duration,
    holds: impl Fn(&[Machine]) -> bool,
  ) -> Option<Duration> {
    let begun = self.time;
    let end = begun + most;
    while !holds(&self.machines) {
      if !self.advance(end) {
        return None;
      }
    }
    Some(self.time.saturating_sub(begun))
  }

  /// Lets time pass.
  pub fn run(&mut self, time: Duration) {
    let end = self.time + time;
    while self.advance(end) {}
  }

  /// The next tick or message; false when the end comes first.
  fn advance(&mut self, end: Duration) -> bool {
    let (index, tick) = self
      .ticks
      .iter()
      .copied()
      .enumerate()
      .min_by_key(|(_, tick)| *tick)
      .expect("a carrier");
    let arrival = self.transit.peek().map(|Reverse((at, ..))| *at);
    let next = arrival.map_or(tick, |at| at.min(tick));
    if next >= end {
      self.time = end;
      return false;
    }
    self.time = next;
    if arrival != Some(next) {
      self.ticks[index] = next + Settings::default().tick;
      self.step(index, Event::Tick);
      return true;
    }
    if let Some(Reverse((_, number, from, to))) = self.transit.pop()
      && let Some(message) = self.letters.remove(&number)
    {
      self.step(to, Event::Received(address(from), message));
    }
    true
  }

  fn step(&mut self, index: usize, event: Event) {
    let again = !matches!(event, Event::Failed(..));
    let letters = self.machines[index].step(self.base + self.time, event);
    for (to, message) in letters {
      *self.bytes.entry(message.kind()).or_default() += message.size() as u64;
      *self.messages.entry(message.kind()).or_default() += 1;
      let peer = to;
      let Some(to) = self.places.get(&peer).copied() else {
        continue;
      };
      if (self.cut)(index, to) || self.rng.random_bool(self.loss) {
        if again {
          self.step(index, Event::Failed(peer, message));
        }
        continue;
      }
      let delay = Duration::from_micros(self.rng.random_range(500..10_000));
      self.next += 1;
      self.letters.insert(self.next, message);
      self
        .transit
        .push(Reverse((self.time + delay, self.next, index, to)));
    }
  }
}
