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
  /// Where peers hand calls over. It is bound before the process is ready, since a home that
  /// refuses connections counts as dead.
  pub handoffs: TcpListener,
  /// Set while callers are served.
  pub serving: AtomicBool,
  /// The work that the upstream was given, by weight, for the measure of imbalance.
  pub work: AtomicU64,
  /// This run of the agent.
  pub incarnation: id::Incarnation,
  /// Set while nothing new is taken.
  pub leaving: watch::Sender<bool>,
  /// Packets for the transport.
  pub queue: ArrayQueue<Delivery>,
  /// Set when the certificate is to be read again.
  pub reload: AtomicBool,
  /// The requests that run.
  pub requests: AtomicU32,
  /// The settings.
  pub settings: settings::Agent,
  /// The upstream's slots.
  pub slots: Slots,
  /// When this run began.
  pub started: Instant,
  /// The socket that frames come and go by.
  pub tunnel: Socket,
  /// Wakes the transport.
  pub waker: AtomicWaker,
  avoided: Mutex<HashMap<id::Target, Instant>>,
  budget: Mutex<Budget>,
  ledger: Mutex<ledger::Machine>,
  path: Mutex<Path>,
  /// The revisions of the service and when each came into force in this run.
  changes: Mutex<VecDeque<(Revision, Instant)>>,
  running: Mutex<HashMap<u128, watch::Sender<Option<Outcome>>>>,
  service: RwLock<Option<(Revision, Arc<config::Service>)>>,
  table: RwLock<Option<Arc<Table>>>,
  tagger: RwLock<Option<Arc<Tagger>>>,
}

impl Shared {
  /// What the parts of an agent with these settings share.
  pub fn new(
    settings: settings::Agent,
    tunnel: Socket,
    handoffs: TcpListener,
    counter: Arc<Counter>,
  ) -> Arc<Self> {
    Arc::new(Self {
      avoided: Mutex::default(),
      budget: Mutex::default(),
      changes: Mutex::default(),
      counter,
      departing: AtomicBool::new(false),
      flows: AtomicU32::new(0),
      handoffs,
      incarnation: id::Incarnation(rand::random()),
      leaving: watch::Sender::new(false),
      ledger: Mutex::new(ledger::Machine::new(ledger::Settings::default())),
      path: Mutex::default(),
      queue: ArrayQueue::new(QUEUE),
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
      work: AtomicU64::new(0),
    })
  }

  /// Passes a peer over for a while.
  pub fn avoid(&self, peer: id::Target, time: Duration) {
    lock(&self.avoided).insert(peer, Instant::now() + time);
  }

  /// Whether a peer is passed over now.
  pub fn avoids(&self, peer: id::Target) -> bool {
    let until = lock(&self.avoided).get(&peer).copied();
    until.is_some_and(|until| Instant::now() < until)
  }

