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
  /// It was rejected, but could not be reset: a retransmission may have gone to another balancer.
  /// It is reset if the next one comes here.
  Rejected(Opening),
  /// No agent owns it; it was reset.
  Dead,
}

impl State {
  /// The opening packet of a flow that is not open, as far as this balancer knows.
  pub fn opening_mut(&mut self) -> Option<&mut Opening> {
    match self {
      Self::Opening(opening) | Self::Queued(_, opening) | Self::Rejected(opening) => Some(opening),
      Self::Dead | Self::Open => None,
    }
  }
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
  /// When this balancer received the last transmission.
  pub last_received: Instant,
  /// Whether another balancer may have received a transmission, and so have opened the flow.
  pub may_be_open_elsewhere: bool,
  /// The bytes of the packet.
  pub packet: SmallVec<[u8; 40]>,
  /// When this balancer received its first transmission.
  pub received: Instant,
  /// When it was last sent to a target.
  pub sent: Instant,
  /// The agents it was sent to.
  pub tried: Tried,
  /// The agents that may have opened the flow: they have not answered a transmission.
  pub unanswered: Tried,
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
      last_received: now,
      may_be_open_elsewhere: head.acknowledges > 0,
      packet: SmallVec::from_slice(packet),
      received: now,
      sent: now,
      tried: Tried::new(),
      unanswered: Tried::new(),
    }
  }

  /// Whether a target may have opened the flow.
  pub fn may_be_open(&self) -> bool {
    self.may_be_open_elsewhere || !self.unanswered.is_empty()
  }

  /// Whether the caller may have sent a retransmission that has not come here. A packet may take up
  /// to half of the interval between two transmissions to get here.
  pub fn may_have_missed<C: Codec>(&self, now: Instant) -> bool {
    let next = C::retransmit_after(self.attempt + 1);
    let interval = next.saturating_sub(C::retransmit_after(self.attempt));
    let age = now.saturating_duration_since(self.last_received);
    self.attempt + 1 < C::OPEN_ATTEMPTS && age >= interval / 2
  }

  /// Records that an agent may have opened the flow.
  pub fn record_unanswered(&mut self, agent: SocketAddrV4) {
    if !self.unanswered.contains(&agent) {
      self.unanswered.push(agent);
    }
  }

  /// Records that an agent has not opened the flow.
  pub fn record_denial(&mut self, agent: SocketAddrV4) {
    self.unanswered.retain(|unanswered| *unanswered != agent);
  }

  /// Records a retransmission, which is `later`. If one before it has not come here, it may have
  /// opened the flow through another balancer. If it `is_stale`, it may be older than it seems, so
  /// that the next one may have been sent already.
  pub fn record_retransmission(&mut self, later: &Self, is_stale: bool) {
    self.may_be_open_elsewhere |= later.attempt > self.attempt + 1;
    self.attempt = self.attempt.max(later.attempt);
    if !is_stale {
      self.last_received = later.last_received;
    }
    self.packet.clone_from(&later.packet);
  }
}
