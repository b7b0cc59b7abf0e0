use {
  super::{home, load, slots::Slots},
  crate::{
    Revision,
    admission::Budget,
    config::{self, HISTORY_LIMIT, Route},
    counter::Counter,
    id,
    ledger::{self, Action, Event, Outcome},
    net::Socket,
    routing::{Hop, Path, Table},
    settings,
    wire::Tagger,
  },
  crossbeam::queue::ArrayQueue,
  futures::task::AtomicWaker,
  std::{
    collections::{BTreeSet, HashMap, VecDeque},
    net::{SocketAddr, TcpListener},
    sync::{
      Arc, Mutex, MutexGuard, PoisonError, RwLock,
      atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
  },
  tokio::sync::watch,
};

/// The maximum number of packets queued for the transport; more are dropped, as by a full socket
/// buffer.
const QUEUED_MAX: usize = 8192;

/// A caller's packet that is queued for the transport.
#[derive(Debug)]
pub struct Delivery {
  /// The caller's address.
  pub caller: SocketAddr,
  /// The packet without the frame's header.
  pub packet: Vec<u8>,
}

/// The state that the threads of an agent share.
#[derive(Debug)]
pub struct Shared {
  /// The counters of the process.
  pub counter: Arc<Counter>,
  /// Whether the process has been asked to stop.
  pub stopping: AtomicBool,
  /// The number of open flows.
  pub flows: AtomicU32,
  /// The listener for requests that peers hand off. It is bound before the process is ready, since
  /// peers conclude from a refused connection that the process has ended.
  pub handoffs: TcpListener,
  /// Whether the agent accepts flows.
  pub serving: AtomicBool,
  /// The total weight of the requests sent to the upstream, for measuring the imbalance between
  /// targets.
  pub sent_weight: AtomicU64,
  /// The incarnation of this agent, drawn at random.
  pub incarnation: id::Incarnation,
  /// Whether the target is leaving: draining, without new flows.
  pub leaving: watch::Sender<bool>,
  /// The packets queued for the transport.
  pub queue: ArrayQueue<Delivery>,
  /// Whether the certificate is to be reloaded.
  pub reload: AtomicBool,
  /// The number of requests in progress.
  pub requests: AtomicU32,
  /// The agent's settings.
  pub settings: settings::Agent,
  /// The upstream's slots.
  pub slots: Slots,
  /// When this incarnation started.
  pub started: Instant,
  /// The socket for frames.
  pub tunnel: Socket,
  /// Wakes the transport when packets have been queued.
  pub waker: AtomicWaker,
  /// Peers to which no requests are handed off, with the time until when.
  avoided: Mutex<HashMap<id::Target, Instant>>,
  budget: Mutex<Budget>,
  ledger: Mutex<ledger::Machine>,
  path: Mutex<Path>,
  /// The revisions of the service and when each came into force in this incarnation.
  revisions: Mutex<VecDeque<(Revision, Instant)>>,
  /// Notifies those that wait for the outcome of a running request, by its key.
  running: Mutex<HashMap<u128, watch::Sender<Option<Outcome>>>>,
  service: RwLock<Option<(Revision, Arc<config::Service>)>>,
  table: RwLock<Option<Arc<Table>>>,
  tagger: RwLock<Option<Arc<Tagger>>>,
}

impl Shared {
  /// Creates the state of an agent that is neither ready nor leaving.
  pub fn new(
    settings: settings::Agent,
    tunnel: Socket,
    handoffs: TcpListener,
    counter: Arc<Counter>,
  ) -> Arc<Self> {
    Arc::new(Self {
      avoided: Mutex::default(),
      budget: Mutex::default(),
      revisions: Mutex::default(),
      counter,
      stopping: AtomicBool::new(false),
      flows: AtomicU32::new(0),
      handoffs,
      incarnation: id::Incarnation(rand::random()),
      leaving: watch::Sender::new(false),
      ledger: Mutex::new(ledger::Machine::new(ledger::Settings::default())),
      path: Mutex::default(),
      queue: ArrayQueue::new(QUEUED_MAX),
      reload: AtomicBool::new(false),
      requests: AtomicU32::new(0),
      running: Mutex::default(),
      service: RwLock::default(),
      serving: AtomicBool::new(false),
      settings,
      slots: Slots::default(),
      started: Instant::now(),
      table: RwLock::default(),
      tagger: RwLock::default(),
      tunnel,
      waker: AtomicWaker::new(),
      sent_weight: AtomicU64::new(0),
    })
  }

  /// Hands no requests off to a peer for this time.
  pub fn avoid(&self, peer: id::Target, duration: Duration) {
    lock(&self.avoided).insert(peer, Instant::now() + duration);
  }

  /// Whether no requests are handed off to a peer for now.
  pub fn is_avoided(&self, peer: id::Target) -> bool {
    let until = lock(&self.avoided).get(&peer).copied();
    until.is_some_and(|until| Instant::now() < until)
  }

  /// The budget of retries.
  pub fn budget(&self) -> MutexGuard<'_, Budget> {
    lock(&self.budget)
  }

  /// Adds the weight of a request that is sent to the upstream.
  pub fn add_sent_weight(&self, weight: u32) {
    self.sent_weight.fetch_add(weight.into(), Ordering::Relaxed);
  }

  /// The targets, which may include this one, that may have been the key's home within the repeat
  /// window, according to the known target sets.
  pub fn earlier_homes(&self, key: u128) -> BTreeSet<id::Target> {
    let Some(table) = self.table() else {
      return BTreeSet::new();
    };
    table.first_candidates(home::rendezvous_key(key), self.oldest_within_window())
  }

  /// Decides about a request with an idempotency key and returns a receiver for its outcome. Both
  /// happen under the lock of the ledger, so that the outcome cannot be missed.
  pub fn admit_key(&self, key: u128, event: Event) -> (Action, home::OutcomeReceiver) {
    let mut ledger = self.ledger();
    let action = ledger.step(Instant::now(), event);
    let mut running = lock(&self.running);
    if action == Action::Run {
      running.insert(key, watch::Sender::new(None));
    }
    let receiver = match running.get(&key) {
      Some(sender) => sender.subscribe(),
      None => watch::Sender::new(Some(Outcome::Unknown)).subscribe(),
    };
    (action, receiver)
  }

  /// Records the outcome of the request with this key and notifies those that wait for it.
  pub fn finish_key(&self, key: u128, outcome: Outcome) {
    let mut ledger = self.ledger();
    ledger.step(Instant::now(), Event::Finished(key, outcome.clone()));
    if let Some(sender) = lock(&self.running).remove(&key) {
      sender.send_replace(Some(outcome));
    }
  }

  /// Whether this incarnation started within the repeat window, so that a previous one may have run
  /// a key.
  pub fn has_started_within_window(&self) -> bool {
    self.started.elapsed() < self.repeat_window()
  }

  /// Whether the target may open new flows: it is not leaving and has not reached its limit.
  pub fn accepts_flows(&self) -> bool {
    !self.is_leaving() && self.flows.load(Ordering::Relaxed) < self.flows_max()
  }

  /// Whether the target is leaving, and so starts no new requests.
  pub fn is_leaving(&self) -> bool {
    *self.leaving.borrow()
  }

  /// The key's home among the targets that are not in `tried`; none if there are no others.
  pub fn home(&self, key: u128, tried: &[id::Target]) -> Option<Hop> {
    home::find(self.table()?.as_ref(), key, tried)
  }

  /// The ledger of idempotency keys.
  pub fn ledger(&self) -> MutexGuard<'_, ledger::Machine> {
    lock(&self.ledger)
  }

  /// The routing table with the current and earlier target sets; none while no service is in force.
  pub fn table(&self) -> Option<Arc<Table>> {
    let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
    table.clone()
  }

  /// Replaces the routing table and records when its revision came into force.
  pub fn set_table(&self, table: Option<Arc<Table>>) {
    let mut current = self.table.write().unwrap_or_else(PoisonError::into_inner);
    let mut revisions = lock(&self.revisions);
    if let Some(table) = &table
      && revisions
        .back()
        .is_none_or(|(revision, _)| *revision < table.revision())
    {
      revisions.push_back((table.revision(), Instant::now()));
      if revisions.len() > 2 * HISTORY_LIMIT {
        revisions.pop_front();
      }
    }
    *current = table;
  }

  /// The oldest revision that was in force within the repeat window; the lowest possible one while
  /// this incarnation is younger than the window.
  fn oldest_within_window(&self) -> Revision {
    if self.has_started_within_window() {
      return Revision::default();
    }
    let window = self.repeat_window();
    let revisions = lock(&self.revisions);
    let mut oldest = None;
    let mut replaced_at = None;
    for (revision, at) in revisions.iter().rev() {
      let is_within = replaced_at.is_none_or(|replaced: Instant| replaced.elapsed() < window);
      if !is_within {
        break;
      }
      oldest = Some(*revision);
      replaced_at = Some(*at);
    }
    oldest.unwrap_or_default()
  }

  /// Subtracts the weight of a request that could not be sent to the upstream after all.
  pub fn subtract_sent_weight(&self, weight: u32) {
    self.sent_weight.fetch_sub(weight.into(), Ordering::Relaxed);
  }

  /// The repeat window of the service in force; the default window while there is none.
  fn repeat_window(&self) -> Duration {
    let service = self.service();
    Duration::from_secs(service.map_or(600, |service| service.repeat_window_s))
  }

  /// How many flows may be open at the target; one while it is not listed.
  fn flows_max(&self) -> u32 {
    let service = self.service();
    let target = service
      .as_ref()
      .and_then(|service| service.target(self.settings.target));
    target.map_or(1, |target| target.connections)
  }

  /// The load that the target reports, in 1/255 of its flow limit.
  pub fn load(&self) -> u8 {
    let service = self.service();
    let ramp = service.as_ref().map_or(0, |service| service.ramp_s);
    load::level(
      self.flows.load(Ordering::Relaxed),
      self.flows_max(),
      self.started,
      Instant::now(),
      Duration::from_secs(ramp),
    )
  }

  /// The balancers through which answers are sent.
  pub fn path(&self) -> MutexGuard<'_, Path> {
    lock(&self.path)
  }

  /// The first route that matches a request, if any.
  pub fn route(&self, method: &str, path: &str) -> Option<Route> {
    let service = self.service();
    let routes = service.as_ref().map_or(&[][..], |service| &service.routes);
    routes
      .iter()
      .find(|route| route.method == method && path.starts_with(&route.path))
      .cloned()
  }

  /// The revision of the service in force, if any.
  pub fn revision(&self) -> Option<Revision> {
    let service = self.service.read().unwrap_or_else(PoisonError::into_inner);
    service.as_ref().map(|(revision, _)| *revision)
  }

  /// The service in force, if any.
  pub fn service(&self) -> Option<Arc<config::Service>> {
    let service = self.service.read().unwrap_or_else(PoisonError::into_inner);
    service.as_ref().map(|(_, service)| Arc::clone(service))
  }

  /// Replaces the service in force.
  pub fn set_service(&self, service: Option<(Revision, Arc<config::Service>)>) {
    *self.service.write().unwrap_or_else(PoisonError::into_inner) = service;
  }

  /// Creates and verifies tags; none while no keyring is in force.
  pub fn tagger(&self) -> Option<Arc<Tagger>> {
    let tagger = self.tagger.read().unwrap_or_else(PoisonError::into_inner);
    tagger.clone()
  }

  /// Replaces the tagger when another keyring comes into force.
  pub fn set_tagger(&self, tagger: Option<Arc<Tagger>>) {
    *self.tagger.write().unwrap_or_else(PoisonError::into_inner) = tagger;
  }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
