use crate::{Code, membership::Member};

/// What a worker saw since its last report.
#[derive(Clone, Debug, Default)]
pub struct Report {
  /// Targets that frames came from.
  pub heard: Vec<Member>,
  /// Packets from callers.
  pub packets_in: u64,
  /// Packets to callers.
  pub packets_out: u64,
  /// Targets that refused a frame.
  pub refused: Vec<(Member, Code)>,
  /// Targets that frames went to.
  pub sent: Vec<Member>,
  /// The version of the snapshot that it routes by.
  pub version: u64,
  /// The worker's number.
  pub worker: usize,
}
