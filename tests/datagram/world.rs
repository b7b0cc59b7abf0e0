mod zones;

use {
  crate::{
    plain::{Kind, Packet, Plain},
    support::{
      CALLERS, PEERS, configured, configured_weighted, listed, peer, settings, unlisted, upstream,
    },
  },
  fallwell::{
    Revision,
    config::Presence,
    counter::Counter,
    datagram::{
      Codec, Event, Flow, Machine, News, Origin, Outbox, Record, Settings, Tuning, Upstream, Via,
      agent, balancer, target,
    },
  },
  rand::{RngExt, SeedableRng, rngs::SmallRng},
  std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// How long after the last fault the promises with a time bound hold, in milliseconds.
const CALM: u64 = 4000;

/// How long after it is listed as leaving a target may get opening packets, in milliseconds.
const DRAIN: u64 = 3000;

/// How often one asks whether a balancer is to read, in milliseconds.
const READ: u64 = 200;

/// How long a process goes on after it was told to stop, in milliseconds.
const FAREWELL: u64 = 20;

/// The tries of a caller for one packet, and the wait between two, in milliseconds.
const TRIES: (u32, u64) = (12, 200);

/// How long after it is acknowledged a configuration may not be in force, in milliseconds.
const APPLY: u64 = 3000;

/// Where a route leads.
#[derive(Default)]
struct Led {
  /// To which services it ever led.
  ever: BTreeSet<&'static str>,
  routed: bool,
  /// Since when it leads to those that take its new flows now, in milliseconds.
  since: u64,
  taking: BTreeSet<&'static str>,
}

enum Node {
  Agent(Box<agent::Machine<Plain>>),
  Balancer(Box<balancer::Machine<Plain>>),
}

/// An upstream as the world plays it.
struct Beside {
  half: HashMap<Flow, u32>,
  id: target::Id,
  leaving_since: Option<u64>,
  lives: bool,
  open: BTreeSet<Flow>,
  service: &'static str,
}

/// A caller's flow.
#[derive(Clone, Copy)]
struct Asked {
  answered: u32,
  /// Tells the newest timer from older ones.
  timer: u64,
  sequence: Option<u32>,
  tries: u32,
  wanted: u32,
}

enum Item {
  Beat(u8),
  Caller(Flow, u64),
  Frame(u8, SocketAddrV4, Vec<u8>),
  News(u8, Origin, News),
  Packet(u8, Vec<u8>),
  Read(u8),
  Tick(u8),
  ToCaller(Packet),
  ToUpstream(u8, Packet),
}

/// Balancers, agents, upstreams, callers and a store, with faults that the test orders. What must
/// hold is asserted inside.
pub struct World {
  asked: HashMap<Flow, Asked>,
  base: Instant,
  beside: BTreeMap<u8, Beside>,
  /// Whether the world's first moment is the system's first start.
  bootstraps: bool,
  /// How many flows came to their end, and how many were told that they are gone.
  pub ended: (usize, usize),
  /// How long a process goes on after it was told to stop, in milliseconds.
  farewell: u64,
  items: HashMap<u64, Item>,
  last_fault: u64,
  loss: f64,
  next: u64,
  nodes: BTreeMap<u8, Node>,
  now: u64,
  out: Outbox,
  port: u16,
  queue: BinaryHeap<Reverse<(u64, u64)>>,
  records: BTreeMap<String, Record>,
  /// The share of frames that come a second time, late.
  repeated: f64,
  revision: u64,
  /// The world's own choices.
  pub rng: SmallRng,
  /// Where routes lead and led to.
  routes: BTreeMap<u8, Led>,
  /// How long upstreams take for a request, in milliseconds.
  slow: u64,
  starts: u32,
  store_answers: bool,
  /// How many packets of an open flow came to other targets since the last one at its own.
  strays: HashMap<Flow, u32>,
  /// How many of them may.
  strays_max: u32,
  version: u64,
  /// Its data centres and cold upstreams, in a world that has more than one.
  zones: Option<zones::Zones>,
}

impl World {
  /// A world with balancers at the hosts 1 to 3.
  pub fn new(seed: u64) -> Self {
    Self::begun(seed, false, 0)
  }

  fn begun(seed: u64, bootstraps: bool, farewell: u64) -> Self {
    let mut world = Self::empty(seed, bootstraps, farewell);
    for host in 1..=3 {
      world.start_balancer(host);
    }
    world
  }

  fn empty(seed: u64, bootstraps: bool, farewell: u64) -> Self {
    Self {
      asked: HashMap::new(),
      base: Instant::now(),
      beside: BTreeMap::new(),
      bootstraps,
      ended: (0, 0),
      farewell,
      items: HashMap::new(),
      last_fault: 0,
      loss: 0.0,
      next: 0,
      nodes: BTreeMap::new(),
      now: 0,
      out: Outbox::default(),
      port: 1024,
      queue: BinaryHeap::new(),
      records: BTreeMap::new(),
      repeated: 0.0,
      revision: 0,
      rng: SmallRng::seed_from_u64(seed),
      routes: BTreeMap::new(),
      slow: 1,
      starts: 0,
      store_answers: true,
      strays: HashMap::new(),
      strays_max: u32::MAX,
      version: 0,
      zones: None,
    }
  }

  /// A world that begins with the system's first start, so that its agents know all flows, and
  /// where processes that are told to stop go on for a little.
  pub fn bootstrapped(seed: u64) -> Self {
    Self::begun(seed, true, FAREWELL)
  }

  /// Starts a balancer that knows nothing.
  pub fn start_balancer(&mut self, host: u8) {
    self.fault();
    self.starts += 1;
    let settings = Settings {
      closing: self.closing(),
      data_centre: self.data_centre(host).into(),
      first_start: self.bootstraps && self.now == 0,
      seeds: (1..=3).map(peer).collect(),
      ..settings(host)
    };
    let counter = Arc::new(Counter::default());
    let (now, tuning) = (self.instant(), Tuning::default());
    let machine = balancer::Machine::new(now, &settings, tuning, Plain, self.starts, counter);
    self.nodes.insert(host, Node::Balancer(Box::new(machine)));
    self.put(0, Item::Tick(host));
    self.put(0, Item::Read(host));
  }

  /// Starts an agent that knows nothing beside a host's upstream.
  pub fn start_agent(&mut self, host: u8) {
    self.fault();
    self.starts += 1;
    let settings = Settings {
      closing: self.closing(),
      data_centre: self.data_centre(host).into(),
      // Nothing ran before the world's first moment, so that these know all flows.
      first_start: self.bootstraps && self.now == 0,
      seeds: (1..=3).map(peer).collect(),
      ..settings(host)
    };
    let beside = Upstream {
      address: upstream(host),
      outbound: SocketAddrV4::new(*peer(host).ip(), 9),
      service: self.beside[&host].service.parse().expect("a name"),
    };
    let counter = Arc::new(Counter::default());
    let (now, tuning) = (self.instant(), Tuning::default());
    let machine = agent::Machine::new(now, &settings, beside, tuning, Plain, self.starts, counter);
    self.nodes.insert(host, Node::Agent(Box::new(machine)));
    self.put(0, Item::Tick(host));
  }

  /// Starts an upstream, with an agent beside it, and lists it.
  pub fn start_target(&mut self, host: u8, service: &'static str) {
    self.starts += 1;
    let id = format!("up-{host}-{}", self.starts);
    self.beside.insert(
      host,
      Beside {
        half: HashMap::new(),
        id: id.clone().into(),
        leaving_since: None,
        lives: true,
        open: BTreeSet::new(),
        service,
      },
    );
    self.start_agent(host);
    self.cool(host);
    let revision = self.raise();
    let mut record = listed(revision, &id, host, service, Presence::Live);
    self.place_record(host, &mut record);
    self.records.insert(id, record);
  }

  /// An upstream crashes, with its agent where `both`. Its entry stays until `unlist`.
  pub fn crash_target(&mut self, host: u8, both: bool) {
    self.fault();
    if let Some(beside) = self.beside.get_mut(&host) {
      beside.lives = false;
      beside.open.clear();
      beside.half.clear();
    }
    if both {
      self.nodes.remove(&host);
    }
  }

  /// A target says that it leaves.
  pub fn drain(&mut self, host: u8) {
    let Some(beside) = self.beside.get_mut(&host) else {
      return;
    };
    beside.leaving_since.get_or_insert(self.now);
    let (id, service) = (String::from(beside.id.clone()), beside.service);
    let revision = self.raise();
    let mut record = listed(revision, &id, host, service, Presence::Leaving);
    self.place_record(host, &mut record);
    self.records.insert(id, record);
  }

  /// A target's entry leaves the list.
  pub fn unlist(&mut self, host: u8) {
    let Some(beside) = self.beside.get(&host) else {
      return;
    };
    let id = String::from(beside.id.clone());
    let revision = self.raise();
    self.records.insert(id.clone(), unlisted(revision, &id));
  }

  /// A process is killed.
  pub fn kill(&mut self, host: u8) {
    self.fault();
    self.nodes.remove(&host);
  }

  /// A process is told to stop, goes on for a little, and is gone; what it says is delivered.
  pub fn stop(&mut self, host: u8) {
    self.step(host, Event::Stop);
    self.run(self.farewell);
    self.step(host, Event::End);
    self.nodes.remove(&host);
  }

  /// Puts a configuration into force.
  pub fn configure(&mut self, routes: &[(u8, &'static str)]) {
    let shares = routes.iter();
    let shares = shares.map(|(route, service)| (*route, vec![(*service, 1)]));
    let revision = self.lead(&shares.collect::<Vec<_>>());
    let record = configured(revision, self.version, routes);
    let record = self.stated(routes, revision, record);
    self.records.insert("configuration".into(), record);
  }

  /// Puts a configuration into force whose routes lead to services by weight.
  pub fn weigh(&mut self, routes: &[(u8, Vec<(&'static str, u32)>)]) {
    let revision = self.lead(routes);
    let record = configured_weighted(revision, self.version, routes);
    self.records.insert("configuration".into(), record);
  }

  /// Notes where routes lead from now on; the revision of the configuration that says so.
  fn lead(&mut self, routes: &[(u8, Vec<(&'static str, u32)>)]) -> u64 {
    for led in self.routes.values_mut() {
      led.routed = false;
    }
    for (route, shares) in routes {
      let led = self.routes.entry(*route).or_default();
      let taking = shares.iter().filter(|(_, weight)| *weight > 0);
      let taking = taking.map(|(service, _)| *service).collect();
      led.ever.extend(&taking);
      if led.taking != taking {
        led.since = self.now;
      }
      led.taking = taking;
      led.routed = true;
    }
    self.version += 1 + self.version % 3;
    self.raise()
  }

  /// From now on no more packets than that may come to other targets while none comes to a flow's
  /// own.
  pub fn bound_strays(&mut self, most: u32) {
    self.strays_max = most;
  }

  /// Loses a share of all frames and packets.
  pub fn lose(&mut self, share: f64) {
    self.fault();
    self.loss = share;
  }

  /// Delivers a share of all frames a second time, up to a second late: to the next run too.
  pub fn repeat(&mut self, share: f64) {
    self.fault();
    self.repeated = share;
  }

  /// All machines lose power at once; with the targets, unless those stand elsewhere.
  pub fn lose_power(&mut self, targets: bool) {
    self.fault();
    self.nodes.clear();
    for host in self.targets() {
      if targets {
        self.crash_target(host, true);
      }
    }
  }

  /// Power is back: all that was there starts again and knows nothing. A target that had crashed is
  /// a new one, and is listed as such.
  pub fn return_power(&mut self) {
    for host in 1..=3 {
      self.start_balancer(host);
    }
    for host in self.targets() {
      let Beside { lives, service, .. } = self.beside[&host];
      if lives {
        self.start_agent(host);
      } else {
        self.unlist(host);
        self.start_target(host, service);
      }
    }
  }

  /// Upstreams take so long for a request, in milliseconds.
  pub fn slow(&mut self, ms: u64) {
    self.slow = ms;
  }

  /// Whether the store answers.
  pub fn store(&mut self, answers: bool) {
    self.fault();
    self.store_answers = answers;
  }

  /// A caller opens a flow to a route and sends so many requests in it, one after another.
  pub fn call(&mut self, route: u8, requests: u32) {
    self.port = self.port.checked_add(1).unwrap_or(1024);
    let flow = crate::support::flow(self.port, route);
    self.asked.insert(
      flow,
      Asked {
        answered: 0,
        timer: 0,
        sequence: None,
        tries: 0,
        wanted: requests,
      },
    );
    self.put(0, Item::Caller(flow, 0));
  }

  /// How many flows wait for something.
  pub fn waiting(&self) -> usize {
    self.asked.len()
  }

  /// The hosts that have an upstream.
  pub fn targets(&self) -> Vec<u8> {
    self.beside.keys().copied().collect()
  }

  /// Whether every process knows all that the store holds.
  pub fn is_level(&mut self) -> bool {
    let revision = self.newest();
    let mut nodes = self.nodes.values_mut();
    nodes.all(|node| node.machine().spread().catalog().complete() == revision)
  }

  /// Lets time pass.
  pub fn run(&mut self, ms: u64) {
    let end = self.now + ms;
    while let Some(Reverse((at, number))) = self.queue.peek().copied() {
      if at > end {
        break;
      }
      self.queue.pop();
      self.now = at;
      if let Some(item) = self.items.remove(&number) {
        self.play(item);
      }
    }
    self.now = end;
  }

  fn fault(&mut self) {
    self.last_fault = self.now;
  }

  /// Whether nothing is disturbed, nor was lately.
  fn is_calm(&self) -> bool {
    self.store_answers
      && self.loss == 0.0
      && self.repeated == 0.0
      && self.now >= self.last_fault + CALM
  }

  fn instant(&self) -> Instant {
    self.base + Duration::from_millis(self.now)
  }

  fn put(&mut self, after: u64, item: Item) {
    self.next += 1;
    self.items.insert(self.next, item);
    self.queue.push(Reverse((self.now + after, self.next)));
  }

  fn raise(&mut self) -> u64 {
    self.revision += 1;
    self.revision
  }

  fn play(&mut self, item: Item) {
    match item {
      Item::Beat(host) => self.beat(host),
      Item::Caller(flow, timer) => self.ask(flow, timer),
      Item::Frame(host, from, bytes) => self.step(
        host,
        Event::Frame {
          from,
          bytes: &bytes,
        },
      ),
      Item::News(host, origin, news) => self.step(host, Event::News(origin, news)),
      Item::Packet(host, mut bytes) => self.step(host, Event::Packet(&mut bytes)),
      Item::Read(host) => self.read(host),
      Item::Tick(host) => self.tick(host),
      Item::ToCaller(packet) => self.caller_gets(packet),
      Item::ToUpstream(host, packet) => self.upstream_gets(host, packet),
    }
  }

  fn tick(&mut self, host: u8) {
    let now = self.instant();
    let Some(node) = self.nodes.get_mut(&host) else {
      return;
    };
    if node.machine().deadline() <= now {
      self.step(host, Event::Tick);
    }
    let Some(node) = self.nodes.get_mut(&host) else {
      return;
    };
    let due = node.machine().deadline().saturating_duration_since(now);
    let due = (due.as_millis() as u64 + 1).min(20);
    self.put(due, Item::Tick(host));
  }

  fn read(&mut self, host: u8) {
    let now = self.instant();
    let answers = self.store_answers;
    let Some(node) = self.nodes.get_mut(&host) else {
      return;
    };
    let spread = node.machine().spread();
    let (reads, complete) = (spread.is_reader(now), spread.catalog().complete());
    if reads && answers {
      let whole = complete == Revision(0);
      let records = self.records.values();
      let records = records.filter(|record| record.revision() > complete);
      let present = records.filter(|record| !whole || Self::is_shown(record));
      let news = News {
        after: (!whole).then_some(complete),
        records: present.cloned().collect(),
        to: Revision(self.revision),
      };
      self.put(4, Item::News(host, Origin::Platform, news));
    }
    self.put(READ, Item::Read(host));
  }

  fn step(&mut self, host: u8, event: Event) {
    let now = self.instant();
    let Some(node) = self.nodes.get_mut(&host) else {
      return;
    };
    let mut out = std::mem::take(&mut self.out);
    out.clear();
    let before = node.machine().spread().catalog().version();
    node.machine().step(now, event, &mut out);
    let spread = node.machine().spread();
    assert!(
      spread.catalog().version() >= before,
      "a configuration stepped back"
    );
    if let Some((peer, after)) = spread.take_wanted() {
      self.ask_peer(host, peer, after);
    }
    for datagram in out.datagrams() {
      self.send(host, datagram.via, datagram.to, out.bytes(datagram));
    }
    self.out = out;
  }

  fn ask_peer(&mut self, host: u8, from: SocketAddrV4, after: Revision) {
    let other = self.nodes.get_mut(&from.ip().octets()[3]);
    if let Some(other) = other {
      let news = other.machine().spread().catalog().since(after);
      self.put(6, Item::News(host, Origin::Peer(from), news));
    }
  }

  fn send(&mut self, host: u8, via: Via, to: SocketAddrV4, bytes: &[u8]) {
    if self.loss > 0.0 && via != Via::Upstream && self.rng.random_bool(self.loss) {
      return;
    }
    let after = self.rng.random_range(1..4);
    match via {
      Via::Callers => {
        assert_eq!(to.port(), CALLERS);
        let packet = Packet::read(bytes).expect("packet");
        self.put(after, Item::ToCaller(packet));
      }
      Via::Peers => {
        assert_eq!(to.port(), PEERS);
        let to = to.ip().octets()[3];
        self.put(after, Item::Frame(to, peer(host), bytes.to_vec()));
        if self.repeated > 0.0 && self.rng.random_bool(self.repeated) {
          let late = after + self.rng.random_range(0..1000);
          self.put(late, Item::Frame(to, peer(host), bytes.to_vec()));
        }
      }
      Via::Upstream => {
        let packet = Packet::read(bytes).expect("packet");
        self.put(0, Item::ToUpstream(host, packet));
      }
    }
  }

  /// The fabric hands a caller's packet to any balancer, by a hash over those that are there.
  fn spray(&mut self, packet: Packet) {
    let there = self.nodes.iter();
    let there = there.filter(|(_, node)| matches!(node, Node::Balancer(_)));
    let there = there.map(|(host, _)| *host).collect::<Vec<_>>();
    if there.is_empty() {
      return;
    }
    let host = there[packet.flow.key() as usize % there.len()];
    self.put(2, Item::Packet(host, packet.write()));
  }

  fn ask(&mut self, flow: Flow, timer: u64) {
    let asked = self.asked.get_mut(&flow);
    let Some(asked) = asked.filter(|asked| asked.timer == timer) else {
      return;
    };
    let most = if asked.sequence.is_none() {
      Plain::COPIES
    } else {
      TRIES.0
    };
    if asked.tries >= most {
      // Its caller gives it up; silence breaks nothing.
      self.asked.remove(&flow);
      return;
    }
    asked.tries += 1;
    asked.timer += 1;
    let timer = asked.timer;
    let packet = match asked.sequence {
      None => Packet::open(flow, asked.tries - 1),
      Some(sequence) => Packet::data(flow, 2 + asked.answered, sequence + 1),
    };
    self.spray(packet);
    self.put(TRIES.1, Item::Caller(flow, timer));
  }

  fn caller_gets(&mut self, packet: Packet) {
    let flow = packet.flow;
    let Some(asked) = self.asked.get_mut(&flow) else {
      return;
    };
    match packet.kind {
      Kind::Reset => {
        let holds = self
          .beside
          .values()
          .any(|beside| beside.open.contains(&flow));
        let route = flow.route.ip().octets()[3];
        let dropped = self.routes.get(&route).is_none_or(|led| !led.routed);
        assert!(!holds || dropped, "an open flow was reset: {flow}");
        self.asked.remove(&flow);
        self.ended.1 += 1;
        return;
      }
      Kind::Open if asked.sequence.is_none() => asked.sequence = Some(packet.sequence),
      Kind::Data if packet.acknowledges == 2 + asked.answered => asked.answered += 1,
      Kind::Data | Kind::Open => return,
    }
    asked.tries = 0;
    if asked.answered >= asked.wanted {
      self.asked.remove(&flow);
      self.ended.0 += 1;
      return;
    }
    asked.timer += 1;
    let timer = asked.timer;
    self.put(0, Item::Caller(flow, timer));
  }

  /// Counts a packet that came to a target while its flow is open at another one.
  fn count_stray(&mut self, host: u8, packet: &Packet) {
    let holds = |beside: &Beside| beside.lives && beside.open.contains(&packet.flow);
    let own = self.beside.iter().find(|(_, beside)| holds(beside));
    let Some((own, _)) = own.filter(|_| packet.kind != Kind::Open) else {
      return;
    };
    if *own == host {
      self.strays.remove(&packet.flow);
      return;
    }
    let strays = self.strays.entry(packet.flow).or_default();
    *strays += 1;
    assert!(
      *strays <= self.strays_max,
      "{strays} packets of {} went elsewhere",
      packet.flow
    );
  }

  fn upstream_gets(&mut self, host: u8, packet: Packet) {
    let flow = packet.flow;
    let calm = self.is_calm();
    self.count_stray(host, &packet);
    if packet.kind == Kind::Open && self.beside.get(&host).is_some_and(|beside| beside.lives) {
      self.count_opening(host, packet.flow, calm);
    }
    let Some(beside) = self.beside.get_mut(&host).filter(|beside| beside.lives) else {
      return;
    };
    let route = flow.route.ip().octets()[3];
    let led = &self.routes[&route];
    let service = beside.service;
    assert!(
      led.ever.contains(service),
      "{flow} came to service {service}"
    );
    assert!(!packet.returned);
    let old = led.routed && !led.taking.contains(service) && self.now > led.since + APPLY;
    assert!(
      packet.kind != Kind::Open || !old || !calm,
      "{flow} was opened at service {service}, where its route no longer leads"
    );
    let answer = if packet.kind == Kind::Open {
      let late = beside
        .leaving_since
        .is_some_and(|since| self.now > since + DRAIN);
      assert!(!late || !calm, "{flow} was opened at a leaving target");
      let sequence = self.rng.random_range(1..1 << 30);
      let sequence = *beside.half.entry(flow).or_insert(sequence);
      Packet {
        acknowledges: 1,
        data: 0,
        sequence,
        ..packet
      }
    } else if beside.opens(&packet) {
      Packet {
        acknowledges: packet.sequence,
        data: 10,
        sequence: packet.acknowledges,
        ..packet
      }
    } else {
      Packet {
        returned: true,
        ..packet
      }
    };
    let opens = answer.kind == Kind::Open || answer.returned;
    let after = if opens { 1 } else { self.slow };
    self.put(after, Item::Packet(host, answer.write()));
  }
}

impl Beside {
  /// Whether the packet is of a flow that is open here, or opens it.
  fn opens(&mut self, packet: &Packet) -> bool {
    let half = self.half.get(&packet.flow).copied();
    if half.is_some_and(|sequence| packet.acknowledges == sequence + 1) {
      self.open.insert(packet.flow);
    }
    self.open.contains(&packet.flow)
  }
}

impl Node {
  fn machine(&mut self) -> &mut dyn Machine {
    match self {
      Self::Agent(machine) => machine.as_mut(),
      Self::Balancer(machine) => machine.as_mut(),
    }
  }
}
