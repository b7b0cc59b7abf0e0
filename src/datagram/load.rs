use serde::{Deserialize, Serialize};

/// How busy a target is, by its agent's own count.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
  /// The mean bytes of a request and its answer.
  pub bytes: u32,
  /// Whether the upstream does not answer at all.
  pub down: bool,
  /// Flows that are open.
  pub flows: u16,
  /// The time that the upstream takes for a request that did not wait, in milliseconds.
  pub service_ms: u16,
  /// Requests that the upstream has and has not answered.
  pub work: u16,
}
