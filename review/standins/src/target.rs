//! A target: holds flows, runs each request once and answers it, and sends back what it does not
//! hold.

use {
  crate::{
    record::Record,
    wire::{ACK, BOUNCED, FIN, Flow, LENGTH, Packet, RST, SYN},
  },
  std::{
    collections::{HashMap, HashSet},
    net::{SocketAddrV4, UdpSocket},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
  },
};

const RESEND_FIRST: Duration = Duration::from_millis(200);
const RESEND_MAX: Duration = Duration::from_millis(1600);
const TRIES_MAX: u32 = 8;

struct Held {
  /// Whether the requester has acknowledged `first`.
  open: bool,
  /// The sequence number of the answer to the opening packet.
  first: u32,
  /// The sequence number of the target's next byte.
  next: u32,
  /// The sequence number of the requester's next byte.
  expected: u32,
  /// An answer that is not acknowledged: its packet, when it is sent again, and how often it was.
  unacknowledged: Option<(Packet, Instant, u32)>,
}

#[derive(Default)]
struct State {
  ended: HashSet<Flow>,
  flows: HashMap<Flow, Held>,
  stopped: bool,
}

#[derive(Clone)]
pub struct Target {
  pub id: String,
  record: Record,
  state: Arc<Mutex<State>>,
}

impl Target {
  pub fn start(
    id: &str,
    address: SocketAddrV4,
    outbound: SocketAddrV4,
    record: &Record,
  ) -> std::io::Result<Self> {
    let socket = UdpSocket::bind(address)?;
    socket.set_read_timeout(Some(Duration::from_millis(10)))?;
    let target = Self {
      id: id.into(),
      record: record.clone(),
      state: Arc::new(Mutex::new(State::default())),
    };
    let serving = target.clone();
    thread::spawn(move || {
      let mut buffer = [0; 2048];
      loop {
        if serving.state.lock().unwrap().stopped {
          return;
        }
        let mut out = serving.resend();
        if let Ok((length, _)) = socket.recv_from(&mut buffer) {
          out.extend(serving.take(&buffer[..length]));
        }
        for packet in out {
          let _ = socket.send_to(&packet, outbound);
        }
      }
    });
    Ok(target)
  }

  /// Ends the target: it forgets its flows.
  pub fn stop(&self) {
    self.state.lock().unwrap().stopped = true;
  }

  /// Whether the target runs and holds the flow as open.
  pub fn holds(&self, flow: &Flow) -> bool {
    let state = self.state.lock().unwrap();
    !state.stopped && state.flows.get(flow).is_some_and(|held| held.open)
  }

  fn resend(&self) -> Vec<Vec<u8>> {
    let now = Instant::now();
    let mut state = self.state.lock().unwrap();
    let mut out = Vec::new();
    for held in state.flows.values_mut() {
      let Some((packet, at, tries)) = held.unacknowledged.as_mut() else {
        continue;
      };
      if *at > now {
        continue;
      }
      if *tries >= TRIES_MAX {
        held.unacknowledged = None;
        continue;
      }
      out.push(packet.encode());
      *at = now + (RESEND_FIRST * 2_u32.pow(*tries)).min(RESEND_MAX);
      *tries += 1;
    }
    out
  }

  fn take(&self, bytes: &[u8]) -> Vec<Vec<u8>> {
    let Some(packet) = Packet::decode(bytes) else {
      self
        .record
        .line(&format!("target {} got bytes that are no packet", self.id));
      return Vec::new();
    };
    if !packet.is_genuine() {
      self.record.line(&format!(
        "UNASKED: target {} got a changed packet {packet:?}",
        self.id
      ));
    }
    let flow = Flow {
      requester: packet.source,
      route: packet.destination,
    };
    let (requester, route) = (flow.requester, flow.route);
    let mut state = self.state.lock().unwrap();
    if packet.has(SYN) {
      let known = state.flows.len() as u32;
      let first = flow_hash(&flow, &self.id).wrapping_add(known);
      let held = state.flows.entry(flow).or_insert(Held {
        open: false,
        first,
        next: first.wrapping_add(1),
        expected: packet.seq.wrapping_add(1),
        unacknowledged: None,
      });
      let answer = Packet::new(
        route,
        requester,
        SYN | ACK,
        held.first,
        packet.seq.wrapping_add(1),
      );
      return vec![answer.encode()];
    }
    if state.ended.contains(&flow) {
      let flags = if packet.has(FIN) { ACK } else { RST };
      if packet.has(FIN) || !packet.data.is_empty() {
        return vec![Packet::new(route, requester, flags, packet.ack, packet.seq).encode()];
      }
      return Vec::new();
    }
    let held = state.flows.get_mut(&flow);
    let held = held.filter(|held| held.open || packet.ack == held.first.wrapping_add(1));
    let Some(held) = held else {
      self.record.line(&format!(
        "{} sends back a packet of flow {}",
        self.id,
        flow.name()
      ));
      return vec![bounced(bytes)];
    };
    if !held.open {
      held.open = true;
      self
        .record
        .line(&format!("{} has flow {} open", self.id, flow.name()));
    }
    if held
      .unacknowledged
      .as_ref()
      .is_some_and(|_| packet.ack == held.next)
    {
      held.unacknowledged = None;
    }
    if packet.has(FIN) {
      let end = Packet::new(
        route,
        requester,
        FIN | ACK,
        held.next,
        packet.seq.wrapping_add(1),
      );
      state.flows.remove(&flow);
      state.ended.insert(flow);
      return vec![end.encode()];
    }
    if packet.data.is_empty() {
      return Vec::new();
    }
    if packet.seq != held.expected {
      // Received before: the answer is sent again by its own timer.
      return vec![Packet::new(route, requester, ACK, held.next, held.expected).encode()];
    }
    held.expected = held.expected.wrapping_add(packet.data.len() as u32);
    let request = String::from_utf8_lossy(&packet.data).into_owned();
    let request_id = request
      .lines()
      .find_map(|line| line.strip_prefix("Request-Id: "))
      .unwrap_or("none")
      .to_owned();
    self.record.line(&format!("{} runs {request_id}", self.id));
    let body = format!("done {request_id}");
    let text = format!(
      "HTTP/1.1 200 OK\r\nResponse-Signature: {}\r\nContent-Length: {}\r\n\r\n{body}",
      self.id,
      body.len()
    );
    let answer = Packet::new(route, requester, ACK, held.next, held.expected);
    let answer = answer.with_data(text.as_bytes());
    held.next = held.next.wrapping_add(text.len() as u32);
    let encoded = answer.encode();
    held.unacknowledged = Some((answer, Instant::now() + RESEND_FIRST, 1));
    vec![encoded]
  }
}

fn bounced(bytes: &[u8]) -> Vec<u8> {
  let mut bytes = bytes.to_vec();
  bytes[12] |= BOUNCED;
  debug_assert!(bytes.len() >= LENGTH);
  bytes
}

/// A sequence number that differs between targets and flows.
fn flow_hash(flow: &Flow, id: &str) -> u32 {
  use std::hash::{DefaultHasher, Hash, Hasher};
  let mut hasher = DefaultHasher::new();
  (flow, id).hash(&mut hasher);
  hasher.finish() as u32
}
