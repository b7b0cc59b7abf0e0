use {
  super::{check, is_local},
  crate::{code::Fault, id, logging},
  serde::{Deserialize, Serialize},
  std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
  },
};

/// Settings of `fallwell-agent`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Agent {
  /// Where the resource API listens (TCP); loopback only.
  pub api: SocketAddr,
  /// The IP number that its sockets bind, where it differs from the listed ones.
  pub bind: Option<IpAddr>,
  /// The file with the certificate chain (PEM), read again on SIGHUP.
  pub certificate: PathBuf,
  /// Where its peers reach it (TCP), as the platform lists it.
  pub control: SocketAddr,
  /// The data centre that it stands in.
  pub data_centre: String,
  /// Its id on the platform's list.
  pub instance: id::Instance,
  /// The file with the private key (PEM), read again on SIGHUP.
  pub key: PathBuf,
  /// How it logs.
  pub log: logging::Settings,
  /// Where metrics are sent (`StatsD` over UDP).
  pub metrics: Option<SocketAddr>,
  /// Some balancers, for a start without a list: their control addresses.
  pub peers: Vec<SocketAddr>,
  /// The platform's service (HTTP), asked only while no balancer can be.
  pub platform: SocketAddr,
  /// The largest request body, in bytes.
  pub request_max: u64,
  /// The service whose target it is.
  pub service: id::Service,
  /// The target that it is.
  pub target: id::Target,
  /// Where frames reach it (UDP), as the service's document lists it.
  pub tunnel: SocketAddr,
  /// The upstream beside it (HTTP/1.1 over TCP).
  pub upstream: SocketAddr,
}

impl Default for Agent {
  fn default() -> Self {
    let local = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
    Self {
      api: local(7301),
      bind: None,
      certificate: "certificate.pem".into(),
      control: local(7101),
      data_centre: "default".into(),
      instance: id::Instance(1001),
      key: "key.pem".into(),
      log: logging::Settings::default(),
      metrics: None,
      peers: Vec::new(),
      platform: local(7000),
      request_max: 16 << 20,
      service: id::Service(1),
      target: id::Target(1),
      tunnel: local(7201),
      upstream: local(8080),
    }
  }
}

impl Agent {
  /// Checks what the types alone do not.
  pub fn check(&self) -> Result<(), Fault> {
    check(
      is_local(self.api),
      "found an `api` address that others reach, expected loopback",
    )?;
    check(
      self.request_max <= 1 << 30,
      "found `request_max` out of range, expected 1073741824 at most",
    )
  }
}
