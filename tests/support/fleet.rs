//! A fleet of real processes on loopback addresses, for integration tests and benchmarks.

mod addresses;
mod operator;
mod processes;
mod waits;

use {
  super::child::Child,
  fallwell::{
    config::{self, Presence},
    web,
  },
  http::Method,
  rustls::pki_types::CertificateDer,
  serde_json::{Value, json},
  std::{
    collections::BTreeMap,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket},
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
  },
};

const BALANCER: &str = env!("CARGO_BIN_EXE_fallwell-balancer");
const AGENT: &str = env!("CARGO_BIN_EXE_fallwell-agent");
const STANDIN: &str = env!("CARGO_BIN_EXE_fallwell-standin");

/// The host name in the test certificates.
pub const SERVER_NAME: &str = "service.test";

/// Timeout of a request to the API of a process or stand-in.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Counter that gives each fleet of this process a block of addresses of its own.
static NEXT_BLOCK: AtomicU32 = AtomicU32::new(0);

/// The loopback addresses `127.X.Y.*`, reserved for one fleet by a bound socket.
struct AddressBlock {
  _reservation: UdpSocket,
  second_octet: u8,
  third_octet: u8,
}

impl AddressBlock {
  fn reserve() -> Self {
    for _ in 0..2000 {
      let number = std::process::id().wrapping_mul(37) + NEXT_BLOCK.fetch_add(1, Ordering::Relaxed);
      let (second_octet, third_octet) = (1 + (number / 250 % 250) as u8, 1 + (number % 250) as u8);
      let address = Ipv4Addr::new(127, second_octet, third_octet, 1);
      if let Ok(reservation) = UdpSocket::bind((address, 6999)) {
        return Self {
          _reservation: reservation,
          second_octet,
          third_octet,
        };
      }
    }
    panic!("no free block of loopback addresses");
  }

  fn ip(&self, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(
      127,
      self.second_octet,
      self.third_octet,
      host,
    ))
  }

  fn socket_address(&self, host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(self.ip(host), port)
  }
}

/// The processes of a test: a platform, a fabric, balancers, agents and upstreams.
///
/// Targets, agents and upstreams are identified by service and target number.
pub struct Fleet {
  agents: BTreeMap<(u16, u32), Child>,
  balancer_count: u8,
  balancers: BTreeMap<u8, Child>,
  certificate: CertificateDer<'static>,
  connections: u32,
  deadline_ms: u64,
  directory: PathBuf,
  drain_s: u64,
  fabric: Option<Child>,
  generation: u64,
  keyring: config::Keyring,
  metrics: Option<SocketAddr>,
  addresses: AddressBlock,
  platform: Option<Child>,
  relayed: bool,
  services: BTreeMap<u16, Vec<u32>>,
  slots: u32,
  /// Factor on the working time of the upstreams with the number `slow_target`.
  slowness: u32,
  slow_target: Option<u32>,
  upstreams: BTreeMap<(u16, u32), Child>,
  without_agents: bool,
  without_routes: bool,
  workers: usize,
}

