use {
  super::{Shared, shared::Delivery},
  crate::{
    Code, Revision,
    code::Fault,
    config::{Presence, Role},
    flow::{self, Action, Event, Forward, Machine},
    net::{Batch, Outbox},
    peer::{ConfigView, Node},
    routing::{Health, Table},
    state::Registry,
    supervisor::Stop,
    wire::{Carry, Echo, Flow, Found, Frame, HEADER_MAX, Probe, Refusal, Tagger},
  },
  crossbeam::channel::Receiver,
  mio::{Events, Poll, Token},
  serde_json::json,
  std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
  },
};

/// The interval at which the thread applies new views and does periodic work.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The interval between updates of the state dump.
const DUMP_INTERVAL: Duration = Duration::from_millis(250);

/// The interval at which idle flows, callers and balancers are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// The maximum number of batches of frames that are handled before the periodic work is checked.
const BURST_MAX: usize = 32;

/// Handles the frames that arrive on the tunnel, in a thread of its own.
pub struct Tunnel {
  batch: Batch,
  registry: Registry,
  machine: Machine,
  node: Arc<Node>,
  nonce: u32,
  poll: Poll,
  last_dump: Instant,
  shared: Arc<Shared>,
  table: Option<Arc<Table>>,
  tagger: Option<Arc<Tagger>>,
  version: u64,
}

impl Tunnel {
  /// Creates the tunnel with the configuration in force. Fails when its socket cannot be polled or
  /// the keyring has an invalid secret.
  pub fn new(shared: Arc<Shared>, node: Arc<Node>, registry: Registry) -> Result<Self, Fault> {
    let failed = |error| Fault::new(Code::ChildFailed, error);
    let poll = Poll::new().map_err(failed)?;
    shared
      .tunnel
      .register(poll.registry(), Token(0))
      .map_err(failed)?;
    let settings = &shared.settings;
    let machine = Machine::new(
      settings.service,
      settings.target,
      shared.incarnation,
      flow::Settings::default(),
    );
    let view = node.view();
    let mut tunnel = Self {
      batch: Batch::default(),
      registry,
      machine,
      node,
      nonce: 0,
      poll,
      last_dump: Instant::now(),
      shared,
      table: None,
      tagger: None,
      version: 0,
    };
    tunnel.apply_view(&view)?;
    Ok(tunnel)
  }

  /// Handles frames until it is stopped.
  pub fn run(&mut self, views: &Receiver<Arc<ConfigView>>, stop: &Stop) -> Result<(), Fault> {
    let mut events = Events::with_capacity(8);
    let mut last_run = Instant::now();
    let mut last_expiry = Instant::now();
    let mut more = false;
    while !stop.is_set() {
      let wait = if more { Duration::ZERO } else { POLL_INTERVAL };
      if let Err(error) = self.poll.poll(&mut events, Some(wait))
        && error.kind() != std::io::ErrorKind::Interrupted
      {
        return Err(Fault::new(Code::ChildFailed, error));
      }
      more = self.receive_burst();
      if last_run.elapsed() < POLL_INTERVAL {
        continue;
      }
      last_run = Instant::now();
      if let Some(view) = views.try_iter().last() {
        self.apply_view(&view)?;
      }
      self.run_due();
      if last_expiry.elapsed() >= EXPIRY_INTERVAL {
        last_expiry = Instant::now();
        self.machine.expire(last_expiry);
        self.shared.path().expire(last_expiry);
      }
    }
    let _ = self.shared.tunnel.deregister(self.poll.registry());
    Ok(())
  }

  /// Handles up to `BURST_MAX` batches; returns whether more may be waiting.
  fn receive_burst(&mut self) -> bool {
    let mut batch = std::mem::take(&mut self.batch);
    let mut more = true;
    for _ in 0..BURST_MAX {
      match self.shared.tunnel.receive(&mut batch) {
        Ok(true) => self.handle_batch(&batch),
        Ok(false) => {
          more = false;
          break;
        }
        Err(_) => self.shared.counter.count(Code::SendFailed),
      }
    }
    self.batch = batch;
    more
  }

