mod data_centres;

use {
  crate::{
    plain::{Kind, Packet, Plain},
    support::{
      CALLERS, PEERS, configured, configured_weighted, listed, peer, settings, started, unlisted,
      upstream,
    },
  },
  fallwell::{
    Revision,
    config::Presence,
    counter::Counter,
    datagram::{
      Codec, Event, Flow, Machine, Origin, Outbox, Overload, Record, Settings, Tuning, Update,
      Upstream, Via, agent, balancer, target,
    },
  },
  rand::{RngExt, SeedableRng, rngs::SmallRng},
  std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    net::SocketAddrV4,
    ops::Range,
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// How long after the last fault the guarantees with a time bound hold again.
const CALM_MS: u64 = 4000;

/// How long after it is listed as draining a target may get opening packets.
const DRAIN_MS: u64 = 3000;

/// The port in entries of other programs.
const FOREIGN_PORT: u16 = 9100;

/// The interval of checks whether a balancer is to read the platform.
const READ_INTERVAL_MS: u64 = 200;

/// The time between `Event::Stop` and `Event::End` of a process, in milliseconds.
const SHUTDOWN_MS: u64 = 20;

/// How many times a caller sends a packet of an open flow in all.
const ATTEMPTS_MAX: u32 = 12;

/// The interval of a caller's retransmissions, in milliseconds.
const RETRY_MS: u64 = 200;

/// How long after the store accepted it a configuration may not be in force.
const APPLY_MS: u64 = 3000;

/// The past and present services of a route.
#[derive(Default)]
struct RouteState {
  /// All services that it was ever routed to.
  ever: BTreeSet<&'static str>,
  routed: bool,
  /// When its present services of a positive weight were set, in milliseconds.
  since: u64,
  /// The services of a positive weight.
  weighted: BTreeSet<&'static str>,
}

enum Node {
  Agent(Box<agent::Machine<Plain>>),
  Balancer(Box<balancer::Machine<Plain>>),
}

/// A simulated upstream.
struct SimulatedUpstream {
  half_open: HashMap<Flow, u32>,
  id: target::Id,
  leaving_since: Option<u64>,
  is_up: bool,
  open: BTreeSet<Flow>,
  service: &'static str,
}

/// The state of a caller's flow.
#[derive(Clone, Copy)]
struct Call {
  answered: u32,
  /// The number of the latest timer; earlier ones are ignored.
  timer: u64,
  sequence: Option<u32>,
  attempts: u32,
  wanted: u32,
}

enum Item {
  Warmup(u8),
  Caller(Flow, u64),
  Frame(u8, SocketAddrV4, Vec<u8>),
  Update(u8, Origin, Update),
  Packet(u8, Vec<u8>),
  Read(u8),
  Tick(u8),
  ToCaller(Packet),
  ToUpstream(u8, Packet),
}

impl Item {
  /// The host of the process that handles the item, if any.
  fn process(&self) -> Option<u8> {
    match self {
      Self::Frame(host, ..)
      | Self::Packet(host, _)
      | Self::Read(host)
      | Self::Tick(host)
      | Self::Update(host, ..) => Some(*host),
      Self::Caller(..) | Self::ToCaller(_) | Self::ToUpstream(..) | Self::Warmup(_) => None,
    }
  }
}

/// A simulation of balancers, agents, upstreams, callers and a store, with the faults that a test
/// injects. Checks the guarantees that hold at any time.
pub struct World {
  calls: HashMap<Flow, Call>,
  /// The instant of simulated time 0.
  base: Instant,
  upstreams: BTreeMap<u8, SimulatedUpstream>,
  /// Whether the simulation begins with the first start of the whole system.
  first_start: bool,
  /// How many flows were reset.
  pub reset: usize,
  /// How many flows were served to their end.
  pub served: usize,
  /// The time between `Event::Stop` and `Event::End` of a process, in milliseconds.
  shutdown_ms: u64,
  /// What has arrived at paused processes, by host.
  frozen: BTreeMap<u8, Vec<Item>>,
  /// The hosts that exchange nothing with other processes and the store.
  isolated: BTreeSet<u8>,
  items: HashMap<u64, Item>,
  last_fault: u64,
  loss: f64,
  /// The number of the latest item.
  last_item: u64,
  nodes: BTreeMap<u8, Node>,
  now: u64,
  overload: Overload,
  out: Outbox,
  port: u16,
  queue: BinaryHeap<Reverse<(u64, u64)>>,
  /// The latest record of each item of the store.
  records: BTreeMap<String, Record>,
  /// All records of the store in the order of their revisions.
  history: Vec<Record>,
  /// The revision up to which the store has forgotten its history.
  forgotten: u64,
  /// The fraction of frames that are delivered a second time, late.
  duplicated: f64,
  revision: u64,
  /// The source of random choices.
  pub rng: SmallRng,
  /// The routes, by number.
  routes: BTreeMap<u8, RouteState>,
  /// The pause of a caller between the answer to a request and its next request, in milliseconds;
  /// none if empty.
  pause_ms: Range<u64>,
  /// The processing time of a request, in milliseconds.
  processing_ms: u64,
  starts: u32,
  /// How many flows were opened at a target that was listed as draining long enough for all to know,
  /// whatever faults there were.
  pub opened_late: usize,
  store_answers: bool,
  /// The hosts that the store does not answer.
  without_store: BTreeSet<u8>,
  /// The number of packets of an open flow that reached other targets since the last one that
  /// reached its own.
  misdirected: HashMap<Flow, u32>,
  /// The most misdirected packets in a row of one flow.
  misdirected_max: u32,
  version: u64,
  /// The data centres and upstreams in warm-up, if there is more than one data centre.
  data_centres: Option<data_centres::DataCentres>,
}

impl World {
  /// A simulation with balancers on the hosts 1 to 3.
  pub fn new(seed: u64) -> Self {
    Self::with_balancers(seed, false, 0)
  }

  /// A simulation in which all processes have overload control enabled.
  pub fn with_overload_control(seed: u64) -> Self {
    let mut world = Self::empty(seed, false, 0);
    world.overload.enabled = true;
    world.start_balancers();
    world
  }

  fn with_balancers(seed: u64, first_start: bool, shutdown_ms: u64) -> Self {
    let mut world = Self::empty(seed, first_start, shutdown_ms);
    world.start_balancers();
    world
  }

  fn start_balancers(&mut self) {
    for host in 1..=3 {
      self.start_balancer(host);
    }
  }

  fn empty(seed: u64, first_start: bool, shutdown_ms: u64) -> Self {
    Self {
      calls: HashMap::new(),
      base: Instant::now(),
      upstreams: BTreeMap::new(),
      first_start,
      reset: 0,
      served: 0,
      shutdown_ms,
      frozen: BTreeMap::new(),
      isolated: BTreeSet::new(),
      items: HashMap::new(),
      last_fault: 0,
      loss: 0.0,
      last_item: 0,
      nodes: BTreeMap::new(),
      now: 0,
      overload: Overload::default(),
      out: Outbox::default(),
      port: 1024,
      queue: BinaryHeap::new(),
      records: BTreeMap::new(),
      history: Vec::new(),
      forgotten: 0,
      duplicated: 0.0,
      revision: 0,
      rng: SmallRng::seed_from_u64(seed),
      routes: BTreeMap::new(),
      pause_ms: 0..0,
      processing_ms: 1,
      starts: 0,
      opened_late: 0,
      store_answers: true,
      without_store: BTreeSet::new(),
      misdirected: HashMap::new(),
      misdirected_max: u32::MAX,
      version: 0,
      data_centres: None,
    }
  }

  /// A simulation that begins with the first start of the whole system, so that its agents know all
  /// flows, and in which processes have some time between stop and end.
  pub fn from_first_start(seed: u64) -> Self {
    Self::with_balancers(seed, true, SHUTDOWN_MS)
  }

  fn tuning(&self) -> Tuning {
    Tuning {
      overload: self.overload,
      ..Tuning::default()
    }
  }

  /// Starts a balancer without any state.
  pub fn start_balancer(&mut self, host: u8) {
    self.note_fault();
    self.frozen.remove(&host);
    self.starts += 1;
    let settings = Settings {
      closing: self.closing(),
      data_centre: self.data_centre(host).into(),
      first_start: self.first_start && self.now == 0,
      seeds: (1..=3).map(peer).collect(),
      ..settings(host)
    };
    let counter = Arc::new(Counter::default());
    let (now, tuning) = (self.instant(), self.tuning());
    let machine = balancer::Machine::new(now, &settings, tuning, Plain, self.starts, counter);
    self.nodes.insert(host, Node::Balancer(Box::new(machine)));
    self.schedule(0, Item::Tick(host));
    self.schedule(0, Item::Read(host));
  }

  /// Starts an agent without any state for a host's upstream.
  pub fn start_agent(&mut self, host: u8) {
    self.note_fault();
    self.frozen.remove(&host);
    self.starts += 1;
    let settings = Settings {
      closing: self.closing(),
      data_centre: self.data_centre(host).into(),
      // No flows are older than the simulation.
      first_start: self.first_start && self.now == 0,
      seeds: (1..=3).map(peer).collect(),
      ..settings(host)
    };
    let upstream = Upstream {
      address: upstream(host),
      outbound: SocketAddrV4::new(*peer(host).ip(), 9),
      service: self.upstreams[&host].service.parse().expect("a name"),
    };
    let counter = Arc::new(Counter::default());
    let (now, tuning) = (self.instant(), self.tuning());
    let machine = agent::Machine::new(
      now,
      &settings,
      upstream,
      tuning,
      Plain,
      self.starts,
      counter,
    );
    self.nodes.insert(host, Node::Agent(Box::new(machine)));
    self.schedule(0, Item::Tick(host));
  }

  /// Starts an upstream and its agent, and lists the target.
  pub fn start_target(&mut self, host: u8, service: &'static str) {
    self.starts += 1;
    let id = format!("up-{host}-{}", self.starts);
    self.upstreams.insert(
      host,
      SimulatedUpstream {
        half_open: HashMap::new(),
        id: id.clone().into(),
        leaving_since: None,
        is_up: true,
        open: BTreeSet::new(),
        service,
      },
    );
    self.start_agent(host);
    self.start_warmup(host);
    let revision = self.next_revision();
    let record = listed(revision, &id, host, service, Presence::Live);
    let mut record = started(revision, record);
    self.set_location_and_warmup(host, &mut record);
    self.write(id, record);
  }

  /// Crashes an upstream; with its agent if `both`. The target stays listed until `unlist`.
  pub fn crash_target(&mut self, host: u8, both: bool) {
    self.note_fault();
    if let Some(upstream) = self.upstreams.get_mut(&host) {
      upstream.is_up = false;
      upstream.open.clear();
      upstream.half_open.clear();
    }
    if both {
      self.nodes.remove(&host);
    }
  }

  /// Lists a target as draining.
  pub fn drain(&mut self, host: u8) {
    let Some(upstream) = self.upstreams.get_mut(&host) else {
      return;
    };
    upstream.leaving_since.get_or_insert(self.now);
    let (id, service) = (String::from(upstream.id.clone()), upstream.service);
    let revision = self.next_revision();
    let mut record = listed(revision, &id, host, service, Presence::Leaving);
    self.set_location_and_warmup(host, &mut record);
    self.write(id, record);
  }

  /// Removes a target from the target list.
  pub fn unlist(&mut self, host: u8) {
    let Some(upstream) = self.upstreams.get(&host) else {
      return;
    };
    let id = String::from(upstream.id.clone());
    let revision = self.next_revision();
    self.write(id.clone(), unlisted(revision, &id));
  }

  /// Kills a process.
  pub fn kill(&mut self, host: u8) {
    self.note_fault();
    self.nodes.remove(&host);
  }

  /// Shuts a process down gracefully; its final message is delivered.
  pub fn stop(&mut self, host: u8) {
    if self.frozen.contains_key(&host) {
      self.thaw(host);
      self.run(1);
    }
    self.step(host, Event::Stop);
    self.run(self.shutdown_ms);
    self.step(host, Event::End);
    self.nodes.remove(&host);
  }

  /// Stores a configuration.
  pub fn configure(&mut self, routes: &[(u8, &'static str)]) {
    let shares = routes.iter();
    let shares = shares.map(|(route, service)| (*route, vec![(*service, 1)]));
    let revision = self.set_routes(&shares.collect::<Vec<_>>());
    let record = configured(revision, self.version, routes);
    let record = self.with_warmup(routes, revision, record);
    self.write("configuration".into(), record);
  }

  /// Stores a configuration whose routes have services by weight.
  pub fn configure_weighted(&mut self, routes: &[(u8, Vec<(&'static str, u32)>)]) {
    let revision = self.set_routes(routes);
    let record = configured_weighted(revision, self.version, routes);
    self.write("configuration".into(), record);
  }

  /// Records the services of all routes from now on; returns the revision of the configuration.
  fn set_routes(&mut self, routes: &[(u8, Vec<(&'static str, u32)>)]) -> u64 {
    for state in self.routes.values_mut() {
      state.routed = false;
    }
    for (route, shares) in routes {
      let state = self.routes.entry(*route).or_default();
      let weighted = shares.iter().filter(|(_, weight)| *weight > 0);
      let weighted = weighted.map(|(service, _)| *service).collect();
      state.ever.extend(&weighted);
      if state.weighted != weighted {
        state.since = self.now;
      }
      state.weighted = weighted;
      state.routed = true;
    }
    self.version += 1 + self.version % 3;
    self.next_revision()
  }

  /// Sets the most misdirected packets in a row that a flow may have.
  pub fn limit_misdirected(&mut self, max: u32) {
    self.misdirected_max = max;
  }

  /// Drops a fraction of all frames and packets.
  pub fn set_loss(&mut self, share: f64) {
    self.note_fault();
    self.loss = share;
  }

  /// Delivers a fraction of all frames a second time, up to a second late, also to a later
  /// incarnation.
  pub fn set_duplication(&mut self, share: f64) {
    self.note_fault();
    self.duplicated = share;
  }

  /// Crashes all balancers and agents at once, and the upstreams if `targets`.
  pub fn lose_power(&mut self, targets: bool) {
    self.note_fault();
    self.nodes.clear();
    for host in self.targets() {
      if targets {
        self.crash_target(host, true);
      }
    }
  }

  /// Restarts everything after `lose_power`, without any state. A target whose upstream had crashed
  /// is replaced by a new one.
  pub fn restore_power(&mut self) {
    for host in 1..=3 {
      self.start_balancer(host);
    }
    for host in self.targets() {
      let SimulatedUpstream { is_up, service, .. } = self.upstreams[&host];
      if is_up {
        self.start_agent(host);
      } else {
        self.unlist(host);
        self.start_target(host, service);
      }
    }
  }

  /// Sets the pause of a caller between an answer and its next request.
  pub fn set_pause_ms(&mut self, ms: Range<u64>) {
    self.pause_ms = ms;
  }

  /// Sets the processing time of a request.
  pub fn set_processing_ms(&mut self, ms: u64) {
    self.processing_ms = ms;
  }

  /// Lets the store forget its history: who is behind can only read the present items.
  pub fn forget_history(&mut self) {
    self.forgotten = self.revision;
  }

  /// Cuts a process off from all others and the store, or connects it again.
  pub fn set_isolated(&mut self, host: u8, isolated: bool) {
    self.note_fault();
    if isolated {
      self.isolated.insert(host);
    } else {
      self.isolated.remove(&host);
    }
  }

  /// Pauses a process. What arrives for it meanwhile waits.
  pub fn freeze(&mut self, host: u8) {
    self.note_fault();
    self.frozen.entry(host).or_default();
  }

  /// Resumes a paused process, which handles what has arrived meanwhile.
  pub fn thaw(&mut self, host: u8) {
    self.note_fault();
    for item in self.frozen.remove(&host).unwrap_or_default() {
      self.schedule(0, item);
    }
  }

  /// The process that reads the store for all.
  pub fn reader(&mut self) -> u8 {
    let now = self.instant();
    let nodes = self.nodes.iter_mut();
    let mut readers =
      nodes.filter_map(|(host, node)| node.machine().gossip().is_reader(now).then_some(*host));
    readers.next().expect("a reader")
  }

  /// Cuts a process off from the store alone, or connects it again.
  pub fn set_without_store(&mut self, host: u8, without: bool) {
    self.note_fault();
    if without {
      self.without_store.insert(host);
    } else {
      self.without_store.remove(&host);
    }
  }

  /// Lists an entry that another program has written, with a port of the instance at which nothing
  /// of the system listens.
  pub fn list_foreign(&mut self, host: u8, service: &str, presence: Presence) {
    let id = foreign_id(host, service);
    let revision = self.next_revision();
    let mut record = listed(revision, &id, host, service, presence);
    if let Record::Target {
      target: Some(target),
      ..
    } = &mut record
    {
      target.address.set_port(FOREIGN_PORT);
    }
    self.write(id, record);
  }

  /// Removes an entry that another program has written.
  pub fn unlist_foreign(&mut self, host: u8, service: &str) {
    let id = foreign_id(host, service);
    if self.records.contains_key(&id) {
      let revision = self.next_revision();
      self.write(id.clone(), unlisted(revision, &id));
    }
  }

  /// Sets whether the store answers.
  pub fn set_store_answers(&mut self, answers: bool) {
    self.note_fault();
    self.store_answers = answers;
  }

  /// Opens a flow to a route, and sends `requests` requests in it one after another.
  pub fn call(&mut self, route: u8, requests: u32) {
    self.port = self.port.checked_add(1).unwrap_or(1024);
    let flow = crate::support::flow(self.port, route);
    self.calls.insert(
      flow,
      Call {
        answered: 0,
        timer: 0,
        sequence: None,
        attempts: 0,
        wanted: requests,
      },
    );
    self.schedule(0, Item::Caller(flow, 0));
  }

  /// How many flows are neither served nor given up.
  pub fn pending(&self) -> usize {
    self.calls.len()
  }

  /// The hosts that have an upstream.
  pub fn targets(&self) -> Vec<u8> {
    self.upstreams.keys().copied().collect()
  }

  /// Whether every process has the store's latest revision.
  pub fn is_up_to_date(&mut self) -> bool {
    let revision = self.latest_revision();
    let mut nodes = self.nodes.values_mut();
    nodes.all(|node| node.machine().gossip().catalog().synced() == revision)
  }

  /// Advances the time.
  pub fn run(&mut self, ms: u64) {
    let end = self.now + ms;
    while let Some(Reverse((at, number))) = self.queue.peek().copied() {
      if at > end {
        break;
      }
      self.queue.pop();
      self.now = at;
      if let Some(item) = self.items.remove(&number) {
        self.handle(item);
      }
    }
    self.now = end;
  }

  fn note_fault(&mut self) {
    self.last_fault = self.now;
  }

  /// Whether there is no fault, nor has been lately.
  fn is_calm(&self) -> bool {
    self.store_answers
      && self.loss == 0.0
      && self.duplicated == 0.0
      && self.frozen.is_empty()
      && self.isolated.is_empty()
      && self.without_store.is_empty()
      && self.now >= self.last_fault + CALM_MS
  }

  fn instant(&self) -> Instant {
    self.base + Duration::from_millis(self.now)
  }

  fn schedule(&mut self, after: u64, item: Item) {
    self.last_item += 1;
    self.items.insert(self.last_item, item);
    self.queue.push(Reverse((self.now + after, self.last_item)));
  }

  /// Writes an item of the store.
  fn write(&mut self, key: String, record: Record) {
    self.history.push(record.clone());
    self.records.insert(key, record);
  }

  fn next_revision(&mut self) -> u64 {
    self.revision += 1;
    self.revision
  }

  fn handle(&mut self, item: Item) {
    if let Some(waiting) = item.process().and_then(|host| self.frozen.get_mut(&host)) {
      waiting.push(item);
      return;
    }
    match item {
      Item::Warmup(host) => self.report_warmup(host),
      Item::Caller(flow, timer) => self.send_request(flow, timer),
      Item::Frame(host, from, bytes) => self.step(
        host,
        Event::Frame {
          from,
          bytes: &bytes,
        },
      ),
      Item::Update(host, origin, update) => self.step(host, Event::Update(origin, update)),
      Item::Packet(host, mut bytes) => self.step(host, Event::Packet(&mut bytes)),
      Item::Read(host) => self.read(host),
      Item::Tick(host) => self.tick(host),
      Item::ToCaller(packet) => self.deliver_to_caller(packet),
      Item::ToUpstream(host, packet) => self.deliver_to_upstream(host, packet),
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
    self.schedule(due, Item::Tick(host));
  }

  fn read(&mut self, host: u8) {
    let now = self.instant();
    let answers = self.store_answers;
    let Some(node) = self.nodes.get_mut(&host) else {
      return;
    };
    let gossip = node.machine().gossip();
    let (reads, synced) = (gossip.is_reader(now), gossip.catalog().synced());
    let is_cut = self.isolated.contains(&host) || self.without_store.contains(&host);
    if reads && answers && !is_cut {
      let update = self.read_store(synced);
      self.schedule(4, Item::Update(host, Origin::Platform, update));
    }
    self.schedule(READ_INTERVAL_MS, Item::Read(host));
  }

  /// All changes after a revision, or a snapshot if the store has forgotten some of them.
  fn read_store(&self, after: Revision) -> Update {
    let is_snapshot = after == Revision(0) || after < Revision(self.forgotten);
    let records = if is_snapshot {
      let present = self.records.values();
      let present = present.filter(|record| Self::is_in_snapshot(record));
      present.cloned().collect()
    } else {
      let newer = self.history.iter();
      let newer = newer.filter(|record| record.revision() > after);
      newer.cloned().collect()
    };
    Update {
      after: (!is_snapshot).then_some(after),
      has_gap: is_snapshot,
      records,
      to: Revision(self.revision),
    }
  }

  fn step(&mut self, host: u8, event: Event) {
    let now = self.instant();
    let Some(node) = self.nodes.get_mut(&host) else {
      return;
    };
    let mut out = std::mem::take(&mut self.out);
    out.clear();
    let before = node.machine().gossip().catalog().version();
    node.machine().step(now, event, &mut out);
    let gossip = node.machine().gossip();
    assert!(
      gossip.catalog().version() >= before,
      "an older configuration replaced a newer one"
    );
    if let Some((peer, after)) = gossip.take_wanted() {
      self.pull_from_peer(host, peer, after);
    }
    for datagram in out.datagrams() {
      self.send(host, datagram.via, datagram.to, out.bytes(datagram));
    }
    self.out = out;
  }

  fn pull_from_peer(&mut self, host: u8, from: SocketAddrV4, after: Revision) {
    let now = self.instant();
    let peer = from.ip().octets()[3];
    if self.isolated.contains(&host) || self.isolated.contains(&peer) {
      return;
    }
    if let Some(other) = self.nodes.get_mut(&peer) {
      let update = other.machine().gossip().catalog().since(now, after);
      self.schedule(6, Item::Update(host, Origin::Peer(from), update));
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
        self.schedule(after, Item::ToCaller(packet));
      }
      Via::Peers => {
        assert_eq!(to.port(), PEERS);
        let to = to.ip().octets()[3];
        if self.isolated.contains(&host) || self.isolated.contains(&to) {
          return;
        }
        self.schedule(after, Item::Frame(to, peer(host), bytes.to_vec()));
        if self.duplicated > 0.0 && self.rng.random_bool(self.duplicated) {
          let late = after + self.rng.random_range(0..1000);
          self.schedule(late, Item::Frame(to, peer(host), bytes.to_vec()));
        }
      }
      Via::Upstream => {
        let packet = Packet::read(bytes).expect("packet");
        self.schedule(0, Item::ToUpstream(host, packet));
      }
    }
  }

  /// Delivers a caller's packet to one of the running balancers by a hash of its flow, as the
  /// fabric does.
  fn send_to_balancer(&mut self, packet: Packet) {
    let running = self.nodes.iter();
    let running = running
      .filter(|(host, node)| matches!(node, Node::Balancer(_)) && !self.isolated.contains(host));
    let running = running.map(|(host, _)| *host).collect::<Vec<_>>();
    if running.is_empty() {
      return;
    }
    let host = running[packet.flow.key() as usize % running.len()];
    self.schedule(2, Item::Packet(host, packet.write()));
  }

  fn send_request(&mut self, flow: Flow, timer: u64) {
    let call = self.calls.get_mut(&flow);
    let Some(call) = call.filter(|call| call.timer == timer) else {
      return;
    };
    let max = if call.sequence.is_none() {
      Plain::OPEN_ATTEMPTS
    } else {
      ATTEMPTS_MAX
    };
    if call.attempts >= max {
      // Its caller gives up after a timeout, which breaks no guarantee.
      self.calls.remove(&flow);
      return;
    }
    call.attempts += 1;
    call.timer += 1;
    let timer = call.timer;
    let packet = match call.sequence {
      None => Packet::open(flow, call.attempts - 1),
      Some(sequence) => Packet::data(flow, 2 + call.answered, sequence + 1),
    };
    self.send_to_balancer(packet);
    self.schedule(RETRY_MS, Item::Caller(flow, timer));
  }

  fn deliver_to_caller(&mut self, packet: Packet) {
    let flow = packet.flow;
    let Some(call) = self.calls.get_mut(&flow) else {
      return;
    };
    match packet.kind {
      Kind::Reset => {
        let is_open = self
          .upstreams
          .values()
          .any(|upstream| upstream.open.contains(&flow));
        let route = flow.route.ip().octets()[3];
        let dropped = self.routes.get(&route).is_none_or(|state| !state.routed);
        assert!(!is_open || dropped, "an open flow was reset: {flow}");
        self.calls.remove(&flow);
        self.reset += 1;
        return;
      }
      Kind::Open if call.sequence.is_none() => call.sequence = Some(packet.sequence),
      Kind::Data if packet.acknowledges == 2 + call.answered => call.answered += 1,
      Kind::Data | Kind::Open => return,
    }
    call.attempts = 0;
    if call.answered >= call.wanted {
      self.calls.remove(&flow);
      self.served += 1;
      return;
    }
    call.timer += 1;
    let timer = call.timer;
    let pause = if self.pause_ms.is_empty() || packet.kind == Kind::Open {
      0
    } else {
      self.rng.random_range(self.pause_ms.clone())
    };
    self.schedule(pause, Item::Caller(flow, timer));
  }

  /// Counts a packet that reached a target while its flow is open at another one.
  fn count_misdirected(&mut self, host: u8, packet: &Packet) {
    let is_open =
      |upstream: &SimulatedUpstream| upstream.is_up && upstream.open.contains(&packet.flow);
    let own = self
      .upstreams
      .iter()
      .find(|(_, upstream)| is_open(upstream));
    let Some((own, _)) = own.filter(|_| packet.kind != Kind::Open) else {
      return;
    };
    if *own == host {
      self.misdirected.remove(&packet.flow);
      return;
    }
    let misdirected = self.misdirected.entry(packet.flow).or_default();
    *misdirected += 1;
    assert!(
      *misdirected <= self.misdirected_max,
      "{misdirected} packets of {} were misdirected",
      packet.flow
    );
  }

  fn deliver_to_upstream(&mut self, host: u8, packet: Packet) {
    let flow = packet.flow;
    let calm = self.is_calm();
    self.count_misdirected(host, &packet);
    if packet.kind == Kind::Open
      && self
        .upstreams
        .get(&host)
        .is_some_and(|upstream| upstream.is_up)
    {
      self.count_opening(host, packet.flow, calm);
    }
    let Some(upstream) = self
      .upstreams
      .get_mut(&host)
      .filter(|upstream| upstream.is_up)
    else {
      return;
    };
    let route = flow.route.ip().octets()[3];
    let state = &self.routes[&route];
    let service = upstream.service;
    assert!(
      state.ever.contains(service),
      "{flow} reached service {service}"
    );
    assert!(!packet.returned);
    let old =
      state.routed && !state.weighted.contains(service) && self.now > state.since + APPLY_MS;
    assert!(
      packet.kind != Kind::Open || !old || !calm,
      "{flow} was opened at service {service}, which its route no longer opens flows at"
    );
    let answer = if packet.kind == Kind::Open {
      let late = upstream
        .leaving_since
        .is_some_and(|since| self.now > since + DRAIN_MS);
      assert!(!late || !calm, "{flow} was opened at a draining target");
      self.opened_late += usize::from(late);
      let sequence = self.rng.random_range(1..1 << 30);
      let sequence = *upstream.half_open.entry(flow).or_insert(sequence);
      Packet {
        acknowledges: 1,
        data: 0,
        sequence,
        ..packet
      }
    } else if upstream.accepts(&packet) {
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
    let after = if opens { 1 } else { self.processing_ms };
    self.schedule(after, Item::Packet(host, answer.write()));
  }
}

fn foreign_id(host: u8, service: &str) -> String {
  format!("foreign-{host}-{service}")
}

impl SimulatedUpstream {
  /// Whether the packet belongs to an open flow; one that completes the opening opens it.
  fn accepts(&mut self, packet: &Packet) -> bool {
    let half_open = self.half_open.get(&packet.flow).copied();
    if half_open.is_some_and(|sequence| packet.acknowledges == sequence + 1) {
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
