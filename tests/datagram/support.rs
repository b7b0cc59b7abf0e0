use {
  crate::plain::{Packet, Plain},
  fallwell::{
    Revision,
    config::Presence,
    confirmation::Confirmation,
    counter::Counter,
    datagram::{
      Backend, Backends, Configuration, Event, Flow, Frame, Machine, Origin, Outbox, Rate, Record,
      Route, Service, Settings, Target, Tuning, Update, Upstream, Version, Via, Warmup, Weight,
      agent, balancer, frame::Handling, service::Digest,
    },
  },
  std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// The port at which all processes of these tests receive frames.
pub const PEERS: u16 = 7000;

/// The port at which balancers receive callers' packets.
pub const CALLERS: u16 = 4400;

/// The port at which upstreams receive packets.
pub const UPSTREAM: u16 = 8000;

/// An instance's address for frames.
pub fn peer(host: u8) -> SocketAddrV4 {
  SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), PEERS)
}

/// The address of the upstream on an instance.
pub fn upstream(host: u8) -> SocketAddrV4 {
  SocketAddrV4::new(*peer(host).ip(), UPSTREAM)
}

/// The address of a route.
pub fn route(number: u8) -> SocketAddrV4 {
  SocketAddrV4::new(Ipv4Addr::new(198, 51, 100, number), 443)
}

/// A flow of a caller's port to a route.
pub fn flow(port: u16, number: u8) -> Flow {
  Flow {
    caller: SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 7), port),
    route: route(number),
  }
}

/// Settings of the instance `host`.
pub fn settings(host: u8) -> Settings {
  Settings {
    callers: SocketAddrV4::new(*peer(host).ip(), CALLERS),
    peers: peer(host),
    ..Settings::default()
  }
}

/// A configuration whose routes, given by number, each have one service.
pub fn configuration(version: u64, routes: &[(u8, &str)]) -> Configuration {
  let shares = routes.iter();
  let shares = shares.map(|(number, service)| (*number, vec![(*service, 1)]));
  weighted(version, &shares.collect::<Vec<_>>())
}

/// A configuration whose routes have services by weight.
pub fn weighted(version: u64, routes: &[(u8, Vec<(&str, u32)>)]) -> Configuration {
  let routes = routes.iter();
  let routes = routes.map(|(number, shares)| {
    let route_to = Route {
      backends: backends(shares),
      objective: Duration::from_millis(200),
      priority: 1,
    };
    (route(*number), route_to)
  });
  Configuration {
    idle: Duration::from_secs(30),
    routes: routes.collect(),
    version: Version(version),
    warmups: BTreeMap::new(),
  }
}

/// Backends of services by weight.
pub fn backends(shares: &[(&str, u32)]) -> Backends {
  let backends = shares.iter().map(|(service, weight)| Backend {
    service: service.parse().expect("a name"),
    weight: Weight(*weight),
  });
  Backends::from(backends.collect::<Vec<_>>())
}

/// The record of a configuration whose routes have services by weight.
pub fn configured_weighted(
  revision: u64,
  version: u64,
  routes: &[(u8, Vec<(&str, u32)>)],
) -> Record {
  Record::Configuration {
    configuration: weighted(version, routes),
    revision: Revision(revision),
  }
}

/// The record of a configuration.
pub fn configured(revision: u64, version: u64, routes: &[(u8, &str)]) -> Record {
  Record::Configuration {
    configuration: configuration(version, routes),
    revision: Revision(revision),
  }
}

/// The record of a configuration in which the route `first` has precedence over the others.
pub fn configured_first(revision: u64, version: u64, routes: &[(u8, &str)], first: u8) -> Record {
  let mut configuration = configuration(version, routes);
  if let Some(route) = configuration.routes.get_mut(&route(first)) {
    route.priority = 0;
  }
  Record::Configuration {
    configuration,
    revision: Revision(revision),
  }
}

/// The record of a configuration with a warm-up of service `a`.
pub fn configured_cold(
  revision: u64,
  version: u64,
  routes: &[(u8, &str)],
  lasts: Duration,
  per_second: u16,
) -> Record {
  let mut configuration = configuration(version, routes);
  let service = "a".parse().expect("a name");
  let warmup = Warmup { lasts, per_second };
  configuration.warmups.insert(service, warmup);
  Record::Configuration {
    configuration,
    revision: Revision(revision),
  }
}

