use {
  super::{Observations, Snapshot, WorkerReport},
  crate::{
    Code,
    code::Fault,
    counter::Counter,
    id,
    net::{Batch, Outbox, Socket},
    routing::{self, Route},
    settings::bind_address,
    supervisor::Stop,
    wire::{Carry, Chain, Cid, Echo, Flow, Frame, HEADER_MAX, Packet, Probe, Return, Tagger},
  },
  crossbeam::channel::{Receiver, Sender},
  mio::{Events, Poll, Token},
  siphasher::sip::SipHasher13,
  std::{
    collections::HashMap,
    hash::Hasher,
    net::{IpAddr, SocketAddr},
    sync::{
      Arc,
      atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
  },
};

/// How often a worker sends a report and checks for a new snapshot.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The token of the tunnel socket; those of the services' sockets are higher.
const TUNNEL: Token = Token(0);

/// How many batches are read from a socket before the next socket is served.
const BURST_MAX: usize = 8;

/// The settings of a worker.
#[derive(Clone, Debug)]
pub struct Settings {
  /// The local IP address to bind, where it differs from the addresses of the tunnel and services.
  pub bind: Option<IpAddr>,
  /// Set during shutdown; probes aren't answered from then on.
  pub leaving: Arc<AtomicBool>,
  /// The worker's number, from 0, for its reports.
  pub number: usize,
  /// The address that agents send frames to (UDP).
  pub tunnel: SocketAddr,
}

/// The socket of a service's address.
struct Listener {
  service: id::Service,
  socket: Socket,
}

/// Forwards packets in its own thread through its own sockets.
pub struct Worker {
  batch: Batch,
  counter: Arc<Counter>,
  /// The services' sockets, by their tokens.
  listeners: HashMap<usize, Listener>,
  next_token: usize,
  observations: Observations,
  poll: Poll,
  report: WorkerReport,
  reports: Sender<WorkerReport>,
  settings: Settings,
  snapshot: Arc<Snapshot>,
  snapshots: Receiver<Arc<Snapshot>>,
  tunnel: Socket,
}

impl Worker {
  /// Binds the tunnel socket; the services' sockets follow with the first snapshot.
  pub fn new(
    settings: Settings,
    counter: Arc<Counter>,
    snapshots: Receiver<Arc<Snapshot>>,
    reports: Sender<WorkerReport>,
  ) -> Result<Self, Fault> {
    let poll = Poll::new().map_err(|error| Fault::new(Code::ChildFailed, error))?;
    let tunnel = Socket::bind(bind_address(settings.tunnel, settings.bind), true)?;
    tunnel
      .register(poll.registry(), TUNNEL)
      .map_err(|error| Fault::new(Code::ChildFailed, error))?;
    Ok(Self {
      batch: Batch::default(),
      counter,
      listeners: HashMap::new(),
      next_token: 1,
      observations: Observations::default(),
      poll,
      report: WorkerReport::default(),
      reports,
      settings,
      snapshot: Arc::default(),
      snapshots,
      tunnel,
    })
  }

  /// Forwards packets until the supervisor stops it. Fails if waiting for the sockets fails.
  pub fn run(&mut self, stop: &Stop) -> Result<(), Fault> {
    let mut events = Events::with_capacity(64);
    let mut ready: Vec<Token> = Vec::new();
    let mut reported = Instant::now();
    while !stop.is_set() {
      let timeout = if ready.is_empty() {
        POLL_INTERVAL
      } else {
        Duration::ZERO
      };
      if let Err(error) = self.poll.poll(&mut events, Some(timeout))
        && error.kind() != std::io::ErrorKind::Interrupted
      {
        return Err(Fault::new(Code::ChildFailed, error));
      }
      for event in &events {
        if !ready.contains(&event.token()) {
          ready.push(event.token());
        }
      }
      ready.retain(|token| self.serve(*token));
      if reported.elapsed() >= POLL_INTERVAL {
        reported = Instant::now();
        self.apply_snapshot();
        self.send_report();
      }
    }
    Ok(())
  }

  /// Reads up to [`BURST_MAX`] batches from a socket; true if there may be more.
  fn serve(&mut self, token: Token) -> bool {
    let mut batch = std::mem::take(&mut self.batch);
    let more = self.read_burst(token, &mut batch);
    self.batch = batch;
    more
  }

  fn read_burst(&mut self, token: Token, batch: &mut Batch) -> bool {
    for _ in 0..BURST_MAX {
      let socket = match self.listeners.get(&token.0) {
        Some(listener) => &listener.socket,
        None if token == TUNNEL => &self.tunnel,
        None => return false,
      };
      match socket.receive(batch) {
        Ok(true) => {}
        Ok(false) => return false,
        Err(_) => {
          self.counter.count(Code::SendFailed);
          return true;
        }
      }
      if token == TUNNEL {
        self.handle_frames(batch);
      } else {
        self.forward_packets(token.0, batch);
      }
    }
    true
  }

  /// Forwards callers' packets to the targets of a service.
  fn forward_packets(&mut self, token: usize, batch: &Batch) {
    let snapshot = Arc::clone(&self.snapshot);
    let Some(listener) = self.listeners.get(&token) else {
      return;
    };
    let service = listener.service;
    let (Some(tagger), Some((_, table))) = (&snapshot.tagger, snapshot.services.get(&service))
    else {
      self.counter.count(Code::NotReady);
      return;
    };
    let mut outbox = Outbox::default();
    for (caller, packet) in batch.datagrams() {
      self.report.packets_in += 1;
      if let Err(code) = self.forward(tagger, table, caller, packet, &mut outbox) {
        self.counter.count(code);
      }
    }
    self.flush(outbox);
  }

  fn forward<'a>(
    &mut self,
    tagger: &Tagger,
    table: &routing::Table,
    caller: SocketAddr,
    packet: &'a [u8],
    outbox: &mut Outbox<'a>,
  ) -> Result<(), Code> {
    let flow = classify(table.service(), packet, tagger)?;
    let carry = |hop: routing::Hop, chain, may_open| Carry {
      balancer: None,
      caller,
      chain,
      flow,
      hops: 0,
      redirects: 0,
      revision: table.revision(),
      service: table.service(),
      target: hop.target,
      may_open,
    };
    match routing::Machine::step(table, flow, &self.observations)? {
      Route::Chain {
        chain,
        copies,
        first,
        search,
      } => {
        for target in &chain {
          self.observations.note_sent((table.service(), *target));
        }
        for copy in copies {
          self.push_carry(
            tagger,
            copy,
            carry(copy, Chain::new(), search),
            packet,
            outbox,
          )?;
          if let Some(relay) = routing::Machine::relay(table, copy.target, caller.port().into()) {
            let chain = Chain::from_iter([copy.target]);
            self.push_carry(tagger, relay, carry(relay, chain, false), packet, outbox)?;
          }
        }
        self.push_carry(tagger, first, carry(first, chain, true), packet, outbox)
      }
      Route::Named(hop) | Route::Relay(hop) => {
        if let Some(relay) = routing::Machine::relay(table, hop.target, caller.port().into()) {
          self.counter.add("packets.relayed", 1);
          let carry = carry(relay, Chain::new(), false);
          self.push_carry(tagger, relay, carry, packet, outbox)?;
        }
        self.push_carry(tagger, hop, carry(hop, Chain::new(), false), packet, outbox)
      }
    }
  }

  fn push_carry<'a>(
    &mut self,
    tagger: &Tagger,
    hop: routing::Hop,
    carry: Carry,
    packet: &'a [u8],
    outbox: &mut Outbox<'a>,
  ) -> Result<(), Code> {
    self.observations.note_sent((carry.service, carry.target));
    let mut header = [0; HEADER_MAX];
    let length = Frame::Carry(carry).encode(packet.len(), tagger, &mut header)?;
    outbox.push(hop.address, header, length, packet);
    Ok(())
  }

  /// Processes frames from agents, and sends the answers among them to their callers.
  fn handle_frames(&mut self, batch: &Batch) {
    let snapshot = Arc::clone(&self.snapshot);
    let Some(tagger) = &snapshot.tagger else {
      self.counter.count(Code::NotReady);
      return;
    };
    let mut answers: HashMap<id::Service, Outbox> = HashMap::new();
    for (from, datagram) in batch.datagrams() {
      match Frame::decode(datagram, tagger) {
        Ok((Frame::Return(frame), packet)) => {
          self.push_answer(&frame, packet, &mut answers);
        }
        Ok((Frame::Echo(echo), _)) => {
          if let Some(target) = echo.target {
            self
              .observations
              .note_heard((echo.service, target), echo.load);
          }
        }
        Ok((Frame::Probe(probe), _)) => self.answer_probe(&snapshot, tagger, from, &probe),
        Ok((Frame::Refusal(refusal), _)) => {
          let code = refusal.code();
          self.counter.count(code);
          let member = (refusal.service, refusal.target);
          self.report.refused.push((member, code));
        }
        Ok((Frame::Carry(_) | Frame::Found(_), _)) => self.counter.count(Code::FrameWrongTarget),
        Err(code) => self.counter.count(code),
      }
    }
    for (service, mut outbox) in answers {
      let listener = self
        .listeners
        .values()
        .find(|listener| listener.service == service);
      let Some(listener) = listener else {
        self.counter.count(Code::FrameWrongService);
        continue;
      };
      for _ in 0..outbox.flush(&listener.socket) {
        self.counter.count(Code::SendFailed);
      }
    }
  }

  fn push_answer<'a>(
    &mut self,
    frame: &Return,
    packet: &'a [u8],
    answers: &mut HashMap<id::Service, Outbox<'a>>,
  ) {
    self.report.packets_out += 1;
    self
      .observations
      .note_heard((frame.service, frame.target), frame.load);
    let outbox = answers.entry(frame.service).or_default();
    outbox.push(frame.caller, [0; HEADER_MAX], 0, packet);
  }

  /// Answers an agent's probe if this balancer knows the service and isn't shutting down.
  fn answer_probe(&self, snapshot: &Snapshot, tagger: &Tagger, to: SocketAddr, probe: &Probe) {
    let leaving = self.settings.leaving.load(Ordering::Relaxed);
    if leaving || !snapshot.services.contains_key(&probe.service) {
      return;
    }
    let echo = Frame::Echo(Echo {
      load: 0,
      nonce: probe.nonce,
      revision: snapshot.revision(probe.service),
      service: probe.service,
      target: None,
    });
    let mut header = [0; HEADER_MAX];
    if let Ok(length) = echo.encode(0, tagger, &mut header) {
      self.counter.add("control.out.echo", length as u64);
      let _ = self.tunnel.send(to, &header[..length]);
    }
  }

  fn flush(&self, mut outbox: Outbox) {
    for _ in 0..outbox.flush(&self.tunnel) {
      self.counter.count(Code::SendFailed);
    }
  }

  /// Switches to the newest snapshot, if there is one: binds the sockets of its services and closes
  /// the others.
  fn apply_snapshot(&mut self) {
    let Some(snapshot) = self.snapshots.try_iter().last() else {
      return;
    };
    let outdated = self
      .listeners
      .iter()
      .filter(|(_, listener)| !self.is_current(&snapshot, listener))
      .map(|(token, _)| *token)
      .collect::<Vec<_>>();
    for token in outdated {
      if let Some(listener) = self.listeners.remove(&token) {
        let _ = listener.socket.deregister(self.poll.registry());
      }
    }
    for (service, (address, _)) in &snapshot.services {
      if !self
        .listeners
        .values()
        .any(|listener| listener.service == *service)
      {
        self.listen(*service, bind_address(*address, self.settings.bind));
      }
    }
    self.observations.retain(|(service, target)| {
      let table = snapshot.services.get(&service).map(|(_, table)| table);
      table.is_some_and(|table| table.get(target).is_some())
    });
    self.snapshot = snapshot;
  }

  /// Whether a listener's socket is bound to its service's address in the snapshot.
  fn is_current(&self, snapshot: &Snapshot, listener: &Listener) -> bool {
    let Some((address, _)) = snapshot.services.get(&listener.service) else {
      return false;
    };
    let expected = bind_address(*address, self.settings.bind);
    listener
      .socket
      .address()
      .is_ok_and(|address| address == expected)
  }

  /// Binds the socket of a service; a failure is logged, and the service stays without a socket.
  fn listen(&mut self, service: id::Service, address: SocketAddr) {
    let socket = match Socket::bind(address, true) {
      Ok(socket) => socket,
      Err(fault) => {
        self.counter.count(fault.code);
        log::error!("balancer: failed to bind the address of service {service}: {fault}.");
        return;
      }
    };
    let token = self.next_token;
    self.next_token += 1;
    if socket.register(self.poll.registry(), Token(token)).is_ok() {
      self.listeners.insert(token, Listener { service, socket });
    }
  }

  fn send_report(&mut self) {
    let (heard, sent) = self.observations.take();
    let report = WorkerReport {
      heard,
      sent,
      version: self.snapshot.version,
      worker: self.settings.number,
      ..std::mem::take(&mut self.report)
    };
    let _ = self.reports.try_send(report);
  }
}

/// The flow of a caller's packet: named by the connection ID if an agent of the service issued it,
/// and keyed by a hash of the connection ID otherwise.
fn classify(service: id::Service, packet: &[u8], tagger: &Tagger) -> Result<Flow, Code> {
  let packet = Packet::read(packet)?;
  if let Some(cid) = Cid::decode(packet.destination, service, tagger) {
    return Ok(Flow::Named {
      incarnation: cid.incarnation,
      target: cid.target,
    });
  }
  let mut hasher = SipHasher13::new_with_keys(0, service.0.into());
  hasher.write(packet.destination);
  Ok(Flow::Keyed {
    key: hasher.finish(),
    opens: packet.long,
  })
}
