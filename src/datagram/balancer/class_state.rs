use serde::Serialize;

/// The state of a class at the admission queue, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ClassState {
  /// How many callers have flows that wait.
  pub callers: usize,
  /// The placements per second.
  pub drain_rate: f64,
  /// The placements per second that were too late for their objective.
  pub late_rate: f64,
  /// How many flows may wait; none if they are held without a limit.
  pub limit: Option<f64>,
  /// Whether the class is overloaded.
  pub overloaded: bool,
  /// How many flows wait.
  pub queued: usize,
}
