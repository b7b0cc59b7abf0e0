use {
  super::{check, is_local},
  crate::{code::Fault, id, logging},
  serde::{Deserialize, Serialize},
  std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Settings of `fallwell-balancer`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Balancer {
  /// Where the resource API listens (TCP); loopback only.
  pub api: SocketAddr,
  /// The IP number that its sockets bind, where it differs from the listed ones.
  pub bind: Option<IpAddr>,
  /// Where its peers reach it (TCP), as the platform lists it.
  pub control: SocketAddr,
  /// The data centre that it stands in.
  pub data_centre: String,
  /// Its id on the platform's list.
  pub instance: id::Instance,
  /// How long it goes on after it was told to stop, in milliseconds, while the fabric learns.
  pub linger_ms: u64,
  /// How it logs.
  pub log: logging::Settings,
  /// Where metrics are sent (`StatsD` over UDP).
  pub metrics: Option<SocketAddr>,
  /// Some peers, for a start without a list: their control addresses.
  pub peers: Vec<SocketAddr>,
  /// The platform's service (HTTP).
  pub platform: SocketAddr,
  /// How many balancers of a data centre read from the platform.
  pub readers: usize,
  /// Where frames reach it (UDP), as the platform lists it.
  pub tunnel: SocketAddr,
  /// How many threads carry packets.
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
  /// Checks what the types alone do not.
  pub fn check(&self) -> Result<(), Fault> {
    check(
      is_local(self.api),
      "found an `api` address that others reach, expected loopback",
    )?;
    check(
      (1..=256).contains(&self.workers),
      "found `workers` out of range, expected 1 to 256",
    )?;
    check(
      (1..=16).contains(&self.readers),
      "found `readers` out of range, expected 1 to 16",
    )
  }
}
