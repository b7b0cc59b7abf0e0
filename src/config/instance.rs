use {
  crate::id,
  serde::{Deserialize, Serialize},
  std::net::SocketAddr,
};

/// An entry of the platform's list of instances. It may be out of date: a listed process may have
/// stopped, and a running one may be missing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
  /// The address at which it accepts calls from peers (TCP).
  pub control: SocketAddr,
  /// The name of the data centre that it is in.
  pub data_centre: String,
  /// The instance's id, equal to the one in its key.
  pub id: id::Instance,
  /// Whether it is about to stop.
  pub presence: Presence,
  /// Which program it runs.
  pub role: Role,
  /// The address at which it receives frames (UDP).
  pub tunnel: SocketAddr,
}

/// The state of an instance according to the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
  /// It is about to stop and gets no new flows.
  Leaving,
  /// It is in service.
  Live,
}

/// The program that an instance runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
  /// Runs on the same instance as an upstream and forwards flows and requests to it.
  Agent,
  /// Receives callers' packets from the fabric and forwards them to agents.
  Balancer,
}
