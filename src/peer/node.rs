use {
  super::{Client, Event, Machine, Message, View},
  crate::{Code, counter::Counter, settings::bound, state::Registry},
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

/// The machine in a process: it answers peers, sends to them, and tells the other parts of what
/// comes into force.
#[derive(Debug)]
pub struct Node {
  address: SocketAddr,
  bind: Option<IpAddr>,
  registry: Registry,
  client: Client,
  counter: Arc<Counter>,
  machine: Mutex<Machine>,
  nudged: AtomicBool,
  views: Sender<Arc<View>>,
}

impl Node {
  /// A node that sends each new view to `views`, whose receiver keeps up.
  pub fn new(
    address: SocketAddr,
    bind: Option<IpAddr>,
    machine: Machine,
    counter: Arc<Counter>,
    registry: Registry,
    views: Sender<Arc<View>>,
  ) -> Arc<Self> {
    Arc::new(Self {
      address,
      bind,
      registry,
      client: Client::new(bind),
      counter,
      machine: Mutex::new(machine),
      nudged: AtomicBool::new(false),
      views,
    })
  }

  /// Where peers reach it.
  pub fn address(&self) -> SocketAddr {
    self.address
  }

  /// The address that its socket binds.
  pub fn bound(&self) -> SocketAddr {
    bound(self.address, self.bind)
  }

  /// Takes a peer's message; what is for that peer is returned, what is for others is sent.
  pub fn answer(self: &Arc<Self>, from: SocketAddr, message: Message) -> Vec<Message> {
    self.received(&message);
    let outgoing = self.step(Event::Received(from, message));
    let (answers, others): (Vec<_>, Vec<_>) = outgoing.into_iter().partition(|(to, _)| *to == from);
    for (to, message) in others {
      self.send(to, message);
    }
    let answers = answers.into_iter().map(|(_, message)| message);
    answers.inspect(|message| self.sent(message)).collect()
  }

  /// The state dump.
  pub fn registry(&self) -> &Registry {
    &self.registry
  }

  /// The counts.
  pub fn counter(&self) -> &Counter {
    &self.counter
  }

  /// Looks at the machine.
  pub fn machine(&self) -> MutexGuard<'_, Machine> {
    self.machine.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// A frame has shown that a peer knows something newer.
  pub fn nudge(&self) {
    self.nudged.store(true, Ordering::Relaxed);
  }

  /// Whether `nudge` was called since this was.
  pub fn take_nudge(&self) -> bool {
    self.nudged.swap(false, Ordering::Relaxed)
  }

  /// Lets the machine ask a peer what is new.
  pub fn tick(self: &Arc<Self>) {
    for (to, message) in self.step(Event::Tick) {
      let node = Arc::clone(self);
      tokio::spawn(async move {
        let Some(answers) = node.call(to, message.clone()).await else {
          node.drive(Event::Failed(to, message));
          return;
        };
        node.machine().heard(Instant::now());
        node.taken(to, answers);
      });
    }
  }

  /// Sends a message in a task of its own, so that one peer never holds up another, and goes on
  /// with what it says in return. News that fails goes to another peer, once.
  pub fn send(self: &Arc<Self>, to: SocketAddr, message: Message) {
    let node = Arc::clone(self);
    tokio::spawn(async move {
      if let Some(answers) = node.call(to, message.clone()).await {
        return node.taken(to, answers);
      }
      for (other, message) in node.step(Event::Failed(to, message)) {
        if let Some(answers) = node.call(other, message).await {
          node.taken(other, answers);
        }
      }
    });
  }

  /// Sends a message and waits for the answers; none when the peer cannot be reached.
  pub async fn call(&self, to: SocketAddr, message: Message) -> Option<Vec<Message>> {
    self.sent(&message);
    match self.client.exchange(self.address, to, message).await {
      Ok(answers) => Some(answers),
      Err(fault) => {
        self.counter.count(Code::PeerUnreachable);
        log::debug!("peer: {fault}.");
        None
      }
    }
  }

  /// Takes what a peer said in return.
  pub fn taken(self: &Arc<Self>, from: SocketAddr, answers: Vec<Message>) {
    for answer in answers {
      self.received(&answer);
      for (to, message) in self.step(Event::Received(from, answer)) {
        self.send(to, message);
      }
    }
  }

  /// Takes an event and sends what the machine says.
  pub fn drive(self: &Arc<Self>, event: Event) {
    for (to, message) in self.step(event) {
      self.send(to, message);
    }
  }

  /// What is in force.
  pub fn view(&self) -> Arc<View> {
    let machine = self.machine();
    Arc::new(View::new(machine.store(), machine.version()))
  }

  fn step(&self, event: Event) -> Vec<(SocketAddr, Message)> {
    let mut machine = self.machine();
    let before = machine.version();
    let outgoing = machine.step(Instant::now(), event);
    if machine.version() != before {
      let view = Arc::new(View::new(machine.store(), machine.version()));
      self.post(&machine, &view);
      let _ = self.views.send(view);
    }
    outgoing
  }

  fn post(&self, machine: &Machine, view: &View) {
    let store = machine.store();
    let services = view.services.iter().map(|seen| {
      json!({
        "generation": seen.service.generation,
        "history": seen.history.len(),
        "id": seen.service.id,
        "name": seen.service.name,
        "revision": seen.revision,
        "targets": seen.service.targets.iter().map(|target| target.id).collect::<Vec<_>>(),
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

  fn received(&self, message: &Message) {
    let name = format!("control.in.{}", message.kind());
    self.counter.add(&name, message.size() as u64);
  }

  fn sent(&self, message: &Message) {
    let name = format!("control.out.{}", message.kind());
    self.counter.add(&name, message.size() as u64);
  }
}
