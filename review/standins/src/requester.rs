//! Requesters: each flow carries the bytes of one HTTP/1.1 connection, with pauses between requests.

use {
  crate::{
    fabric::Fabric,
    record::Record,
    wire::{ACK, Flow, Packet, RST, SYN},
  },
  std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
      Arc, Mutex,
      mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
  },
};

/// When the copies of an opening packet are sent, and when the attempt ends.
const COPIES: [Duration; 3] = [
  Duration::ZERO,
  Duration::from_millis(200),
  Duration::from_millis(600),
];
const OPEN_TIMEOUT: Duration = Duration::from_millis(1400);
const RESEND_FIRST: Duration = Duration::from_millis(200);
const RESEND_MAX: Duration = Duration::from_millis(1600);
/// How far from the requester's last `ack` the `seq` of a reset may be.
const RESET_WINDOW: u32 = 76_800;

type Inboxes = Arc<Mutex<HashMap<Flow, Sender<Packet>>>>;

/// All requesters of a zone, at one address.
#[derive(Clone)]
pub struct Requesters {
  fabric: Fabric,
  inboxes: Inboxes,
  ip: Ipv4Addr,
  record: Record,
  socket: Arc<UdpSocket>,
  zone: usize,
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
  /// The whole answer of the target with this id.
  Served(String),
  /// A reset that the flow's target did not write.
  ResetBySystem,
  /// A reset that the flow's target wrote.
  ResetByTarget,
  /// No answer before the deadline.
  Silence,
}

impl Requesters {
  pub fn start(
    zone: usize,
    address: SocketAddrV4,
    fabric: &Fabric,
    record: &Record,
  ) -> std::io::Result<Self> {
    let socket = Arc::new(UdpSocket::bind(address)?);
    let inboxes = Inboxes::default();
    let requesters = Self {
      fabric: fabric.clone(),
      inboxes: inboxes.clone(),
      ip: *address.ip(),
      record: record.clone(),
      socket: socket.clone(),
      zone,
    };
    let record = record.clone();
    thread::spawn(move || {
      let mut buffer = [0; 2048];
      loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
          continue;
        };
        let Some(packet) = Packet::decode(&buffer[..length]) else {
          record.line("MIXED: a requester got bytes that are no packet");
          continue;
        };
        let flow = Flow {
          requester: packet.destination,
          route: packet.source,
        };
        if packet.sum != 0 && !packet.is_genuine() {
          record.line(&format!(
            "MIXED: a requester got a changed packet {packet:?}"
          ));
        }
        if let Some(inbox) = inboxes.lock().unwrap().get(&flow) {
          let _ = inbox.send(packet);
        }
      }
    });
    Ok(requesters)
  }

  /// Opens a flow to a route from a port of its own; none if the attempt fails.
  pub fn open(&self, port: u16, route: SocketAddrV4) -> Option<Connection> {
    let flow = Flow {
      requester: SocketAddrV4::new(self.ip, port),
      route,
    };
    let (sender, inbox) = channel();
    self.inboxes.lock().unwrap().insert(flow, sender);
    let first = u32::from(port) << 12;
    let started = Instant::now();
    let mut sent = 0;
    loop {
      if sent < COPIES.len() && started.elapsed() >= COPIES[sent] {
        let opening = Packet::new(flow.requester, route, SYN, first, sent as u32);
        self.send(&flow, &opening);
        sent += 1;
      }
      let next = COPIES.get(sent).copied().unwrap_or(OPEN_TIMEOUT);
      let wait = next
        .saturating_sub(started.elapsed())
        .max(Duration::from_millis(1));
      match inbox.recv_timeout(wait) {
        Ok(packet) if packet.has(RST) => {
          self
            .record
            .line(&format!("flow {} is refused while opening", flow.name()));
          return None;
        }
        Ok(packet) if packet.has(SYN) && packet.has(ACK) => {
          let mut connection = Connection {
            acknowledged: packet.seq.wrapping_add(1),
            flow,
            inbox,
            last_packet: Instant::now(),
            next: first.wrapping_add(1),
            opened: Instant::now(),
            requesters: self.clone(),
          };
          connection.acknowledge();
          return Some(connection);
        }
        Ok(_) | Err(RecvTimeoutError::Timeout) => {}
        Err(RecvTimeoutError::Disconnected) => return None,
      }
      if started.elapsed() >= OPEN_TIMEOUT {
        self
          .record
          .line(&format!("flow {} does not open", flow.name()));
        return None;
      }
    }
  }

  fn send(&self, flow: &Flow, packet: &Packet) {
    if let Some(node) = self.fabric.pick(self.zone, flow) {
      let _ = self.socket.send_to(&packet.encode(), node);
    }
  }
}

