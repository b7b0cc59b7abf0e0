use std::net::SocketAddrV4;

/// The flows of one class that wait in one balancer for a slot of the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bid {
  /// The balancer.
  pub balancer: SocketAddrV4,
  /// The number of callers that wait there.
  pub callers: u16,
  /// The number of flows that wait there.
  pub flows: u16,
  /// The number of slots that are granted to it and not used yet.
  pub granted: u16,
  /// The priority of the class; 0 is the highest.
  pub priority: u8,
}

impl Bid {
  /// Whether the balancer could use another slot.
  pub(super) fn wants(&self) -> bool {
    self.flows > self.granted
  }

  /// The number of callers that no slot is granted for.
  pub(super) fn weight(&self) -> u16 {
    self.callers.saturating_sub(self.granted)
  }
}