/// The record of a target on the instance `host`.
pub fn listed(revision: u64, id: &str, host: u8, service: &str, presence: Presence) -> Record {
  Record::Target {
    id: id.parse().expect("a name"),
    revision: Revision(revision),
    target: Some(Target {
      address: upstream(host),
      start_time: None,
      data_centre: "default".into(),
      presence,
      service: service.parse().expect("a name"),
      slots: 4,
      started: None,
      warmup_left: Duration::ZERO,
    }),
  }
}

/// The record of a target that has started at a revision.
pub fn started(revision: u64, mut record: Record) -> Record {
  if let Record::Target {
    target: Some(target),
    ..
  } = &mut record
  {
    target.started = Some(Revision(revision));
  }
  record
}

/// The record of a target with `left` of its warm-up.
pub fn warming(revision: u64, id: &str, host: u8, service: &str, left: Duration) -> Record {
  let mut record = listed(revision, id, host, service, Presence::Live);
  if let Record::Target {
    target: Some(target),
    ..
  } = &mut record
  {
    target.warmup_left = left;
  }
  record
}

/// The record of a target in another data centre.
pub fn elsewhere(revision: u64, id: &str, host: u8, service: &str) -> Record {
  let mut record = listed(revision, id, host, service, Presence::Live);
  if let Record::Target {
    target: Some(target),
    ..
  } = &mut record
  {
    target.data_centre = "elsewhere".into();
  }
  record
}

/// The record that a data centre is closed to new flows, or opened again.
pub fn evacuation(revision: u64, data_centre: &str, closed: bool) -> Record {
  Record::Evacuation {
    closed,
    data_centre: data_centre.into(),
    revision: Revision(revision),
  }
}

/// The record of a target that was removed from the target list.
pub fn unlisted(revision: u64, id: &str) -> Record {
  Record::Target {
    id: id.parse().expect("a name"),
    revision: Revision(revision),
    target: None,
  }
}

/// An update with records, as read from the platform; a snapshot without `after`, which does not
/// tell what changed before.
pub fn update(after: Option<u64>, to: u64, records: &[Record]) -> Update {
  Update {
    after: after.map(Revision),
    has_gap: after.is_none(),
    records: records.to_vec(),
    to: Revision(to),
  }
}

/// An agent in a test harness.
pub type Agent = Harness<agent::Machine<Plain>>;

/// An agent of service `a` whose upstream has 4 slots and no requests; its catalog is complete up
/// to revision 2.
pub fn agent() -> Agent {
  agent_of(true)
}

/// The same; with `first_start` no older flows can exist.
pub fn agent_of(first_start: bool) -> Agent {
  let mut agent = Harness::agent(9, "a", first_start);
  let records = [
    configured(1, 1, &[(1, "a")]),
    listed(2, "up", 9, "a", Presence::Live),
  ];
  agent.platform(update(None, 2, &records));
  agent
}

/// The report that the platform has answered a process, of which nothing else is known, so long ago.
pub fn confirmation(age_ms: u32) -> Confirmation {
  Confirmation {
    age_ms,
    at_ms: 0,
    reader: rand::random(),
  }
}

/// The digest of a service's name.
pub fn digest(service: &str) -> Digest {
  service.parse::<Service>().expect("a name").digest()
}

/// The frame of an agent of service `a` that owns a flow.
pub fn found(flow: Flow) -> Frame {
  Frame::Found {
    flow,
    service: digest("a"),
  }
}

/// The frame of an agent of service `a` that doesn't know whether it owns a flow.
pub fn unsure(flow: Flow) -> Frame {
  Frame::Unsure {
    flows: vec![flow],
    service: digest("a"),
  }
}

/// The frame in front of a caller's packet to an agent of service `a`, from a balancer whose
/// catalog is complete up to revision 2.
pub fn carry(handling: Handling) -> Frame {
  carry_to("a", handling)
}

/// The same in front of a packet to an agent of another service.
pub fn carry_to(service: &str, handling: Handling) -> Frame {
  Frame::Carry {
    synced: Revision(2),
    handling,
    service: digest(service),
    version: Version(1),
  }
}

/// A datagram that a machine sent: a frame with the packet that follows, or a packet.
#[derive(Clone, Debug, PartialEq)]
pub enum Sent {
  /// To a caller.
  Caller(Packet),
  /// To a process: its address, the frame and the packet that follows.
  Frame(SocketAddrV4, Frame, Vec<u8>),
  /// To the upstream.
  Upstream(Packet),
}

/// A machine whose events and time the test controls.
pub struct Harness<M> {
  /// The machine.
  pub machine: M,
  /// The simulated time.
  pub now: Instant,
  out: Outbox,
}

