use {
  super::{Observations, Report, Snapshot},
  crate::{
    Code,
    code::Fault,
    counter::Counter,
    id,
    net::{Batch, Outbox, Socket},
    routing::{self, Route},
    settings::bound,
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

/// How often a worker reports and looks for a new snapshot.
const STEP: Duration = Duration::from_millis(50);

/// The token of the tunnel's socket; those of the services follow.
const TUNNEL: Token = Token(0);

/// How many batches of one socket are taken before the others have their turn.
const TURN: usize = 8;

/// What a worker is given.
#[derive(Clone, Debug)]
pub struct Settings {
  /// The IP number that its sockets bind.
  pub bind: Option<IpAddr>,
  /// Set while the process leaves: probes are not answered then.
  pub leaving: Arc<AtomicBool>,
  /// The worker's number.
  pub number: usize,
  /// Where frames reach the process.
  pub tunnel: SocketAddr,
}

struct Entry {
  service: id::Service,
  socket: Socket,
}

/// Carries packets in a thread of its own, with sockets of its own.
pub struct Worker {
  batch: Batch,
  counter: Arc<Counter>,
  entries: HashMap<usize, Entry>,
  next_token: usize,
  observations: Observations,
  poll: Poll,
  report: Report,
  reports: Sender<Report>,
  settings: Settings,
  snapshot: Arc<Snapshot>,
  snapshots: Receiver<Arc<Snapshot>>,
  tunnel: Socket,
}

impl Worker {
  /// Binds the worker's tunnel socket.
  pub fn new(
    settings: Settings,
    counter: Arc<Counter>,
    snapshots: Receiver<Arc<Snapshot>>,
    reports: Sender<Report>,
  ) -> Result<Self, Fault> {
    let poll = Poll::new().map_err(|error| Fault::new(Code::ChildFailed, error))?;
    let tunnel = Socket::bind(bound(settings.tunnel, settings.bind), true)?;
    tunnel
      .register(poll.registry(), TUNNEL)
      .map_err(|error| Fault::new(Code::ChildFailed, error))?;
    Ok(Self {
      batch: Batch::default(),
      counter,
      entries: HashMap::new(),
      next_token: 1,
      observations: Observations::default(),
      poll,
      report: Report::default(),
      reports,
      settings,
      snapshot: Arc::default(),
      snapshots,
      tunnel,
    })
  }

  /// Carries packets until it is told to stop.
  pub fn run(&mut self, stop: &Stop) -> Result<(), Fault> {
    let mut events = Events::with_capacity(64);
    let mut ready: Vec<Token> = Vec::new();
    let mut reported = Instant::now();
    while !stop.is_set() {
      let wait = if ready.is_empty() {
        STEP
      } else {
        Duration::ZERO
      };
      if let Err(error) = self.poll.poll(&mut events, Some(wait))
        && error.kind() != std::io::ErrorKind::Interrupted
      {
        return Err(Fault::new(Code::ChildFailed, error));
      }
      for event in &events {
        if !ready.contains(&event.token()) {
          ready.push(event.token());
        }
      }
      ready.retain(|token| self.take_turn(*token));
      if reported.elapsed() >= STEP {
        reported = Instant::now();
        self.update();
        self.send_report();
      }
    }
    Ok(())
  }

  /// Handles some batches of one socket; true when more may wait.
  fn take_turn(&mut self, token: Token) -> bool {
    let mut batch = std::mem::take(&mut self.batch);
    let more = self.drain(token, &mut batch);
    self.batch = batch;
    more
  }

  fn drain(&mut self, token: Token, batch: &mut Batch) -> bool {
    for _ in 0..TURN {
      let socket = match self.entries.get(&token.0) {
        Some(entry) => &entry.socket,
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
        self.take_frames(batch);
      } else {
        self.take_packets(token.0, batch);
      }
    }
    true
  }

  fn take_packets(&mut self, token: usize, batch: &Batch) {
    let snapshot = Arc::clone(&self.snapshot);
    let Some(entry) = self.entries.get(&token) else {
      return;
    };
    let service = entry.service;
    let (Some(tagger), Some((_, table))) = (&snapshot.tagger, snapshot.services.get(&service))
    else {
      self.counter.count(Code::NotReady);
      return;
    };
    let mut outbox = Outbox::default();
    for (caller, packet) in batch.datagrams() {
      self.report.packets_in += 1;
      if let Err(code) = self.carry(tagger, table, caller, packet, &mut outbox) {
        self.counter.count(code);
      }
    }
    self.flush(outbox);
  }

  fn carry<'a>(
    &mut self,
    tagger: &Tagger,
    table: &routing::Table,
    caller: SocketAddr,
    packet: &'a [u8],
    outbox: &mut Outbox<'a>,
  ) -> Result<(), Code> {
    let flow = classify(table.service(), packet, tagger)?;
    let carry = |hop: routing::Hop, chain, whole| Carry {
      balancer: None,
      caller,
      chain,
      flow,
      hops: 0,
      redirects: 0,
      revision: table.revision(),
      service: table.service(),
      target: hop.target,
      whole,
    };
    match routing::Machine::step(table, flow, &self.observations)? {
      Route::Chain {
        chain,
        copies,
        first,
        search,
      } => {
        for target in &chain {
          self.observations.sent((table.service(), *target));
        }
        for copy in copies {
          self.post(
            tagger,
            copy,
            carry(copy, Chain::new(), search),
            packet,
            outbox,
          )?;
        }
        self.post(tagger, first, carry(first, chain, true), packet, outbox)
      }
      Route::Named(hop) | Route::Relay(hop) => {
        self.post(tagger, hop, carry(hop, Chain::new(), false), packet, outbox)
      }
    }
  }

  fn post<'a>(
    &mut self,
    tagger: &Tagger,
    hop: routing::Hop,
    carry: Carry,
    packet: &'a [u8],
    outbox: &mut Outbox<'a>,
  ) -> Result<(), Code> {
    self.observations.sent((carry.service, carry.target));
    let mut header = [0; HEADER_MAX];
    let length = Frame::Carry(carry).encode(packet.len(), tagger, &mut header)?;
    outbox.push(hop.address, header, length, packet);
    Ok(())
  }

  fn take_frames(&mut self, batch: &Batch) {
    let snapshot = Arc::clone(&self.snapshot);
    let Some(tagger) = &snapshot.tagger else {
      self.counter.count(Code::NotReady);
      return;
    };
    let mut answers: HashMap<id::Service, Outbox> = HashMap::new();
    for (from, datagram) in batch.datagrams() {
      match Frame::decode(datagram, tagger) {
        Ok((Frame::Return(frame), packet)) => {
          self.give_back(&frame, packet, &mut answers);
        }
        Ok((Frame::Echo(echo), _)) => {
          if let Some(target) = echo.target {
            self.observations.heard((echo.service, target), echo.load);
          }
        }
        Ok((Frame::Probe(probe), _)) => self.echo(&snapshot, tagger, from, &probe),
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
      let entry = self.entries.values().find(|entry| entry.service == service);
      let Some(entry) = entry else {
        self.counter.count(Code::FrameWrongService);
        continue;
      };
      for _ in 0..outbox.flush(&entry.socket) {
        self.counter.count(Code::SendFailed);
      }
    }
  }

  fn give_back<'a>(
    &mut self,
    frame: &Return,
    packet: &'a [u8],
    answers: &mut HashMap<id::Service, Outbox<'a>>,
  ) {
    self.report.packets_out += 1;
    self
      .observations
      .heard((frame.service, frame.target), frame.load);
    let outbox = answers.entry(frame.service).or_default();
    outbox.push(frame.caller, [0; HEADER_MAX], 0, packet);
  }

  /// Tells an agent that this balancer carries its answers; one that leaves keeps silent.
  fn echo(&self, snapshot: &Snapshot, tagger: &Tagger, to: SocketAddr, probe: &Probe) {
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

  /// Takes the newest snapshot, and binds and closes the services' sockets as it says.
  fn update(&mut self) {
    let Some(snapshot) = self.snapshots.try_iter().last() else {
      return;
    };
    let gone = self
      .entries
      .iter()
      .filter(|(_, entry)| !self.serves(&snapshot, entry))
      .map(|(token, _)| *token)
      .collect::<Vec<_>>();
    for token in gone {
      if let Some(entry) = self.entries.remove(&token) {
        let _ = entry.socket.deregister(self.poll.registry());
      }
    }
    for (service, (address, _)) in &snapshot.services {
      if !self.entries.values().any(|entry| entry.service == *service) {
        self.open(*service, bound(*address, self.settings.bind));
      }
    }
    self.observations.retain(|(service, target)| {
      let table = snapshot.services.get(&service).map(|(_, table)| table);
      table.is_some_and(|table| table.get(target).is_some())
    });
    self.snapshot = snapshot;
  }

  fn serves(&self, snapshot: &Snapshot, entry: &Entry) -> bool {
    let Some((address, _)) = snapshot.services.get(&entry.service) else {
      return false;
    };
    let wanted = bound(*address, self.settings.bind);
    entry
      .socket
      .address()
      .is_ok_and(|address| address == wanted)
  }

  fn open(&mut self, service: id::Service, address: SocketAddr) {
    let socket = match Socket::bind(address, true) {
      Ok(socket) => socket,
      Err(fault) => {
        self.counter.count(fault.code);
        log::error!("balancer: service {service} is not served: {fault}.");
        return;
      }
    };
    let token = self.next_token;
    self.next_token += 1;
    if socket.register(self.poll.registry(), Token(token)).is_ok() {
      self.entries.insert(token, Entry { service, socket });
    }
  }

  fn send_report(&mut self) {
    let (heard, sent) = self.observations.take();
    let report = Report {
      heard,
      sent,
      version: self.snapshot.version,
      worker: self.settings.number,
      ..std::mem::take(&mut self.report)
    };
    let _ = self.reports.try_send(report);
  }
}

/// The flow of a caller's packet.
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