  fn handle_batch(&mut self, batch: &Batch) {
    let Some(tagger) = self.tagger.clone() else {
      self.shared.counter.count(Code::NotReady);
      return;
    };
    let now = Instant::now();
    let mut outbox = Outbox::default();
    for (from, datagram) in batch.datagrams() {
      match Frame::decode(datagram, &tagger) {
        Ok((Frame::Carry(carry), packet)) => {
          self.handle_packet(now, &tagger, from, &carry, packet, &mut outbox);
        }
        Ok((Frame::Echo(echo), _)) => {
          self.shared.path().note_heard(now, from);
          self.check_revision(echo.revision);
        }
        Ok((Frame::Found(found), _)) => {
          let event = Event::Found {
            key: found.key,
            target: found.target,
          };
          self.machine.step(now, self.table.as_deref(), event);
        }
        Ok((Frame::Probe(probe), _)) => self.answer_probe(&tagger, from, &probe),
        Ok((Frame::Refusal(refusal), _)) => {
          let code = refusal.code();
          self.shared.counter.count(code);
        }
        Ok((Frame::Return(_), _)) => self.shared.counter.count(Code::FrameWrongTarget),
        Err(code) => self.shared.counter.count(code),
      }
    }
    for _ in 0..outbox.flush(&self.shared.tunnel) {
      self.shared.counter.count(Code::SendFailed);
    }
    self.shared.waker.wake();
  }

