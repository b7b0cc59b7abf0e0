//! A target: holds flows, works on requests in its slots, and sends back what it does not hold.

use {
  crate::{
    record::{Random, Record},
    wire::{ACK, BOUNCED, FIN, Packet, RST, SYN},
  },
  std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::{SocketAddrV4, UdpSocket},
    sync::{
      Arc, Mutex, PoisonError,
      atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
  },
};

/// The requester's end and the route of a flow.
pub type Tuple = (SocketAddrV4, SocketAddrV4);

/// How long a target remembers that a flow has ended.
const ENDED_FOR: Duration = Duration::from_secs(1);

struct Flow {
  /// The sequence number of the answer to the opening packet.
  isn: u32,
  open: bool,
  /// The next sequence number that is expected of the requester.
  next: u32,
  /// The sequence number of the next packet to the requester.
  seq: u32,
  /// The last answer, which is sent again for a repeated request.
  last: Option<Vec<u8>>,
  /// Whether both ends closed.
  ended: Option<Instant>,
}

/// An opening packet that a target took.
#[derive(Clone, Debug)]
pub struct Opening {
  pub at: Duration,
  pub flow: Tuple,
  /// The sequence number of the opening packet, which tells two flows of one tuple apart.
  pub seq: u32,
}

/// What a target has seen.
#[derive(Default)]
pub struct Seen {
  /// The first copy of each opening packet.
  pub openings: Vec<Opening>,
  /// Request ids that it ran.
  pub ran: Vec<(Duration, String)>,
  /// Flows whose handshake ended here.
  pub opened: HashSet<(Tuple, u32)>,
  /// Packets whose sender did not write them that way.
  pub forged: u64,
}

pub struct Target {
  pub name: String,
  pub seen: Mutex<Seen>,
  /// Whether it runs. One that does not has forgotten its flows and answers nothing.
  up: AtomicBool,
  /// Whether it says that it leaves: it closes each flow after its next answer.
  draining: AtomicBool,
}

impl Target {
  /// Starts a target at `app` that sends its packets to `outbound`.
  pub fn start(
    name: &str,
    app: SocketAddrV4,
    outbound: SocketAddrV4,
    slots: usize,
    work: Duration,
    record: &Arc<Record>,
  ) -> Arc<Self> {
    let socket = UdpSocket::bind(app).expect("address of the target");
    let target = Arc::new(Self {
      name: name.to_owned(),
      seen: Mutex::default(),
      up: AtomicBool::new(true),
      draining: AtomicBool::new(false),
    });
    let (shared, record) = (Arc::clone(&target), Arc::clone(record));
    thread::spawn(move || shared.run(&socket, outbound, slots, work, &record));
    target
  }

  pub fn set_up(&self, up: bool) {
    self.up.store(up, Ordering::SeqCst);
  }

  pub fn set_draining(&self, draining: bool) {
    self.draining.store(draining, Ordering::SeqCst);
  }

