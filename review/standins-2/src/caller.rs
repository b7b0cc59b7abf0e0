//! The platform's routers, and requesters that open flows through them.

use {
  crate::{
    cluster::is_ready,
    record::{Random, Record},
    wire::{ACK, FIN, Packet, RST, SYN},
  },
  std::{
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
      Arc, Mutex, PoisonError,
      atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
  },
};

/// The times at which copies of an opening packet are sent.
const COPIES: [Duration; 3] = [
  Duration::ZERO,
  Duration::from_millis(200),
  Duration::from_millis(600),
];

/// The time after which an attempt without an answer to its opening packet ends.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1400);

/// The waits between copies of a packet that is not answered.
const RESEND: [u64; 5] = [200, 400, 800, 1600, 1600];

/// The routers: send each packet to a node that is in, by a hash of its addresses.
pub struct Router {
  nodes: Vec<(SocketAddrV4, SocketAddrV4)>,
  inside: Mutex<Vec<bool>>,
  stopped: AtomicBool,
}

impl Router {
  /// Routers in front of nodes, given by where they take packets and where they tell that they are
  /// ready.
  pub fn start(nodes: Vec<(SocketAddrV4, SocketAddrV4)>, record: &Arc<Record>) -> Arc<Self> {
    let inside = vec![true; nodes.len()];
    let router = Arc::new(Self {
      nodes,
      inside: Mutex::new(inside),
      stopped: AtomicBool::new(false),
    });
    for index in 0..router.nodes.len() {
      let (router, record) = (Arc::clone(&router), Arc::clone(record));
      thread::spawn(move || router.check(index, &record));
    }
    router
  }

  /// Twice a second: a node that misses two checks is out until it answers 200 again.
  fn check(&self, index: usize, record: &Record) {
    let mut missed = 0;
    while !self.stopped.load(Ordering::SeqCst) {
      missed = if is_ready(self.nodes[index].1) {
        0
      } else {
        missed + 1
      };
      let mut inside = self.inside.lock().unwrap_or_else(PoisonError::into_inner);
      let is_in = if missed == 0 {
        true
      } else {
        inside[index] && missed < 2
      };
      if inside[index] != is_in {
        record.say(&format!(
          "routers: {} is {}",
          self.nodes[index].0,
          if is_in { "in" } else { "out" }
        ));
      }
      inside[index] = is_in;
      drop(inside);
      thread::sleep(Duration::from_millis(500));
    }
  }

  pub fn stop(&self) {
    self.stopped.store(true, Ordering::SeqCst);
  }

  /// The node for a packet: by `mod` over the nodes that are in; all are used if fewer than half are
  /// in.
  pub fn node(&self, from: SocketAddrV4, to: SocketAddrV4) -> SocketAddrV4 {
    let inside = self.inside.lock().unwrap_or_else(PoisonError::into_inner);
    let chosen = self.nodes.iter().zip(inside.iter());
    let mut chosen = chosen
      .filter(|(_, is_in)| **is_in)
      .map(|(node, _)| node.0)
      .collect::<Vec<_>>();
    if chosen.len() * 2 < self.nodes.len() {
      chosen = self.nodes.iter().map(|node| node.0).collect();
    }
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    let mut add = |bytes: &[u8]| {
      for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
      }
    };
    add(&from.ip().octets());
    add(&from.port().to_be_bytes());
    add(&to.ip().octets());
    add(&to.port().to_be_bytes());
    chosen[((hash ^ (hash >> 32)) % chosen.len() as u64) as usize]
  }
}

/// A flow of a requester.
#[derive(Clone, Debug)]
pub struct Flow {
  pub from: SocketAddrV4,
  pub to: SocketAddrV4,
  seq: u32,
  ack: u32,
}

/// How an attempt to open a flow, or a request on one, ended.
#[derive(Debug)]
pub enum Outcome<T> {
  Done(T),
  /// A reset: whether a target wrote it, or the system did.
  Reset {
    by_target: bool,
  },
  Silence,
}

/// A requester with an address of its own.
pub struct Caller {
  pub name: String,
  pub ip: Ipv4Addr,
  router: Arc<Router>,
  socket: UdpSocket,
  record: Arc<Record>,
  random: Random,
  next_id: u64,
}

impl Caller {
  pub fn new(
    name: String,
    address: SocketAddrV4,
    router: &Arc<Router>,
    record: &Arc<Record>,
  ) -> Self {
    let seed = u64::from(u32::from(*address.ip())) ^ 0x5eed;
    Self {
      ip: *address.ip(),
      socket: UdpSocket::bind(address).expect("address of the requester"),
      router: Arc::clone(router),
      record: Arc::clone(record),
      random: Random::new(seed),
      next_id: 0,
      name,
    }
  }

  fn send(&self, packet: &Packet) -> SocketAddrV4 {
    let node = self.router.node(packet.from, packet.to);
    let _ = self.socket.send_to(&packet.encode(), node);
    node
  }

