use {
  crate::id,
  serde::{Deserialize, Serialize},
  std::net::SocketAddr,
};

/// A target of a service: an upstream and the agent on the same instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
  /// The address of its agent: UDP for frames, TCP for requests that peers hand off.
  pub agent: SocketAddr,
  /// The maximum number of connections that it accepts.
  #[serde(default = "connections")]
  pub connections: u32,
  /// The target's id, which must not be reused for another target of the service.
  pub id: id::Target,
  /// Whether it is to take no new flows and close its old ones within `drain_s`.
  #[serde(default)]
  pub leaving: bool,
  /// The maximum number of requests that its upstream runs concurrently.
  #[serde(default = "slots")]
  pub slots: u32,
}

fn connections() -> u32 {
  2000
}

fn slots() -> u32 {
  5
}
