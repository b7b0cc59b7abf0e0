use {
  super::{ensure, is_loopback},
  crate::{code::Fault, id, logging},
  serde::{Deserialize, Serialize},
  std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Settings of `fallwell-balancer`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Balancer {
  /// The address of the resource API (HTTP over TCP); loopback only.
  pub api: SocketAddr,
  /// The local IP address to bind instead of those in the addresses, for instance behind NAT.
  pub bind: Option<IpAddr>,
  /// The control address that peers connect to (TCP), as registered on the platform.
  pub control: SocketAddr,
  /// The name of its data centre.
  pub data_centre: String,
  /// Its instance id, as registered on the platform.
  pub instance: id::Instance,
  /// How long it still forwards packets after a stop signal, in milliseconds, until the fabric
  /// routes around it.
  pub linger_ms: u64,
  /// Settings of the log.
  pub log: logging::Settings,
  /// The server that metrics are sent to (`StatsD` over UDP); without it, none are sent.
  pub metrics: Option<SocketAddr>,
  /// The control addresses of some balancers, used at start until the instances are known.
  pub peers: Vec<SocketAddr>,
  /// The address of the platform (HTTP).
  pub platform: SocketAddr,
  /// The number of balancers per data centre that watch the platform.
  pub readers: usize,
  /// The address that receives frames (UDP), as registered on the platform.
  pub tunnel: SocketAddr,
  /// The number of threads that forward packets.
  pub workers: usize,
}

impl Default for Balancer {
  fn default() -> Self {
    let local = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
    Self {
      api: local(7300),
      bind: None,
      control: local(7100),
      data_centre: "default".into(),
      instance: id::Instance(1),
      linger_ms: 2000,
      log: logging::Settings::default(),
      metrics: None,
      peers: Vec::new(),
      platform: local(7000),
      readers: 2,
      tunnel: local(7200),
      workers: 1,
    }
  }
}

impl Balancer {
  /// Checks the values' ranges; fails at the first invalid one.
  pub fn check(&self) -> Result<(), Fault> {
    ensure(
      is_loopback(self.api),
      "found an `api` address that others reach, expected loopback",
    )?;
    ensure(
      (1..=256).contains(&self.workers),
      "found `workers` out of range, expected 1 to 256",
    )?;
    ensure(
      (1..=16).contains(&self.readers),
      "found `readers` out of range, expected 1 to 16",
    )
  }
}
