use {
  super::shared::{Message, Question, Reading, Shared},
  crate::{
    Code,
    code::Fault,
    datagram::{
      Event, Machine, Outbox, Via,
      bundle::{self, Bundler},
    },
    logging,
  },
  crossbeam::channel::Receiver,
  mio::{Events, Interest, Poll, Token, net::UdpSocket},
  std::{
    io::{self, ErrorKind},
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
  },
};

/// Frames from peers.
const PEERS: Token = Token(0);

/// Callers' packets at a balancer, the upstream's at an agent.
const PACKETS: Token = Token(1);

/// Messages from the control thread.
pub const MESSAGES: Token = Token(2);

/// Room for the largest datagram, in bytes.
const ROOM: usize = 1 << 16;

/// How many datagrams of one socket are taken before the others have their turn.
const TURN: usize = 32;

/// How often a process looks whether it is to read: that takes a look at all its peers, and a busy one
/// wakes up hundreds of times a second.
const LOOK: Duration = Duration::from_millis(10);

/// How late a machine is told of the time at most, where datagrams wait to be read.
const BEHIND: Duration = Duration::from_millis(50);

/// The sockets of a process.
pub struct Sockets {
  packets: UdpSocket,
  peers: UdpSocket,
}

impl Sockets {
  /// Binds them: `peers` for frames, `packets` for callers or the upstream.
  pub fn bind(peers: SocketAddrV4, packets: SocketAddrV4) -> Result<Self, Fault> {
    let bind = |address: SocketAddrV4| {
      UdpSocket::bind(address.into())
        .map_err(|error| Fault::new(Code::AddressUnavailable, format!("{address}: {error}")))
    };
    Ok(Self {
      packets: bind(packets)?,
      peers: bind(peers)?,
    })
  }
}

/// Feeds a machine with packets, frames, messages and the time, and sends what it wants sent.
pub struct Carrier<M> {
  buffer: Vec<u8>,
  bundler: Bundler,
  machine: M,
  messages: Receiver<Message>,
  out: Outbox,
  poll: Poll,
  published: Option<u64>,
  /// Whether this process reads, and when that was looked at.
  reader: Option<(Instant, bool)>,
  shared: Arc<Shared>,
  sockets: Sockets,
}

impl<M: Machine> Carrier<M> {
  /// A carrier whose sockets wake `poll`.
  pub fn new(
    machine: M,
    poll: Poll,
    mut sockets: Sockets,
    messages: Receiver<Message>,
    shared: Arc<Shared>,
  ) -> Result<Self, Fault> {
    let failed = |error: io::Error| Fault::new(Code::ChildFailed, error);
    let registry = poll.registry();
    registry
      .register(&mut sockets.peers, PEERS, Interest::READABLE)
      .map_err(failed)?;
    registry
      .register(&mut sockets.packets, PACKETS, Interest::READABLE)
      .map_err(failed)?;
    Ok(Self {
      buffer: vec![0; ROOM],
      bundler: Bundler::default(),
      machine,
      messages,
      out: Outbox::default(),
      poll,
      published: None,
      reader: None,
      shared,
      sockets,
    })
  }

  /// Carries packets until it is told to end.
  pub fn run(&mut self) -> Result<(), Fault> {
    let mut events = Events::with_capacity(8);
    let mut waiting = [true, true];
    loop {
      let now = Instant::now();
      let idle = waiting == [false, false];
      let wait = if idle { self.wait(now) } else { Duration::ZERO };
      if idle || self.machine.deadline() <= now {
        match self.poll.poll(&mut events, Some(wait)) {
          Err(error) if error.kind() != ErrorKind::Interrupted => {
            return Err(Fault::new(Code::ChildFailed, error));
          }
          _ => {}
        }
        for event in &events {
          match event.token() {
            PEERS => waiting[0] = true,
            PACKETS => waiting[1] = true,
            _ => {}
          }
        }
        if self.take_messages() {
          return Ok(());
        }
      }
      waiting[1] = waiting[1] && self.drain(PACKETS)?;
      waiting[0] = waiting[0] && self.drain(PEERS)?;
      let now = Instant::now();
      // An answer that waits to be read is not missing: what has arrived is read first.
      let behind = waiting != [false, false] && now < self.machine.deadline() + BEHIND;
      if self.machine.deadline() <= now && !behind {
        self.machine.step(now, Event::Tick, &mut self.out);
      }
      self.flush();
      self.publish(now);
      let quiet = self.machine.is_quiet();
      self.shared.quiet.store(quiet, Ordering::Relaxed);
      logging::flush_if_due(now);
    }
  }