impl Harness<balancer::Machine<Plain>> {
  /// A balancer that has just started, on an instance whose link has the rate `link`.
  pub fn balancer(host: u8, link: Option<Rate>) -> Self {
    let now = Instant::now();
    let counter = Arc::new(Counter::default());
    let tuning = Tuning::default();
    let settings = Settings {
      link,
      ..settings(host)
    };
    let machine = balancer::Machine::new(now, &settings, tuning, Plain, 1, counter);
    Self::new(machine, now)
  }

  /// A balancer that has just started, with other limits than the default ones.
  pub fn tuned(host: u8, tuning: &Tuning) -> Self {
    let now = Instant::now();
    let counter = Arc::new(Counter::default());
    let machine = balancer::Machine::new(now, &settings(host), *tuning, Plain, 1, counter);
    Self::new(machine, now)
  }

  /// A balancer that stops placing flows in an evacuated data centre after half of `closing`. Its
  /// incarnation, 500, sets that fraction.
  pub fn closing(host: u8, closing: Duration) -> Self {
    let now = Instant::now();
    let counter = Arc::new(Counter::default());
    let settings = Settings {
      closing,
      ..settings(host)
    };
    let machine = balancer::Machine::new(now, &settings, Tuning::default(), Plain, 500, counter);
    Self::new(machine, now)
  }
}

impl Harness<agent::Machine<Plain>> {
  /// An agent of an upstream of `service`; with `first_start` no older flows can exist.
  pub fn agent(host: u8, service: &str, first_start: bool) -> Self {
    let now = Instant::now();
    let counter = Arc::new(Counter::default());
    let settings = Settings {
      first_start,
      ..settings(host)
    };
    let upstream = Upstream {
      address: upstream(host),
      outbound: SocketAddrV4::new(*peer(host).ip(), UPSTREAM + 1),
      service: service.parse::<Service>().expect("a name"),
    };
    let tuning = Tuning::default();
    let machine = agent::Machine::new(now, &settings, upstream, tuning, Plain, 1, counter);
    Self::new(machine, now)
  }
}

impl<M: Machine> Harness<M> {
  /// A machine whose clock starts at `now`.
  pub fn new(machine: M, now: Instant) -> Self {
    Self {
      machine,
      now,
      out: Outbox::default(),
    }
  }

  /// Passes an event to the machine; returns what it sends.
  pub fn step(&mut self, event: Event) -> Vec<Sent> {
    self.out.clear();
    self.machine.step(self.now, event, &mut self.out);
    read(&self.out)
  }

  /// Passes a packet.
  pub fn packet(&mut self, packet: Packet) -> Vec<Sent> {
    self.step(Event::Packet(&mut packet.write()))
  }

  /// Passes a frame from the instance `from`, and the packet that follows.
  pub fn frame(&mut self, from: u8, frame: &Frame, packet: &[u8]) -> Vec<Sent> {
    let mut bytes = Vec::new();
    frame.encode(&mut bytes);
    bytes.extend_from_slice(packet);
    self.step(Event::Frame {
      from: peer(from),
      bytes: &bytes,
    })
  }

  /// Passes a frame from the instance `from`; returns how many statuses that instance is sent.
  pub fn statuses(&mut self, from: u8, frame: &Frame) -> usize {
    self.frame(from, frame, &[]);
    let datagrams = self.out.datagrams().iter();
    let sent = datagrams.filter(|datagram| datagram.to == peer(from));
    let frames = sent.filter_map(|datagram| Frame::decode(self.out.bytes(datagram)).ok());
    let statuses = frames.filter(|(frame, _)| matches!(frame, Frame::Status(_)));
    statuses.count()
  }

  /// Passes an update from the platform.
  pub fn platform(&mut self, update: Update) -> Vec<Sent> {
    self.step(Event::Update(Origin::Platform, update))
  }

  /// Advances the time and passes a tick.
  pub fn pass(&mut self, time: Duration) -> Vec<Sent> {
    self.now += time;
    self.step(Event::Tick)
  }
}

/// The datagrams in an outbox, without statuses.
pub fn read(out: &Outbox) -> Vec<Sent> {
  let datagrams = out.datagrams().iter();
  let sent = datagrams.map(|datagram| {
    let bytes = out.bytes(datagram);
    match datagram.via {
      Via::Callers => Sent::Caller(Packet::read(bytes).expect("packet")),
      Via::Peers => {
        let (frame, packet) = Frame::decode(bytes).expect("frame");
        Sent::Frame(datagram.to, frame, packet.to_vec())
      }
      Via::Upstream => Sent::Upstream(Packet::read(bytes).expect("packet")),
    }
  });
  sent
    .filter(|sent| !matches!(sent, Sent::Frame(_, Frame::Status(_), _)))
    .collect()
}