  /// Delivers, forwards or refuses a caller's packet.
  fn handle_packet<'a>(
    &mut self,
    now: Instant,
    tagger: &Tagger,
    from: SocketAddr,
    carry: &Carry,
    packet: &'a [u8],
    outbox: &mut Outbox<'a>,
  ) {
    let balancer = carry.balancer.unwrap_or(from);
    let event = Event::Carry {
      carry,
      flows: self.shared.flows.load(Ordering::Relaxed),
    };
    let Some(action) = self.machine.step(now, self.table.as_deref(), event) else {
      return;
    };
    if carry.service == self.shared.settings.service {
      self.check_revision(carry.revision);
    }
    match action {
      Action::Deliver | Action::Open | Action::Reset => {
        if action == Action::Reset {
          self.shared.counter.count(Code::FrameWrongIncarnation);
        }
        let direct = carry.hops == 0;
        self
          .shared
          .path()
          .note_packet(now, carry.caller, balancer, direct);
        if let (Action::Open, Flow::Keyed { key, .. }) = (action, carry.flow) {
          log::debug!(
            "agent: opening flow {key:016x} of {}; it came through balancer {balancer}.",
            carry.caller
          );
        }
        self.send_found(tagger, from, carry);
        self.queue_packet(carry.caller, packet);
      }
      Action::Forward(pass) => self.forward(tagger, balancer, carry, pass, packet, outbox),
      Action::Search(others) => {
        for to in others {
          self.forward(tagger, balancer, carry, Forward::to(to), packet, outbox);
        }
      }
      Action::Refuse(code) => {
        self.refuse(tagger, balancer, carry, code);
        if matches!(code, Code::TargetFull | Code::TargetLeaving) && carry.may_open {
          self.reject(now, balancer, carry, packet);
        }
      }
      Action::Skip => {}
    }
  }

  /// Queues a packet for the transport, or drops it if the queue is full.
  fn queue_packet(&self, caller: SocketAddr, packet: &[u8]) {
    let delivery = Delivery {
      caller,
      packet: packet.to_vec(),
    };
    if self.shared.queue.push(delivery).is_err() {
      self.shared.counter.count(Code::QueueFull);
    }
  }

  /// Forwards a packet to another target's agent.
  fn forward<'a>(
    &self,
    tagger: &Tagger,
    balancer: SocketAddr,
    carry: &Carry,
    pass: Forward,
    packet: &'a [u8],
    outbox: &mut Outbox<'a>,
  ) {
    let frame = Frame::Carry(Carry {
      balancer: Some(balancer),
      caller: carry.caller,
      chain: pass.chain,
      flow: carry.flow,
      hops: carry.hops.saturating_add(1),
      redirects: pass.redirects,
      revision: self.revision(),
      service: carry.service,
      target: pass.to.target,
      may_open: pass.may_open,
    });
    let mut header = [0; HEADER_MAX];
    match frame.encode(packet.len(), tagger, &mut header) {
      Ok(length) => outbox.push(pass.to.address, header, length, packet),
      Err(code) => self.shared.counter.count(code),
    }
  }

  /// Counts a refused packet and sends the reason to the balancer that it came through.
  fn refuse(&self, tagger: &Tagger, to: SocketAddr, carry: &Carry, code: Code) {
    self.shared.counter.count(code);
    let refusal = Frame::Refusal(Refusal {
      code: code.number(),
      revision: self.revision(),
      service: carry.service,
      target: carry.target,
    });
    self.send_frame(tagger, to, &refusal);
  }

  /// Lets the transport refuse a new flow that no target opens, so that its caller is told at once.
  fn reject(&self, now: Instant, balancer: SocketAddr, carry: &Carry, packet: &[u8]) {
    // The transport would open the flow otherwise.
    if self.shared.accepts_flows() {
      return;
    }
    log::debug!("agent: rejecting a flow of {}.", carry.caller);
    let direct = carry.hops == 0;
    self
      .shared
      .path()
      .note_packet(now, carry.caller, balancer, direct);
    self.queue_packet(carry.caller, packet);
  }

  /// Notifies the agent from which a forwarded packet came that this target has the packet's flow.
  fn send_found(&self, tagger: &Tagger, to: SocketAddr, carry: &Carry) {
    let Flow::Keyed { key, .. } = carry.flow else {
      return;
    };
    if carry.hops == 0 {
      return;
    }
    let found = Frame::Found(Found {
      key,
      service: carry.service,
      target: carry.target,
    });
    self.send_frame(tagger, to, &found);
  }

  /// Answers a probe of this target with an echo, or with a refusal while the target is leaving.
  fn answer_probe(&self, tagger: &Tagger, to: SocketAddr, probe: &Probe) {
    let settings = &self.shared.settings;
    if probe.service != settings.service {
      self.shared.counter.count(Code::FrameWrongService);
      return;
    }
    if probe.target != Some(settings.target) {
      self.shared.counter.count(Code::FrameWrongTarget);
      return;
    }
    if self.machine.is_leaving() {
      let refusal = Frame::Refusal(Refusal {
        code: Code::TargetLeaving.number(),
        revision: self.revision(),
        service: settings.service,
        target: settings.target,
      });
      self.send_frame(tagger, to, &refusal);
      return;
    }
    let echo = Frame::Echo(Echo {
      load: self.shared.load(),
      nonce: probe.nonce,
      revision: self.revision(),
      service: settings.service,
      target: Some(settings.target),
    });
    self.send_frame(tagger, to, &echo);
  }

  fn send_frame(&self, tagger: &Tagger, to: SocketAddr, frame: &Frame) {
    let mut header = [0; HEADER_MAX];
    if let Ok(length) = frame.encode(0, tagger, &mut header) {
      self.shared.counter.add("control.out.frame", length as u64);
      let _ = self.shared.tunnel.send(to, &header[..length]);
    }
  }

  /// Requests the configuration from a peer if a frame has a newer revision.
  fn check_revision(&self, revision: Revision) {
    if revision > self.revision() {
      self.node.request_sync();
    }
  }

  fn revision(&self) -> Revision {
    self
      .table
      .as_deref()
      .map_or(Revision::default(), Table::revision)
  }

  /// Does the periodic work: updates whether the target is leaving, probes balancers, and updates
  /// the state dump.
  fn run_due(&mut self) {
    let leaving = self.is_leaving();
    let leaving_changed = leaving != self.machine.is_leaving();
    if leaving_changed {
      log::info!("agent: the target's leaving state is now {leaving}.");
      self.shared.leaving.send_replace(leaving);
      let now = Instant::now();
      self
        .machine
        .step(now, self.table.as_deref(), Event::Leaving(leaving));
    }
    self.probe_balancers();
    if self.last_dump.elapsed() >= DUMP_INTERVAL || leaving_changed {
      self.last_dump = Instant::now();
      self.publish_state();
    }
  }

  /// Whether the process is stopping, or the service marks the target as leaving or does not list
  /// it.
  fn is_leaving(&self) -> bool {
    let leaves_service = self.shared.service().is_some_and(|service| {
      service
        .target(self.shared.settings.target)
        .is_none_or(|target| target.leaving)
    });
    leaves_service || self.shared.stopping.load(Ordering::Relaxed)
  }

  /// Probes the listed balancers that have not answered for a while.
  fn probe_balancers(&mut self) {
    let Some(tagger) = self.tagger.clone() else {
      return;
    };
    let unresponsive = self.shared.path().take_due_probes(Instant::now());
    for balancer in unresponsive {
      self.nonce = self.nonce.wrapping_add(1);
      let probe = Frame::Probe(Probe {
        nonce: self.nonce,
        revision: self.revision(),
        service: self.shared.settings.service,
        target: None,
      });
      self.send_frame(&tagger, balancer, &probe);
    }
  }

  /// Puts a new configuration in force for all threads. Fails when the keyring has an invalid
  /// secret.
  fn apply_view(&mut self, view: &ConfigView) -> Result<(), Fault> {
    let settings = &self.shared.settings;
    let balancers = view
      .instances
      .iter()
      .filter(|instance| instance.role == Role::Balancer && instance.presence == Presence::Live)
      .map(|instance| instance.tunnel)
      .collect::<Vec<_>>();
    self.shared.path().set_listed(Instant::now(), &balancers);
    let own = view.service(settings.service);
    self.table = own.map(|entry| {
      Arc::new(Table::new(
        entry.revision,
        &entry.service,
        &entry.history,
        usize::MAX,
        |target| {
          if target.leaving {
            Health::Leaving
          } else {
            Health::Live
          }
        },
      ))
    });
    let service = own.map(|entry| (entry.revision, Arc::new(entry.service.clone())));
    if let Some((_, service)) = &service {
      let window = Duration::from_secs(service.repeat_window_s);
      self.shared.ledger().set_window(window);
      let own = service.target(settings.target);
      self
        .shared
        .slots
        .set_count(own.map_or(1, |target| target.slots) as usize);
    }
    self.shared.set_service(service);
    self.shared.set_table(self.table.clone());
    let tagger = view.keyring.as_ref().map(Tagger::new).transpose()?;
    self.tagger = tagger.map(Arc::new);
    self.shared.set_tagger(self.tagger.clone());
    self.version = view.version;
    Ok(())
  }

  fn publish_state(&self) {
    let (owned, passed) = self.machine.key_counts();
    let (callers, balancers) = self.shared.path().len();
    let (running, waiting) = self.shared.slots.size();
    let serving = self.table.is_some() && self.shared.serving.load(Ordering::Relaxed);
    let (keys, key_bytes) = self.shared.ledger().size();
    self.registry.set(
      "path",
      json!({
        "balancers": balancers,
        "callers": callers,
        "flows": self.shared.flows.load(Ordering::Relaxed),
        "incarnation": self.shared.incarnation,
        "key_bytes": key_bytes,
        "keys": keys,
        "leaving": self.machine.is_leaving(),
        "owned": owned,
        "passed": passed,
        "requests": self.shared.requests.load(Ordering::Relaxed),
        "revision": self.revision(),
        "running": running,
        "waiting": waiting,
        "work": self.shared.sent_weight.load(Ordering::Relaxed),
        "version": Some(self.version).filter(|_| serving),
      }),
    );
    self
      .registry
      .set("counters", json!(self.shared.counter.snapshot()));
  }
}