  /// How long nothing is due.
  fn wait(&self, now: Instant) -> Duration {
    let due = self.machine.deadline();
    let due = logging::due().map_or(due, |logs| due.min(logs));
    due.saturating_duration_since(now)
  }

  /// Takes some datagrams of one socket; true when more may wait. What they lead to leaves
  /// together.
  fn drain(&mut self, token: Token) -> Result<bool, Fault> {
    let more = self.take_datagrams(token);
    self.flush();
    more
  }

  fn take_datagrams(&mut self, token: Token) -> Result<bool, Fault> {
    let now = Instant::now();
    for _ in 0..TURN {
      let socket = match token {
        PEERS => &self.sockets.peers,
        _ => &self.sockets.packets,
      };
      let (length, from) = match socket.recv_from(&mut self.buffer) {
        Ok(received) => received,
        Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
        // What an earlier datagram met, such as a port where nobody listens.
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => continue,
        Err(error) if error.kind() == ErrorKind::Interrupted => continue,
        Err(error) => return Err(Fault::new(Code::ChildFailed, error)),
      };
      let SocketAddr::V4(from) = from else {
        continue;
      };
      let bytes = &mut self.buffer[..length];
      if token != PEERS {
        self.machine.step(now, Event::Packet(bytes), &mut self.out);
        continue;
      }
      match bundle::frames(bytes) {
        Ok(frames) => {
          for bytes in frames {
            self
              .machine
              .step(now, Event::Frame { from, bytes }, &mut self.out);
          }
        }
        Err(code) => self.shared.counter.count(code),
      }
    }
    Ok(true)
  }

  fn flush(&mut self) {
    let send = |socket: &UdpSocket, to: SocketAddrV4, bytes: &[u8]| {
      if socket.send_to(bytes, to.into()).is_err() {
        self.shared.counter.count(Code::SendFailed);
      }
    };
    let packets = self.out.datagrams().iter();
    for packet in packets.filter(|datagram| datagram.via != Via::Peers) {
      send(&self.sockets.packets, packet.to, self.out.bytes(packet));
    }
    let peers = &self.sockets.peers;
    self
      .bundler
      .send(&self.out, |to, bytes| send(peers, to, bytes));
    self.out.clear();
  }

  /// Shows the other thread what is known and what is to be read.
  fn publish(&mut self, now: Instant) {
    let spread = self.machine.spread();
    let known = self.reader;
    let known = known.filter(|(at, _)| now.saturating_duration_since(*at) < LOOK);
    let (at, reader) = known.unwrap_or_else(|| (now, spread.is_reader(now)));
    self.reader = Some((at, reader));
    let catalog = spread.catalog();
    let reading = Reading {
      after: catalog
        .configuration()
        .is_some()
        .then(|| catalog.complete()),
      wanted: reader,
    };
    self.shared.reading.send_if_modified(|held| {
      let modified = held.wanted != reading.wanted;
      *held = reading;
      modified
    });
    if self.published != Some(spread.version()) {
      self.published = Some(spread.version());
      self.shared.publish(spread.catalog().clone());
    }
    if let Some((peer, after)) = spread.take_wanted() {
      // The control thread ends only with the process.
      let _ = self.shared.questions.send(Question { after, peer });
    }
  }

  /// Takes the control thread's messages; true when it is to end.
  fn take_messages(&mut self) -> bool {
    while let Ok(message) = self.messages.try_recv() {
      let now = Instant::now();
      let event = match message {
        Message::Dump(asker) => {
          // Whoever asked may have gone.
          let _ = asker.send(self.machine.dump(now));
          continue;
        }
        Message::End(done) => {
          self.machine.step(now, Event::End, &mut self.out);
          self.flush();
          // Whoever waits may have given up.
          let _ = done.send(());
          return true;
        }
        Message::News(origin, news) => Event::News(origin, news),
        Message::Seeds(seeds) => {
          self.machine.reseed(now, &seeds);
          continue;
        }
        Message::Stop => Event::Stop,
        Message::Unreachable(peer) => Event::Unreachable(peer),
      };
      self.machine.step(now, event, &mut self.out);
      self.flush();
    }
    false
  }
}
