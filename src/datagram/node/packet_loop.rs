use {
  super::shared::{Message, Pull, Reading, Shared},
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

/// The socket of frames from peers.
const PEERS: Token = Token(0);

/// The socket of callers' packets at a balancer, of the upstream's at an agent.
const PACKETS: Token = Token(1);

/// The waker by which other threads announce messages.
pub const MESSAGES: Token = Token(2);

/// The size of the receive buffer, in bytes: the largest datagram.
const BUFFER: usize = 1 << 16;

/// The most datagrams that are read from one socket before the others are served.
const BURST_MAX: usize = 32;

/// How often a process checks whether it is to read the platform; the check iterates over all its
/// peers.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How late a tick may be while datagrams are still to be read.
const TICK_DELAY_MAX: Duration = Duration::from_millis(50);

/// The sockets of a process.
pub struct Sockets {
  packets: UdpSocket,
  peers: UdpSocket,
}

impl Sockets {
  /// Binds the sockets: `peers` for frames, `packets` for callers or the upstream. Fails if an
  /// address is unavailable.
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

/// Runs a machine: passes it packets, frames, messages and ticks, and sends what it wants sent.
pub struct PacketLoop<M> {
  buffer: Vec<u8>,
  bundler: Bundler,
  machine: M,
  messages: Receiver<Message>,
  out: Outbox,
  poll: Poll,
  /// `Gossip::changes` at the latest publication of the catalog.
  published: Option<u64>,
  /// Whether this process is to read the platform, and when that was last checked.
  reader: Option<(Instant, bool)>,
  shared: Arc<Shared>,
  sockets: Sockets,
}

impl<M: Machine> PacketLoop<M> {
  /// Creates a packet loop and registers its sockets with `poll`. Fails if they can't be
  /// registered.
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
      buffer: vec![0; BUFFER],
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

  /// Runs the packet loop until `Message::End`. Fails if polling or a socket fails.
  pub fn run(&mut self) -> Result<(), Fault> {
    let mut events = Events::with_capacity(8);
    // Whether datagrams may be waiting in each socket: frames of peers, and packets.
    let mut waiting = [true, true];
    loop {
      let now = Instant::now();
      let drained = waiting == [false, false];
      let wait = if drained {
        self.wait(now)
      } else {
        Duration::ZERO
      };
      if drained || self.machine.deadline() <= now {
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
        if self.handle_messages() {
          return Ok(());
        }
      }
      waiting[1] = waiting[1] && self.drain(PACKETS)?;
      waiting[0] = waiting[0] && self.drain(PEERS)?;
      let now = Instant::now();
      // A tick may time out requests whose responses have already arrived, so what is in the
      // sockets is handled first.
      let postponed = waiting != [false, false] && now < self.machine.deadline() + TICK_DELAY_MAX;
      if self.machine.deadline() <= now && !postponed {
        self.machine.step(now, Event::Tick, &mut self.out);
      }
      self.flush();
      self.publish(now);
      let idle = self.machine.is_idle();
      self.shared.idle.store(idle, Ordering::Relaxed);
      logging::flush_if_due(now);
    }
  }

  /// The time until the machine or the log has something to do.
  fn wait(&self, now: Instant) -> Duration {
    let due = self.machine.deadline();
    let due = logging::defer_flush().map_or(due, |logs| due.min(logs));
    due.saturating_duration_since(now)
  }

  /// Handles some datagrams of one socket and sends the results together; true if more may be
  /// waiting.
  fn drain(&mut self, token: Token) -> Result<bool, Fault> {
    let more = self.handle_datagrams(token);
    self.flush();
    more
  }

  fn handle_datagrams(&mut self, token: Token) -> Result<bool, Fault> {
    let now = Instant::now();
    for _ in 0..BURST_MAX {
      let socket = match token {
        PEERS => &self.sockets.peers,
        _ => &self.sockets.packets,
      };
      let (length, from) = match socket.recv_from(&mut self.buffer) {
        Ok(received) => received,
        Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
        // The error of an earlier datagram, such as an ICMP "port unreachable".
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

  /// Publishes to the control thread the catalog, whether to read the platform, and which update to
  /// pull.
  fn publish(&mut self, now: Instant) {
    let gossip = self.machine.gossip();
    let checked = self.reader;
    let checked =
      checked.filter(|(at, _)| now.saturating_duration_since(*at) < READER_CHECK_INTERVAL);
    let (at, reader) = checked.unwrap_or_else(|| (now, gossip.is_reader(now)));
    self.reader = Some((at, reader));
    let catalog = gossip.catalog();
    let reading = Reading {
      after: catalog.configuration().is_some().then(|| catalog.synced()),
      wanted: reader,
    };
    self.shared.reading.send_if_modified(|current| {
      let modified = current.wanted != reading.wanted;
      *current = reading;
      modified
    });
    if self.published != Some(gossip.changes()) {
      self.published = Some(gossip.changes());
      self.shared.publish(gossip.catalog().clone());
    }
    if let Some((peer, after)) = gossip.take_wanted() {
      // Sending fails only while the process ends.
      let _ = self.shared.pulls.send(Pull { after, peer });
    }
  }

  /// Handles the messages of other threads; true once the packet loop is to end.
  fn handle_messages(&mut self) -> bool {
    while let Ok(message) = self.messages.try_recv() {
      let now = Instant::now();
      let event = match message {
        Message::Dump(response) => {
          // The requester may have timed out.
          let _ = response.send(self.machine.dump(now));
          continue;
        }
        Message::End(done) => {
          self.machine.step(now, Event::End, &mut self.out);
          self.flush();
          // The waiting thread may have timed out.
          let _ = done.send(());
          return true;
        }
        Message::Update(origin, update) => Event::Update(origin, update),
        Message::Seeds(seeds) => {
          self.machine.add_seeds(now, &seeds);
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