  fn run(
    &self,
    socket: &UdpSocket,
    outbound: SocketAddrV4,
    slots: usize,
    work: Duration,
    record: &Record,
  ) {
    let mut random =
      Random::new(u64::from(outbound.port()) << 32 | u64::from(u32::from(*outbound.ip())));
    let mut flows = HashMap::<Tuple, Flow>::new();
    let mut free = vec![Instant::now(); slots];
    let mut due = BTreeMap::<(Instant, u64), (Tuple, u32, Vec<u8>, bool)>::new();
    let mut number = 0;
    let mut buffer = [0; 2048];
    loop {
      let now = Instant::now();
      let wait = due.first_key_value().map(|((at, _), _)| *at);
      let wait = wait.map_or(Duration::from_millis(20), |at| {
        at.saturating_duration_since(now)
          .clamp(Duration::from_micros(200), Duration::from_millis(20))
      });
      socket.set_read_timeout(Some(wait)).expect("time");
      let received = socket.recv_from(&mut buffer).ok();
      if !self.up.load(Ordering::SeqCst) {
        flows.clear();
        due.clear();
        continue;
      }
      while let Some(entry) = due.first_entry() {
        if entry.key().0 > Instant::now() {
          break;
        }
        let (tuple, isn, body, closes) = entry.remove();
        if let Some(flow) = flows.get_mut(&tuple).filter(|flow| flow.isn == isn) {
          let closes = closes || self.draining.load(Ordering::SeqCst);
          let flags = ACK | if closes { FIN } else { 0 };
          let packet = Packet::new(tuple.1, tuple.0, flags, flow.seq, flow.next, &body).encode();
          flow.seq = flow.seq.wrapping_add(body.len() as u32 + u32::from(closes));
          let _ = socket.send_to(&packet, outbound);
          flow.last = Some(packet);
        }
      }
      let Some((length, _)) = received else {
        continue;
      };
      let Some(packet) = Packet::decode(&buffer[..length]) else {
        self.seen().forged += 1;
        continue;
      };
      if !packet.is_genuine() || packet.has(BOUNCED) {
        self.seen().forged += 1;
        record.note(format!("{}: forged packet {packet:?}", self.name));
        continue;
      }
      let tuple = (packet.from, packet.to);
      let send = |flags, seq, ack| {
        let answer = Packet::new(packet.to, packet.from, flags, seq, ack, &[]);
        let _ = socket.send_to(&answer.encode(), outbound);
      };
      let is_over = |flow: &Flow| flow.ended.is_some_and(|at| at.elapsed() >= ENDED_FOR);
      if flows.get(&tuple).is_some_and(is_over) {
        flows.remove(&tuple);
      }
      if packet.has(SYN) {
        let first = packet.seq.wrapping_add(1);
        let repeated = flows
          .get(&tuple)
          .filter(|flow| flow.ended.is_none() && (flow.next == first || flow.open));
        if let Some(flow) = repeated {
          send(SYN | ACK, flow.isn, first);
          continue;
        }
        let isn = random.next() as u32;
        let flow = Flow {
          isn,
          open: false,
          next: first,
          seq: isn.wrapping_add(1),
          last: None,
          ended: None,
        };
        flows.insert(tuple, flow);
        record.note(format!(
          "{}: took the opening packet of {}>{} seq {}",
          self.name, tuple.0, tuple.1, packet.seq
        ));
        self.seen().openings.push(Opening {
          at: record.now(),
          flow: tuple,
          seq: packet.seq,
        });
        send(SYN | ACK, isn, first);
        continue;
      }
      let Some(flow) = flows.get_mut(&tuple) else {
        let mut back = buffer[..length].to_vec();
        back[12] |= BOUNCED;
        let _ = socket.send_to(&back, outbound);
        continue;
      };
      if flow.ended.is_some() {
        if packet.has(FIN) {
          send(ACK, flow.seq, packet.seq.wrapping_add(1));
        } else if !packet.data.is_empty() {
          record.note(format!(
            "{}: reset {}>{}, which has ended here",
            self.name, tuple.0, tuple.1
          ));
          send(RST | ACK, packet.ack, packet.seq);
        }
        continue;
      }
      if !flow.open {
        if packet.ack != flow.isn.wrapping_add(1) {
          // A packet of a flow that this target does not hold.
          let mut back = buffer[..length].to_vec();
          back[12] |= BOUNCED;
          let _ = socket.send_to(&back, outbound);
          continue;
        }
        flow.open = true;
        self
          .seen()
          .opened
          .insert((tuple, flow.next.wrapping_sub(1)));
      }
      if !packet.data.is_empty() {
        if packet.seq != flow.next {
          if let Some(last) = &flow.last {
            let _ = socket.send_to(last, outbound);
          }
          continue;
        }
        flow.next = flow.next.wrapping_add(packet.data.len() as u32);
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let id = text
          .lines()
          .find_map(|line| line.strip_prefix("Request-Id: "));
        let id = id.unwrap_or_default().to_owned();
        record.note(format!("{}: runs {id}", self.name));
        self.seen().ran.push((record.now(), id.clone()));
        let body = format!(
          "HTTP/1.1 200 OK\r\nResponse-Signature: {}\r\nContent-Length: {}\r\n\r\n{id}",
          self.name,
          id.len()
        );
        let slot = free.iter_mut().min().expect("a slot");
        *slot = (*slot).max(Instant::now()) + work;
        number += 1;
        let closes = text.contains("Connection: close");
        due.insert(
          (*slot, number),
          (tuple, flow.isn, body.into_bytes(), closes),
        );
      }
      if packet.has(FIN) {
        flow.next = packet.seq.wrapping_add(1);
        flow.ended = Some(Instant::now());
        send(ACK, flow.seq, flow.next);
      }
    }
  }

  pub fn seen(&self) -> std::sync::MutexGuard<'_, Seen> {
    self.seen.lock().unwrap_or_else(PoisonError::into_inner)
  }
}
