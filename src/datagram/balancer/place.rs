use {
  super::queue::FlowClass,
  crate::datagram::{Codec, Head, frame::Handling, service::Digest},
  smallvec::SmallVec,
  std::{net::SocketAddrV4, time::Instant},
};

/// The agents that an opening packet was sent to.
pub type Tried = SmallVec<[SocketAddrV4; 4]>;

/// Where a flow is, and how far it has got.
#[derive(Clone, Debug)]
pub struct Place {
  /// The address of the agent that owns it or was sent its opening packet; the balancer's own if
  /// the flow is queued or dead.
  pub agent: SocketAddrV4,
  /// When the last packet of the flow came.
  pub last_packet: Instant,
  /// The service that the flow belongs to, even if its address is routed elsewhere meanwhile.
  pub service: Digest,
  /// How far the flow has got.
  pub state: State,
}

impl Place {
  /// Whether the flow is open at an agent, as far as this balancer knows.
  pub fn is_open_at(&self, agent: SocketAddrV4) -> bool {
    self.agent == agent && matches!(self.state, State::Open)
  }
}

/// How far a flow has got.
#[derive(Clone, Debug)]
pub enum State {
  /// The opening packet was sent to a target and is not answered.
  Opening(Opening),
  /// The target has accepted it, as far as this balancer knows.
  Open,
  /// The opening packet is in the admission queue.
  Queued(FlowClass, Opening),
  /// No agent owns it; it was reset.
  Dead,
}

/// An opening packet that no target has accepted yet.
#[derive(Clone, Debug)]
pub struct Opening {
  /// The number of the caller's last transmission of the packet that came here, which
  /// `Head::acknowledges` gives; 0 is the first.
  pub attempt: u32,
  /// When the next target is tried.
  pub deadline: Instant,
  /// When the caller sent it first, computed from the number of the transmission.
  pub first: Instant,
  /// How the agent that it was sent to is to open the flow.
  pub handling: Handling,
  /// Whether the flow may be open already: a target did not answer, or another balancer may have
  /// received a transmission.
  pub may_be_open: bool,
  /// The bytes of the packet.
  pub packet: SmallVec<[u8; 40]>,
  /// When this balancer received it.
  pub received: Instant,
  /// When it was last sent to a target.
  pub sent: Instant,
  /// The agents it was sent to.
  pub tried: Tried,
}

impl Opening {
  /// An opening packet that was just received and not sent to any target.
  pub fn new<C: Codec>(now: Instant, head: &Head, packet: &[u8]) -> Self {
    Self {
      attempt: head.acknowledges,
      deadline: now,
      first: now
        .checked_sub(C::retransmit_after(head.acknowledges))
        .unwrap_or(now),
      handling: Handling::Open,
      may_be_open: head.acknowledges > 0,
      packet: SmallVec::from_slice(packet),
      received: now,
      sent: now,
      tried: Tried::new(),
    }
  }

  /// Records a retransmission. If one before it has not come here, it may have opened the flow
  /// through another balancer.
  pub fn record_retransmission(&mut self, attempt: u32, packet: SmallVec<[u8; 40]>) {
    self.may_be_open |= attempt > self.attempt + 1;
    self.attempt = self.attempt.max(attempt);
    self.packet = packet;
  }
}