/// An open flow.
pub struct Connection {
  /// The sequence number up to which the target's bytes have come.
  acknowledged: u32,
  pub flow: Flow,
  inbox: Receiver<Packet>,
  /// When its last packet was sent or came.
  pub last_packet: Instant,
  next: u32,
  pub opened: Instant,
  requesters: Requesters,
}

impl Connection {
  /// Sends a request and waits for its answer; a packet that is not acknowledged is sent again.
  pub fn request(&mut self, id: &str, method: &str, patience: Duration) -> Outcome {
    let text = format!(
      "{method} /work HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nContent-Length: 4\r\n\r\nwork",
      self.flow.route
    );
    let record = self.requesters.record.clone();
    record.line(&format!("{} sends {id}", self.flow.name()));
    let started = Instant::now();
    let (first, mut tries) = (self.next, 0);
    let end = first.wrapping_add(text.len() as u32);
    let mut resend_at = Instant::now();
    let outcome = loop {
      let now = Instant::now();
      if now.duration_since(started) >= patience {
        break Outcome::Silence;
      }
      if now >= resend_at {
        let packet = Packet::new(
          self.flow.requester,
          self.flow.route,
          ACK,
          first,
          self.acknowledged,
        );
        self
          .requesters
          .send(&self.flow, &packet.with_data(text.as_bytes()));
        self.last_packet = now;
        resend_at = now + (RESEND_FIRST * 2_u32.pow(tries)).min(RESEND_MAX);
        tries += 1;
      }
      let wait = resend_at
        .min(started + patience)
        .saturating_duration_since(Instant::now());
      let Ok(packet) = self.inbox.recv_timeout(wait.max(Duration::from_millis(1))) else {
        continue;
      };
      if packet.has(RST) {
        if packet.sum != 0 {
          break Outcome::ResetByTarget;
        }
        let distance = packet
          .seq
          .wrapping_sub(self.acknowledged)
          .cast_signed()
          .unsigned_abs();
        if distance <= RESET_WINDOW {
          break Outcome::ResetBySystem;
        }
        continue;
      }
      self.last_packet = Instant::now();
      if packet.data.is_empty() || packet.seq != self.acknowledged {
        if !packet.data.is_empty() {
          // Sent again by the target: its acknowledgement was lost.
          self.acknowledge();
        }
        continue;
      }
      self.acknowledged = self.acknowledged.wrapping_add(packet.data.len() as u32);
      self.next = end;
      self.acknowledge();
      let answer = String::from_utf8_lossy(&packet.data).into_owned();
      let signature = answer
        .lines()
        .find_map(|line| line.strip_prefix("Response-Signature: "));
      if !answer.ends_with(&format!("done {id}")) {
        record.line(&format!("MIXED: flow {} got {answer:?}", self.flow.name()));
      }
      break Outcome::Served(signature.unwrap_or("nobody").to_owned());
    };
    record.line(&format!("{} {id}: {outcome:?}", self.flow.name()));
    outcome
  }

  fn acknowledge(&mut self) {
    let packet = Packet::new(
      self.flow.requester,
      self.flow.route,
      ACK,
      self.next,
      self.acknowledged,
    );
    self.requesters.send(&self.flow, &packet);
    self.last_packet = Instant::now();
  }
}