  /// What may be tried again.
  pub fn budget(&self) -> MutexGuard<'_, Budget> {
    lock(&self.budget)
  }

  /// The upstream is given work of a weight.
  pub fn count_work(&self, weight: u32) {
    self.work.fetch_add(weight.into(), Ordering::Relaxed);
  }

  /// All that may have been the key's home within the window, by the target sets known; this
  /// target among them where it was.
  pub fn earlier_homes(&self, key: u128) -> BTreeSet<id::Target> {
    let Some(table) = self.table() else {
      return BTreeSet::new();
    };
    table.first_candidates(home::rank_key(key), self.changed_within_window())
  }

  /// Decides over a request with a key, and makes the place where its answer is waited for.
  pub fn enter_key(&self, key: u128, event: Event) -> (Action, home::Waiters) {
    let mut ledger = self.ledger();
    let action = ledger.step(Instant::now(), event);
    let mut running = lock(&self.running);
    if action == Action::Run {
      running.insert(key, watch::Sender::new(None));
    }
    let waiters = match running.get(&key) {
      Some(sender) => sender.subscribe(),
      None => watch::Sender::new(Some(Outcome::Unknown)).subscribe(),
    };
    (action, waiters)
  }

  /// The request with a key has ended: those that wait for it are told.
  pub fn finish_key(&self, key: u128, outcome: Outcome) {
    let mut ledger = self.ledger();
    ledger.step(Instant::now(), Event::Finished(key, outcome.clone()));
    if let Some(sender) = lock(&self.running).remove(&key) {
      sender.send_replace(Some(outcome));
    }
  }

  /// Whether this run began within the repeat window, so that an earlier one may have run a key.
  pub fn has_just_started(&self) -> bool {
    self.started.elapsed() < self.window()
  }

  /// Whether nothing new is taken.
  pub fn is_leaving(&self) -> bool {
    *self.leaving.borrow()
  }

  /// The key's home, without those already tried.
  pub fn home(&self, key: u128, tried: &[id::Target]) -> Option<Hop> {
    home::find(self.table()?.as_ref(), key, tried)
  }

  /// What the keys of requests may do next.
  pub fn ledger(&self) -> MutexGuard<'_, ledger::Machine> {
    lock(&self.ledger)
  }

  /// The targets in force and those of earlier sets.
  pub fn table(&self) -> Option<Arc<Table>> {
    let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
    table.clone()
  }

  /// Takes a table into force.
  pub fn set_table(&self, table: Option<Arc<Table>>) {
    let mut held = self.table.write().unwrap_or_else(PoisonError::into_inner);
    let mut changes = lock(&self.changes);
    if let Some(table) = &table
      && changes
        .back()
        .is_none_or(|(revision, _)| *revision < table.revision())
    {
      changes.push_back((table.revision(), Instant::now()));
      if changes.len() > 2 * HISTORY_LIMIT {
        changes.pop_front();
      }
    }
    *held = table;
  }

  /// The oldest revision that was replaced within the repeat window; all where this run has not
  /// seen the whole window.
  fn changed_within_window(&self) -> Revision {
    if self.has_just_started() {
      return Revision::default();
    }
    let window = self.window();
    let changes = lock(&self.changes);
    let mut oldest = None;
    let mut replaced_at = None;
    for (revision, at) in changes.iter().rev() {
      let counts = replaced_at.is_none_or(|replaced: Instant| replaced.elapsed() < window);
      if !counts {
        break;
      }
      oldest = Some(*revision);
      replaced_at = Some(*at);
    }
    oldest.unwrap_or_default()
  }

  /// The upstream could not be given the work after all.
  pub fn uncount_work(&self, weight: u32) {
    self.work.fetch_sub(weight.into(), Ordering::Relaxed);
  }

  fn window(&self) -> Duration {
    let service = self.service();
    Duration::from_secs(service.map_or(600, |service| service.repeat_window_s))
  }

  /// How busy the target is, in 1/255.
  pub fn load(&self) -> u8 {
    let service = self.service();
    let target = service
      .as_ref()
      .and_then(|service| service.target(self.settings.target));
    let limit = target.map_or(1, |target| target.connections);
    let ramp = service.as_ref().map_or(0, |service| service.ramp_s);
    load::level(
      self.flows.load(Ordering::Relaxed),
      limit,
      self.started,
      Instant::now(),
      Duration::from_secs(ramp),
    )
  }

  /// Where answers leave.
  pub fn path(&self) -> MutexGuard<'_, Path> {
    lock(&self.path)
  }

  /// What the operator says of a request; the first route that fits counts. Where none does, the
  /// request may be a feed, and stays here as one.
  pub fn route(&self, method: &str, path: &str) -> Option<Route> {
    let service = self.service();
    let routes = service.as_ref().map_or(&[][..], |service| &service.routes);
    routes
      .iter()
      .find(|route| route.method == method && path.starts_with(&route.path))
      .cloned()
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
