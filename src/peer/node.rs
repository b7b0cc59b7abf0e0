use {
  super::{Client, ConfigView, Event, Machine, Message},
  crate::{Code, counter::Counter, settings::bind_address, state::Registry},
  crossbeam::channel::Sender,
  serde_json::json,
  std::{
    net::{IpAddr, SocketAddr},
    sync::{
      Arc, Mutex, MutexGuard, PoisonError,
      atomic::{AtomicBool, Ordering},
    },
    time::Instant,
  },
};

/// Runs the replication machine in a process: exchanges messages with peers, and sends the other
/// parts a view of each new configuration.
#[derive(Debug)]
pub struct Node {
  address: SocketAddr,
  bind: Option<IpAddr>,
  registry: Registry,
  client: Client,
  counter: Arc<Counter>,
  machine: Mutex<Machine>,
  sync_requested: AtomicBool,
  views: Sender<Arc<ConfigView>>,
}

impl Node {
  /// Creates a node that sends each new view to `views`. Sending must not block, since the machine
  /// is locked meanwhile.
  pub fn new(
    address: SocketAddr,
    bind: Option<IpAddr>,
    machine: Machine,
    counter: Arc<Counter>,
    registry: Registry,
    views: Sender<Arc<ConfigView>>,
  ) -> Arc<Self> {
    Arc::new(Self {
      address,
      bind,
      registry,
      client: Client::new(bind),
      counter,
      machine: Mutex::new(machine),
      sync_requested: AtomicBool::new(false),
      views,
    })
  }

  /// The address at which peers reach this process.
  pub fn address(&self) -> SocketAddr {
    self.address
  }

  /// The address to which the listening socket is bound.
  pub fn bind_address(&self) -> SocketAddr {
    bind_address(self.address, self.bind)
  }

  /// Handles a peer's message: returns the answers to that peer and sends messages to others in the
  /// background.
  pub fn answer(self: &Arc<Self>, from: SocketAddr, message: Message) -> Vec<Message> {
    self.count_received(&message);
    let outgoing = self.step(Event::Received(from, message));
    let (answers, others): (Vec<_>, Vec<_>) = outgoing.into_iter().partition(|(to, _)| *to == from);
    for (to, message) in others {
      self.send(to, message);
    }
    let answers = answers.into_iter().map(|(_, message)| message);
    answers
      .inspect(|message| self.count_sent(message))
      .collect()
  }

  /// The registry of the state dump.
  pub fn registry(&self) -> &Registry {
    &self.registry
  }

  /// The counters of this process.
  pub fn counter(&self) -> &Counter {
    &self.counter
  }

  /// Locks the machine.
  pub fn machine(&self) -> MutexGuard<'_, Machine> {
    self.machine.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Makes the control thread start an exchange with a peer soon, instead of after the interval.
  pub fn request_sync(&self) {
    self.sync_requested.store(true, Ordering::Relaxed);
  }

  /// Returns whether `request_sync` was called, and clears the request.
  pub fn take_sync_request(&self) -> bool {
    self.sync_requested.swap(false, Ordering::Relaxed)
  }

  /// Starts an exchange with a random peer, in the background.
  pub fn sync(self: &Arc<Self>) {
    for (to, message) in self.step(Event::Tick) {
      let node = Arc::clone(self);
      tokio::spawn(async move {
        let Some(answers) = node.call(to, message.clone()).await else {
          node.dispatch(Event::Failed(to, message));
          return;
        };
        node.machine().note_heard(Instant::now());
        node.process_answers(to, answers);
      });
    }
  }

  /// Sends a message in a task of its own, so that a slow peer delays no other, and processes the
  /// answers. An undeliverable offer is sent to one other peer, without further retries.
  pub fn send(self: &Arc<Self>, to: SocketAddr, message: Message) {
    let node = Arc::clone(self);
    tokio::spawn(async move {
      if let Some(answers) = node.call(to, message.clone()).await {
        return node.process_answers(to, answers);
      }
      for (other, message) in node.step(Event::Failed(to, message)) {
        if let Some(answers) = node.call(other, message).await {
          node.process_answers(other, answers);
        }
      }
    });
  }

  /// Sends a message and returns the answers; none when the peer cannot be reached, which is
  /// counted and logged.
  pub async fn call(&self, to: SocketAddr, message: Message) -> Option<Vec<Message>> {
    self.count_sent(&message);
    match self.client.exchange(self.address, to, message).await {
      Ok(answers) => Some(answers),
      Err(fault) => {
        self.counter.count(Code::PeerUnreachable);
        log::debug!("peer: {fault}.");
        None
      }
    }
  }

  /// Feeds the answers of a peer to the machine and sends the messages that result.
  pub fn process_answers(self: &Arc<Self>, from: SocketAddr, answers: Vec<Message>) {
    for answer in answers {
      self.count_received(&answer);
      for (to, message) in self.step(Event::Received(from, answer)) {
        self.send(to, message);
      }
    }
  }

  /// Feeds an event to the machine and sends the messages that result.
  pub fn dispatch(self: &Arc<Self>, event: Event) {
    for (to, message) in self.step(event) {
      self.send(to, message);
    }
  }

  /// A snapshot of the configuration in force.
  pub fn view(&self) -> Arc<ConfigView> {
    let machine = self.machine();
    Arc::new(ConfigView::new(machine.store(), machine.version()))
  }

  fn step(&self, event: Event) -> Vec<(SocketAddr, Message)> {
    let mut machine = self.machine();
    let before = machine.version();
    let outgoing = machine.step(Instant::now(), event);
    if machine.version() != before {
      let view = Arc::new(ConfigView::new(machine.store(), machine.version()));
      self.publish_state(&machine, &view);
      let _ = self.views.send(view);
    }
    outgoing
  }

  fn publish_state(&self, machine: &Machine, view: &ConfigView) {
    let store = machine.store();
    let services = view.services.iter().map(|entry| {
      json!({
        "generation": entry.service.generation,
        "history": entry.history.len(),
        "id": entry.service.id,
        "name": entry.service.name,
        "revision": entry.revision,
        "targets": entry.service.targets.iter().map(|target| target.id).collect::<Vec<_>>(),
      })
    });
    self.registry.set(
      "config",
      json!({
        "instances": view.instances.len(),
        "keys": store.len(),
        "keyring": store.keyring().map(|keyring| {
          json!({ "current": keyring.current, "secrets": keyring.secrets.len() })
        }),
        "reversions": store.reversions(),
        "root": store.digest().root(),
        "services": services.collect::<Vec<_>>(),
        "version": view.version,
      }),
    );
  }

  fn count_received(&self, message: &Message) {
    let name = format!("control.in.{}", message.kind());
    self.counter.add(&name, message.size() as u64);
  }

  fn count_sent(&self, message: &Message) {
    let name = format!("control.out.{}", message.kind());
    self.counter.add(&name, message.size() as u64);
  }
}
