use {
  super::{ensure, is_loopback},
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
  /// The address of the resource API (HTTP over TCP); loopback only.
  pub api: SocketAddr,
  /// The local IP address to bind instead of those in the addresses, for instance behind NAT.
  pub bind: Option<IpAddr>,
  /// The file with the certificate chain (PEM), reloaded on SIGHUP.
  pub certificate: PathBuf,
  /// The control address that peers connect to (TCP), as registered on the platform.
  pub control: SocketAddr,
  /// The name of its data centre.
  pub data_centre: String,
  /// Its instance id, as registered on the platform.
  pub instance: id::Instance,
  /// The file with the private key (PEM), reloaded on SIGHUP.
  pub key: PathBuf,
  /// Settings of the log.
  pub log: logging::Settings,
  /// The server that metrics are sent to (`StatsD` over UDP); without it, none are sent.
  pub metrics: Option<SocketAddr>,
  /// The control addresses of some balancers, used at start until the instances are known.
  pub peers: Vec<SocketAddr>,
  /// The address of the platform (HTTP), used only while no balancer can be reached.
  pub platform: SocketAddr,
  /// The largest request body, in bytes.
  pub request_max: u64,
  /// The service that its target belongs to.
  pub service: id::Service,
  /// The id of its target.
  pub target: id::Target,
  /// The address that receives frames (UDP), as stated in the service's document.
  pub tunnel: SocketAddr,
  /// The upstream that it forwards requests to (HTTP/1.1 over TCP).
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
  /// Checks the values' ranges; fails at the first invalid one.
  pub fn check(&self) -> Result<(), Fault> {
    ensure(
      is_loopback(self.api),
      "found an `api` address that others reach, expected loopback",
    )?;
    ensure(
      self.request_max <= 1 << 30,
      "found `request_max` out of range, expected 1073741824 at most",
    )
  }
}