impl Fleet {
  /// Reserves addresses and a directory; [`Self::start`] starts the processes.
  pub fn new() -> Self {
    let addresses = AddressBlock::reserve();
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!(
      "fleet-{}-{}",
      addresses.second_octet, addresses.third_octet
    ));
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).expect("directory");
    Self {
      agents: BTreeMap::new(),
      balancer_count: 2,
      balancers: BTreeMap::new(),
      certificate: create_certificate(&directory),
      connections: 2000,
      deadline_ms: 10_000,
      directory,
      drain_s: 30,
      fabric: None,
      generation: 1,
      keyring: config::Keyring {
        current: 1,
        secrets: vec![config::Secret {
          id: 1,
          value: "000102030405060708090a0b0c0d0e0f".into(),
        }],
      },
      metrics: None,
      addresses,
      platform: None,
      relayed: false,
      services: BTreeMap::new(),
      slots: 5,
      slowness: 1,
      slow_target: None,
      upstreams: BTreeMap::new(),
      without_agents: false,
      without_routes: false,
      workers: 1,
    }
  }

  /// Sets how many balancers are started.
  pub fn balancers(mut self, count: u8) -> Self {
    self.balancer_count = count;
    self
  }

  /// Sets the connection limit of each target.
  pub fn connections(mut self, count: u32) -> Self {
    self.connections = count;
    self
  }

  /// Sets the deadline of requests, which covers their time in the queue.
  pub fn deadline_ms(mut self, milliseconds: u64) -> Self {
    self.deadline_ms = milliseconds;
    self
  }

  /// Sets how long a target that is draining keeps its flows.
  pub fn drain_s(mut self, seconds: u64) -> Self {
    self.drain_s = seconds;
    self
  }

  /// Relays the control traffic, the tunnels and the balancers' reads of the platform through the
  /// fabric, which can then inject faults there.
  pub fn relayed(mut self) -> Self {
    self.relayed = true;
    self
  }

  /// Sets the `StatsD` server of the balancers.
  pub fn metrics(mut self, server: SocketAddr) -> Self {
    self.metrics = Some(server);
    self
  }

  /// Publishes services without routes, which disables the hand-off of requests between targets.
  pub fn without_routes(mut self) -> Self {
    self.without_routes = true;
    self
  }

  /// Sets how many requests each target runs at once.
  pub fn slots(mut self, slots: u32) -> Self {
    self.slots = slots;
    self
  }

  /// Multiplies the working time of the upstreams with this target number.
  pub fn slow_upstream(mut self, target: u32, factor: u32) -> Self {
    self.slow_target = Some(target);
    self.slowness = factor;
    self
  }

  /// Starts neither agents nor upstreams; a benchmark may bind the agents' addresses itself.
  pub fn without_agents(mut self) -> Self {
    self.without_agents = true;
    self
  }

  /// Adds a service with targets 1 to `targets`.
  pub fn service(mut self, id: u16, targets: u32) -> Self {
    self.services.insert(id, (1..=targets).collect());
    self
  }

  /// Starts all processes and waits until they are ready.
  pub async fn start(mut self) -> Self {
    let listen = self.platform_address().to_string();
    self.platform = Some(self.start_standin(&["platform", "--listen", &listen]));
    self.wait_for_platform().await;
    self.start_fabric();
    let keyring = json!(self.keyring).to_string();
    self.put("keyring", &keyring).await;
    for number in 1..=self.balancer_count {
      self.publish_balancer(number, Presence::Live).await;
    }
    for service in self.services.keys().copied().collect::<Vec<_>>() {
      self.publish(service).await;
    }
    for number in 1..=self.balancer_count {
      self.start_balancer(number);
    }
    if !self.without_agents {
      for (service, targets) in self.services.clone() {
        for target in targets {
          self.start_target(service, target);
        }
      }
    }
    self.wait_all_ready().await;
    self
  }
}

/// Routes for the requests that the upstream stand-in serves.
fn upstream_routes(deadline_ms: u64) -> Vec<config::Route> {
  let route = |method: &str, path: &str| config::Route {
    deadline_ms,
    method: method.into(),
    path: path.into(),
    ..config::Route::default()
  };
  vec![
    config::Route {
      feed: true,
      ..route("GET", "/feed")
    },
    config::Route {
      repeatable: true,
      ..route("GET", "/")
    },
    config::Route {
      weight: 2,
      ..route("POST", "/confirm")
    },
    route("POST", "/"),
  ]
}

fn debug_logging() -> fallwell::logging::Settings {
  fallwell::logging::Settings {
    level: "debug".into(),
    ..fallwell::logging::Settings::default()
  }
}

/// The last octet of the address of an agent and its upstream: 15 numbers for each service.
fn agent_host(service: u16, target: u32) -> u8 {
  70 + service as u8 * 15 + target as u8
}

/// Reads JSON from the HTTP API of a process or stand-in.
pub async fn get(api: SocketAddr, path: &str) -> Value {
  let (_, body) = web::request(api, Method::GET, path, "", CALL_TIMEOUT)
    .await
    .expect("API answers");
  serde_json::from_slice(&body).expect("JSON")
}

/// Writes a self-signed certificate and its key into the directory.
fn create_certificate(directory: &std::path::Path) -> CertificateDer<'static> {
  let certified_key =
    rcgen::generate_simple_self_signed([SERVER_NAME.to_owned()]).expect("certificate");
  fs::write(directory.join("certificate.pem"), certified_key.cert.pem()).expect("certificate file");
  fs::write(
    directory.join("key.pem"),
    certified_key.signing_key.serialize_pem(),
  )
  .expect("key file");
  certified_key.cert.der().clone()
}
