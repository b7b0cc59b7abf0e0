//! The platform's routers: send each requester's packet to a ready balancer of its zone.

use {
  crate::{record::Record, wire::Flow},
  std::{
    hash::{DefaultHasher, Hash, Hasher},
    io::{Read, Write},
    net::{SocketAddr, SocketAddrV4, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
  },
};

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
const MISSES: u32 = 2;

struct Node {
  datagrams: SocketAddrV4,
  is_in: bool,
  misses: u32,
  readiness: SocketAddrV4,
  zone: usize,
}

#[derive(Clone)]
pub struct Fabric {
  nodes: Arc<Mutex<Vec<Node>>>,
  record: Record,
}

impl Fabric {
  pub fn new(record: &Record) -> Self {
    Self {
      nodes: Arc::default(),
      record: record.clone(),
    }
  }

  /// Adds a balancer; its readiness is asked twice a second from now on.
  pub fn add(&self, zone: usize, datagrams: SocketAddrV4, readiness: SocketAddrV4) {
    let mut nodes = self.nodes.lock().unwrap();
    let index = nodes.len();
    nodes.push(Node {
      datagrams,
      is_in: false,
      misses: MISSES,
      readiness,
      zone,
    });
    drop(nodes);
    let fabric = self.clone();
    thread::spawn(move || {
      loop {
        let address = fabric.nodes.lock().unwrap()[index].readiness;
        fabric.note(index, is_ready(address));
        thread::sleep(PROBE_INTERVAL);
      }
    });
  }

  /// Whether all nodes are in.
  pub fn all_in(&self) -> bool {
    self.nodes.lock().unwrap().iter().all(|node| node.is_in)
  }

  /// The node that gets a packet of a flow: one of the requester's zone, or else of any zone.
  pub fn pick(&self, zone: usize, flow: &Flow) -> Option<SocketAddrV4> {
    let nodes = self.nodes.lock().unwrap();
    let ready = nodes.iter().filter(|node| node.is_in);
    let near = ready
      .clone()
      .filter(|node| node.zone == zone)
      .collect::<Vec<_>>();
    let usable = if near.is_empty() {
      ready.collect::<Vec<_>>()
    } else {
      near
    };
    let mut hasher = DefaultHasher::new();
    flow.hash(&mut hasher);
    let index = (hasher.finish() % usable.len().max(1) as u64) as usize;
    usable.get(index).map(|node| node.datagrams)
  }

  fn note(&self, index: usize, is_ready: bool) {
    let mut nodes = self.nodes.lock().unwrap();
    let node = &mut nodes[index];
    node.misses = if is_ready { 0 } else { node.misses + 1 };
    let is_in = node.misses < MISSES && (node.is_in || is_ready);
    if is_in != node.is_in {
      node.is_in = is_in;
      let state = if is_in { "in" } else { "out" };
      self.record.line(&format!(
        "fabric: balancer {} is {state}",
        node.datagrams.ip()
      ));
    }
  }
}

fn is_ready(address: SocketAddrV4) -> bool {
  let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::V4(address), PROBE_TIMEOUT) else {
    return false;
  };
  let _ = stream.set_read_timeout(Some(PROBE_TIMEOUT));
  let request =
    format!("GET /v1/readiness HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
  if stream.write_all(request.as_bytes()).is_err() {
    return false;
  }
  let mut head = [0; 64];
  let length = stream.read(&mut head).unwrap_or(0);
  head[..length].starts_with(b"HTTP/1.1 200")
}