  /// The next packet of a flow until a time; packets of other flows are dropped.
  fn receive(&self, flow: (SocketAddrV4, SocketAddrV4), until: Instant) -> Option<Packet> {
    let mut buffer = [0; 2048];
    loop {
      let left = until.saturating_duration_since(Instant::now());
      if left.is_zero() {
        return None;
      }
      self.socket.set_read_timeout(Some(left)).expect("time");
      let Ok((length, _)) = self.socket.recv_from(&mut buffer) else {
        continue;
      };
      let Some(packet) = Packet::decode(&buffer[..length]) else {
        self
          .record
          .note(format!("{}: unreadable packet", self.name));
        continue;
      };
      if (packet.to, packet.from) != flow {
        continue;
      }
      if !packet.is_genuine() && !(packet.has(RST) && packet.sum == 0) {
        self
          .record
          .note(format!("{}: forged packet {packet:?}", self.name));
        continue;
      }
      return Some(packet);
    }
  }

  /// Opens a flow from a port of this requester.
  pub fn open(&mut self, port: u16, to: SocketAddrV4) -> Outcome<Flow> {
    let from = SocketAddrV4::new(self.ip, port);
    let isn = self.random.next() as u32;
    let started = Instant::now();
    for (copy, after) in COPIES.iter().enumerate() {
      let packet = Packet::new(from, to, SYN, isn, copy as u32, &[]);
      let node = self.send(&packet);
      self.record.note_copy(from, isn, node);
      self.record.note(format!(
        "{}: sends opening packet {from}>{to} seq {isn} copy {copy} to {node}",
        self.name
      ));
      let until = COPIES.get(copy + 1).copied().unwrap_or(CONNECT_TIMEOUT);
      debug_assert!(*after < until);
      while let Some(packet) = self.receive((from, to), started + until) {
        if packet.has(RST) {
          let by_target = packet.sum != 0;
          self.record.note(format!(
            "{}: {from}>{to} is reset before it opened, by the {}",
            self.name,
            if by_target { "target" } else { "system" }
          ));
          return Outcome::Reset { by_target };
        }
        if packet.has(SYN) && packet.has(ACK) && packet.ack == isn.wrapping_add(1) {
          let flow = Flow {
            from,
            to,
            seq: isn.wrapping_add(1),
            ack: packet.seq.wrapping_add(1),
          };
          let answer = Packet::new(from, to, ACK, flow.seq, flow.ack, &[]);
          self.send(&answer);
          return Outcome::Done(flow);
        }
      }
    }
    self
      .record
      .note(format!("{}: {from}>{to} got no answer", self.name));
    Outcome::Silence
  }

  /// Sends a request on a flow, and waits for its answer until the deadline. Returns the name of the
  /// target that answered.
  pub fn ask(&mut self, flow: &mut Flow, closes: bool, deadline: Duration) -> Outcome<String> {
    self.next_id += 1;
    let id = format!("{}-{}", self.name, self.next_id);
    let connection = if closes { "Connection: close\r\n" } else { "" };
    let text =
      format!("GET /feed HTTP/1.1\r\nHost: dispatch\r\nRequest-Id: {id}\r\n{connection}\r\n");
    let request = Packet::new(flow.from, flow.to, ACK, flow.seq, flow.ack, text.as_bytes());
    let end = Instant::now() + deadline;
    let mut tries = RESEND.iter();
    loop {
      let node = self.send(&request);
      self.record.note(format!(
        "{}: sends {id} on {} to {node}",
        self.name, flow.from
      ));
      let wait = tries.next().copied().unwrap_or(1600);
      let until = end.min(Instant::now() + Duration::from_millis(wait));
      while let Some(packet) = self.receive((flow.from, flow.to), until) {
        if packet.has(RST) {
          let by_target = packet.sum != 0;
          self.record.note(format!(
            "{}: the open flow {}>{} is reset by the {}, seq {} where its last ack is {}",
            self.name,
            flow.from,
            flow.to,
            if by_target { "target" } else { "system" },
            packet.seq,
            flow.ack
          ));
          return Outcome::Reset { by_target };
        }
        if packet.data.is_empty() || packet.seq != flow.ack {
          continue;
        }
        flow.seq = flow.seq.wrapping_add(text.len() as u32);
        flow.ack = flow.ack.wrapping_add(packet.data.len() as u32);
        let body = String::from_utf8_lossy(&packet.data).into_owned();
        let signature = body
          .lines()
          .find_map(|line| line.strip_prefix("Response-Signature: "))
          .unwrap_or_default()
          .to_owned();
        let is_own = body.ends_with(&format!("\r\n\r\n{id}"));
        self.record.note(format!(
          "{}: {id} is answered 200 by {signature}, its own answer: {is_own}",
          self.name
        ));
        if packet.has(FIN) {
          // The target has closed; the requester closes too, and the flow has ended at both ends.
          flow.ack = flow.ack.wrapping_add(1);
          let fin = Packet::new(flow.from, flow.to, ACK | FIN, flow.seq, flow.ack, &[]);
          self.send(&fin);
          flow.seq = flow.seq.wrapping_add(1);
        } else {
          let ack = Packet::new(flow.from, flow.to, ACK, flow.seq, flow.ack, &[]);
          self.send(&ack);
        }
        return Outcome::Done(signature);
      }
      if Instant::now() >= end {
        self
          .record
          .note(format!("{}: {id} is not answered", self.name));
        return Outcome::Silence;
      }
    }
  }
}
