use {
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// The warm-up (slow start) of a service's targets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Warmup {
  /// How long a target warms up after its start.
  pub lasts: Duration,
  /// How many new flows a target may be given per second during its warm-up.
  pub per_second: u16,
}
