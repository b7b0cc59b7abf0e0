use super::{
  queue::{FlowClass, Queued},
  reason::Reason,
};

/// What becomes of a flow that arrives at the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
  /// It waits in place of this flow, which is rejected.
  Displaces(FlowClass, Queued),
  /// It is rejected.
  Rejected(Reason),
  /// It waits.
  Waits,
}
