use {
  crate::id,
  serde::{Deserialize, Serialize},
  std::net::SocketAddr,
};

/// One back end of a service: an upstream and the agent beside it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
  /// Where frames reach its agent (UDP).
  pub agent: SocketAddr,
  /// How many connections it may hold.
  #[serde(default = "connections")]
  pub connections: u32,
  /// The target's id, never used again for another one within the service.
  pub id: id::Target,
  /// Whether the operator wants it to leave.
  #[serde(default)]
  pub leaving: bool,
  /// How many requests its upstream runs at once.
  #[serde(default = "slots")]
  pub slots: u32,
}

fn connections() -> u32 {
  2000
}

fn slots() -> u32 {
  5
}
