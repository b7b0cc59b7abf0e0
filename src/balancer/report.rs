use crate::{Code, membership::Member};

/// What a worker observed since its last report, for the controller.
#[derive(Clone, Debug, Default)]
pub struct WorkerReport {
  /// Targets that frames were received from.
  pub heard: Vec<Member>,
  /// The number of packets from callers.
  pub packets_in: u64,
  /// The number of packets to callers.
  pub packets_out: u64,
  /// Targets that refused a frame, with the result code of each refusal.
  pub refused: Vec<(Member, Code)>,
  /// Targets that frames were sent to.
  pub sent: Vec<Member>,
  /// The version of the snapshot that the worker routes by; 0 before the first one.
  pub version: u64,
  /// The worker's number, from 0.
  pub worker: usize,
}
