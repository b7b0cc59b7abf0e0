use serde::{Deserialize, Serialize};

/// What the operator says of the requests of one method under one path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Route {
  /// How long a request may wait and run, in milliseconds.
  pub deadline_ms: u64,
  /// Whether its answer goes on for long: it takes no slot, and is never handed to another target,
  /// since it would then end with either.
  pub feed: bool,
  /// The method, such as `POST`.
  pub method: String,
  /// The prefix of the path.
  pub path: String,
  /// Whether a request may be run twice. Unmarked means not.
  pub repeatable: bool,
  /// What it counts in imbalance; a basket confirmation counts 2.
  pub weight: u32,
}

impl Default for Route {
  fn default() -> Self {
    Self {
      deadline_ms: 10_000,
      feed: false,
      method: "GET".into(),
      path: "/".into(),
      repeatable: false,
      weight: 1,
    }
  }
}
