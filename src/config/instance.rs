use {
  crate::id,
  serde::{Deserialize, Serialize},
  std::net::SocketAddr,
};

/// An entry of the platform's list of instances, which lags behind reality.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
  /// Where its peers reach it (TCP).
  pub control: SocketAddr,
  /// The data centre that it stands in.
  pub data_centre: String,
  /// The instance's id, the same as in its key.
  pub id: id::Instance,
  /// Whether it is live or leaving.
  pub presence: Presence,
  /// What it does.
  pub role: Role,
  /// Where frames reach it (UDP).
  pub tunnel: SocketAddr,
}

/// What the list says of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
  /// It goes soon.
  Leaving,
  /// It serves.
  Live,
}

/// What an instance does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
  /// Stands beside an upstream.
  Agent,
  /// Takes callers' packets from the fabric.
  Balancer,
}
