use {
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// What the operator states of a service's targets that have just started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Warmup {
  /// How long a target is cold.
  pub lasts: Duration,
  /// How many new flows a cold target may be given in any second.
  pub per_second: u16,
}
