use {
  super::{Flow, Head},
  crate::Code,
  std::time::Duration,
};

/// Reads and writes the packets of flows. Payloads are never changed.
pub trait Codec: Clone + Send + 'static {
  /// How many times a caller sends an opening packet in all; each attempt is numbered
  /// (`Head::acknowledges`).
  const OPEN_ATTEMPTS: u32;

  /// The time from a caller's first opening packet to its first retransmission. The interval
  /// doubles with each attempt.
  const INITIAL_RTO: Duration;

  /// The time from a caller's first opening packet until it gives up opening the flow.
  const CONNECT_TIMEOUT: Duration;

  /// The time from a caller's first opening packet to a later attempt, counted from 0.
  fn retransmit_after(attempt: u32) -> Duration {
    Self::INITIAL_RTO * ((1 << attempt.min(Self::OPEN_ATTEMPTS)) - 1)
  }

  /// The time from a caller's first opening packet by which another attempt would have been
  /// received if the caller were still trying: one interval after the last attempt.
  fn last_attempt_until() -> Duration {
    Self::retransmit_after(Self::OPEN_ATTEMPTS - 1) + Self::INITIAL_RTO
  }

  /// Parses a packet from a caller. Fails if it is malformed.
  fn read_from_caller(&self, packet: &[u8]) -> Result<Head, Code>;

  /// Parses a packet from an upstream, written or returned by it. Fails if it is malformed.
  fn read_from_upstream(&self, packet: &[u8]) -> Result<Head, Code>;

  /// Restores a packet that an upstream returned to what the caller sent.
  fn restore(&self, packet: &mut [u8]);

  /// Appends a packet that resets a flow for its caller, whose latest acknowledgement number is
  /// `acknowledges`.
  fn write_reset(&self, flow: &Flow, acknowledges: u32, out: &mut Vec<u8>);
}
