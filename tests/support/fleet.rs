//! The processes of a test.

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

/// The name that the certificates are made for.
pub const NAME: &str = "service.test";

const CALL_MAX: Duration = Duration::from_secs(5);

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Two octets that no other fleet uses now, held by a socket.
struct Net {
  _held: UdpSocket,
  octets: (u8, u8),
}

impl Net {
  fn claim() -> Self {
    for _ in 0..2000 {
      let number = std::process::id().wrapping_mul(37) + NEXT.fetch_add(1, Ordering::Relaxed);
      let octets = (1 + (number / 250 % 250) as u8, 1 + (number % 250) as u8);
      let address = SocketAddr::new(ip(octets, 1), 6999);
      if let Ok(held) = UdpSocket::bind(address) {
        return Self {
          _held: held,
          octets,
        };
      }
    }
    panic!("no free addresses");
  }

  fn at(&self, host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(ip(self.octets, host), port)
  }
}

fn ip(octets: (u8, u8), host: u8) -> IpAddr {
  IpAddr::V4(Ipv4Addr::new(127, octets.0, octets.1, host))
}

/// The processes of a test: a platform, a fabric, balancers, agents and upstreams.
pub struct Fleet {
  agents: BTreeMap<(u16, u32), Child>,
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
  net: Net,
  platform: Option<Child>,
  relayed: bool,
  services: BTreeMap<u16, Vec<u32>>,
  slots: u32,
  slow: Option<(u32, u32)>,
  upstreams: BTreeMap<(u16, u32), Child>,
  wanted_balancers: u8,
  without_agents: bool,
  without_routes: bool,
  workers: usize,
}

impl Fleet {
  /// A fleet that is not started yet.
  pub fn new() -> Self {
    let net = Net::claim();
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
      .join(format!("fleet-{}-{}", net.octets.0, net.octets.1));
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).expect("directory");
    Self {
      agents: BTreeMap::new(),
      balancers: BTreeMap::new(),
      certificate: certificate(&directory),
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
      net,
      platform: None,
      relayed: false,
      services: BTreeMap::new(),
      slots: 5,
      slow: None,
      upstreams: BTreeMap::new(),
      wanted_balancers: 2,
      without_agents: false,
      without_routes: false,
      workers: 1,
    }
  }

  /// How many balancers it starts with.
  pub fn balancers(mut self, count: u8) -> Self {
    self.wanted_balancers = count;
    self
  }

  /// How many connections each target may hold.
  pub fn connections(mut self, count: u32) -> Self {
    self.connections = count;
    self
  }

  /// How long a request may wait and run.
  pub fn deadline_ms(mut self, milliseconds: u64) -> Self {
    self.deadline_ms = milliseconds;
    self
  }

  /// How long leaving targets keep their flows.
  pub fn drain_s(mut self, seconds: u64) -> Self {
    self.drain_s = seconds;
    self
  }

  /// Puts the fault-injecting fabric between all processes, not only before the balancers.
  pub fn relayed(mut self) -> Self {
    self.relayed = true;
    self
  }

  /// Where the processes send their metrics.
  pub fn metrics(mut self, server: SocketAddr) -> Self {
    self.metrics = Some(server);
    self
  }

  /// States nothing of the requests, so that none is handed from target to target.
  pub fn without_routes(mut self) -> Self {
    self.without_routes = true;
    self
  }

  /// How many requests each target runs at once.
  pub fn slots(mut self, slots: u32) -> Self {
    self.slots = slots;
    self
  }

  /// Makes a target's upstream work so many times as long.
  pub fn slow(mut self, target: u32, times: u32) -> Self {
    self.slow = Some((target, times));
    self
  }

  /// Starts no agents: something else stands at their addresses.
  pub fn without_agents(mut self) -> Self {
    self.without_agents = true;
    self
  }

  /// A service with targets 1 to `targets`.
  pub fn service(mut self, id: u16, targets: u32) -> Self {
    self.services.insert(id, (1..=targets).collect());
    self
  }

  /// Starts all and waits until each is ready.
  pub async fn start(mut self) -> Self {
    let listen = self.platform_address().to_string();
    self.platform = Some(self.standin(&["platform", "--listen", &listen]));
    self.wait_for_platform().await;
    self.start_fabric();
    let keyring = json!(self.keyring).to_string();
    self.put("keyring", &keyring).await;
    for number in 1..=self.wanted_balancers {
      self.list_balancer(number, Presence::Live).await;
    }
    for service in self.services.keys().copied().collect::<Vec<_>>() {
      self.publish(service).await;
    }
    for number in 1..=self.wanted_balancers {
      self.start_balancer(number);
    }
    if !self.without_agents {
      for (service, targets) in self.services.clone() {
        for target in targets {
          self.start_target(service, target);
        }
      }
    }
    self.ready().await;
    self
  }
}

/// What the operator of the tests says of the upstream stand-in's requests.
fn routes(deadline_ms: u64) -> Vec<config::Route> {
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

fn logging() -> fallwell::logging::Settings {
  fallwell::logging::Settings {
    level: "debug".into(),
    ..fallwell::logging::Settings::default()
  }
}

/// Agents stand at 81 to 110, twenty to a service; relayed ones are listed 60 higher.
fn agent_host(service: u16, target: u32) -> u8 {
  70 + service as u8 * 15 + target as u8
}

/// Reads JSON from a process's API.
pub async fn get(api: SocketAddr, path: &str) -> Value {
  let (_, body) = web::request(api, Method::GET, path, "", CALL_MAX)
    .await
    .expect("api answers");
  serde_json::from_slice(&body).expect("json")
}

fn certificate(directory: &std::path::Path) -> CertificateDer<'static> {
  let made = rcgen::generate_simple_self_signed([NAME.to_owned()]).expect("certificate");
  fs::write(directory.join("certificate.pem"), made.cert.pem()).expect("certificate file");
  fs::write(directory.join("key.pem"), made.signing_key.serialize_pem()).expect("key file");
  made.cert.der().clone()
}
