use {
  super::gauge,
  crate::{
    Revision,
    config::{self, Route},
    counter::Counter,
    id,
    net::Socket,
    routing::Path,
    settings,
    wire::Tagger,
  },
  crossbeam::queue::ArrayQueue,
  futures::task::AtomicWaker,
  std::{
    net::SocketAddr,
    sync::{
      Arc, Mutex, MutexGuard, PoisonError, RwLock,
      atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
  },
};

/// How many packets wait for the transport; more are dropped, as a full socket would.
const QUEUE: usize = 8192;

/// A caller's packet for the transport.
#[derive(Debug)]
pub struct Delivery {
  /// Who sent it.
  pub caller: SocketAddr,
  /// The packet.
  pub packet: Vec<u8>,
}

/// What the parts of an agent share.
#[derive(Debug)]
pub struct Shared {
  /// The counts.
  pub counter: Arc<Counter>,
  /// Set once the process was told to stop.
  pub departing: AtomicBool,
  /// The flows that are open.
  pub flows: AtomicU32,
  /// This run of the agent.
  pub incarnation: id::Incarnation,
  /// Set while nothing new is taken.
  pub leaving: AtomicBool,
  /// Packets for the transport.
  pub queue: ArrayQueue<Delivery>,
  /// Set when the certificate is to be read again.
  pub reload: AtomicBool,
  /// The requests that run.
  pub requests: AtomicU32,
  /// The settings.
  pub settings: settings::Agent,
  /// When this run began.
  pub started: Instant,
  /// The socket that frames come and go by.
  pub tunnel: Socket,
  /// Wakes the transport.
  pub waker: AtomicWaker,
  path: Mutex<Path>,
  service: RwLock<Option<(Revision, Arc<config::Service>)>>,
  tagger: RwLock<Option<Arc<Tagger>>>,
}

impl Shared {
  /// What the parts of an agent with these settings share.
  pub fn new(settings: settings::Agent, tunnel: Socket, counter: Arc<Counter>) -> Arc<Self> {
    Arc::new(Self {
      counter,
      departing: AtomicBool::new(false),
      flows: AtomicU32::new(0),
      incarnation: id::Incarnation(rand::random()),
      leaving: AtomicBool::new(false),
      path: Mutex::default(),
      queue: ArrayQueue::new(QUEUE),
      reload: AtomicBool::new(false),
      requests: AtomicU32::new(0),
      service: RwLock::default(),
      settings,
      started: Instant::now(),
      tagger: RwLock::default(),
      tunnel,
      waker: AtomicWaker::new(),
    })
  }

  /// How busy the target is, in 1/255.
  pub fn load(&self) -> u8 {
    let service = self.service();
    let target = service
      .as_ref()
      .and_then(|service| service.target(self.settings.target));
    let limit = target.map_or(1, |target| target.connections);
    let ramp = service.as_ref().map_or(0, |service| service.ramp_s);
    gauge::load(
      self.flows.load(Ordering::Relaxed),
      limit,
      self.started,
      Instant::now(),
      Duration::from_secs(ramp),
    )
  }

  /// Where answers leave.
  pub fn path(&self) -> MutexGuard<'_, Path> {
    self.path.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// What the operator says of a request; the first route that fits counts.
  pub fn route(&self, method: &str, path: &str) -> Route {
    let service = self.service();
    let routes = service.as_ref().map_or(&[][..], |service| &service.routes);
    routes
      .iter()
      .find(|route| route.method == method && path.starts_with(&route.path))
      .cloned()
      .unwrap_or_default()
  }

  /// The revision of the service in force.
  pub fn revision(&self) -> Option<Revision> {
    let service = self.service.read().unwrap_or_else(PoisonError::into_inner);
    service.as_ref().map(|(revision, _)| *revision)
  }

  /// The service in force.
  pub fn service(&self) -> Option<Arc<config::Service>> {
    let service = self.service.read().unwrap_or_else(PoisonError::into_inner);
    service.as_ref().map(|(_, service)| Arc::clone(service))
  }

  /// Takes a service into force.
  pub fn set_service(&self, service: Option<(Revision, Arc<config::Service>)>) {
    *self.service.write().unwrap_or_else(PoisonError::into_inner) = service;
  }

  /// Makes and checks tags; none while no keyring is in force.
  pub fn tagger(&self) -> Option<Arc<Tagger>> {
    let tagger = self.tagger.read().unwrap_or_else(PoisonError::into_inner);
    tagger.clone()
  }

  /// Takes a keyring into force.
  pub fn set_tagger(&self, tagger: Option<Arc<Tagger>>) {
    *self.tagger.write().unwrap_or_else(PoisonError::into_inner) = tagger;
  }
}
