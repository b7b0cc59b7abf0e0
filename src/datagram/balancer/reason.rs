use std::fmt::{self, Display, Formatter};

/// Why a flow that was not opened is given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
  /// All data centres with targets of its service are closed.
  Closed,
  /// A more urgent flow takes its place in the queue.
  Displaced,
  /// Its caller would give up before an answer reached it.
  Expired,
  /// The queue holds as many flows as all targets can answer while callers go on trying.
  Full,
  /// It is too late for its objective, and the queue holds as many late flows as will be placed.
  Late,
  /// Its service has no target that accepts new flows.
  NoTarget,
  /// The queue holds as many flows as can be answered within their objective.
  OnTime,
  /// Its route was removed.
  RouteRemoved,
  /// No service of its route accepts new flows.
  Unroutable,
}

impl Display for Reason {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(match self {
      Self::Closed => "data centres are closed",
      Self::Displaced => "displaced",
      Self::Expired => "expired",
      Self::Full => "queue is full",
      Self::Late => "late limit",
      Self::NoTarget => "no target accepts flows",
      Self::OnTime => "on-time limit",
      Self::RouteRemoved => "route was removed",
      Self::Unroutable => "no service accepts flows",
    })
  }
}
