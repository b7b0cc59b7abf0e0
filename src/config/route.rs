use serde::{Deserialize, Serialize};

/// The operator's settings for requests with one method and path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Route {
  /// How long a request may wait and run before its answer begins, in milliseconds.
  pub deadline_ms: u64,
  /// Whether the answer is a long-running stream. Such a request takes no slot, and an agent that
  /// is busy or leaving does not hand it off, since it would then depend on two targets.
  pub feed: bool,
  /// The HTTP method, such as `POST`.
  pub method: String,
  /// The path prefix; it starts with `/`.
  pub path: String,
  /// Whether a request may safely run more than once, so that it is retried after a failure.
  pub repeatable: bool,
  /// The relative cost of a request, for comparing the work of targets.
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
