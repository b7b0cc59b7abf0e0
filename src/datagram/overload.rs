use serde::{Deserialize, Serialize};

/// How new flows are handled while targets can't serve all of them in time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Overload {
  /// Whether balancers and agents share the knowledge of their queues, reject flows that can't be
  /// served, and place flows by the measured speeds of targets.
  pub enabled: bool,
}
