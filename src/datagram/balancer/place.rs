use {
  super::parking::Lane,
  crate::datagram::{Codec, Head, service::Digest},
  smallvec::SmallVec,
  std::{net::SocketAddrV4, time::Instant},
};

/// The agents that an opening packet was sent to.
pub type Tried = SmallVec<[SocketAddrV4; 4]>;

/// Where a flow is.
#[derive(Clone, Debug)]
pub struct Place {
  /// The agent of its target.
  pub agent: SocketAddrV4,
  /// When its last packet came.
  pub seen: Instant,
  /// The service that has it, whatever its address leads to by now.
  pub service: Digest,
  /// How far it is.
  pub state: State,
}

impl Place {
  /// Whether an agent has the flow, as far as known.
  pub fn is_at(&self, agent: SocketAddrV4) -> bool {
    self.agent == agent && matches!(self.state, State::Open)
  }
}

/// How far a flow is.
#[derive(Clone, Debug)]
pub enum State {
  /// The opening packet is under way.
  Opening(Opening),
  /// Its target has it, as far as known.
  Open,
  /// The opening packet waits in the balancer until a target can take it.
  Parked(Lane, Opening),
  /// It is nowhere, and its caller was told.
  Dead,
}

/// An opening packet that no target has answered yet.
#[derive(Clone, Debug)]
pub struct Opening {
  /// When the first target was asked.
  pub began: Instant,
  /// The last of the caller's copies that came here, none before it missing.
  pub copy: u32,
  /// When the next target is asked.
  pub deadline: Instant,
  /// When its caller sent the first copy, as far as the copies tell that came here.
  pub first: Instant,
  /// Whether a target may have taken it, so that the flow may be open already: one that was asked
  /// did not answer, or another balancer had an earlier copy.
  pub may_be_open: bool,
  /// The packet.
  pub packet: SmallVec<[u8; 40]>,
  /// When the last target was asked.
  pub sent: Instant,
  /// Who was asked.
  pub tried: Tried,
}

impl Opening {
  /// A packet that has just come, and was sent to nobody.
  pub fn new<C: Codec>(now: Instant, head: &Head, packet: &[u8]) -> Self {
    Self {
      began: now,
      copy: head.acknowledges,
      deadline: now,
      first: now.checked_sub(C::age(head.acknowledges)).unwrap_or(now),
      may_be_open: head.acknowledges > 0,
      packet: SmallVec::from_slice(packet),
      sent: now,
      tried: Tried::new(),
    }
  }

  /// Another copy came. One that is missing went to another balancer, or was lost.
  pub fn take_copy(&mut self, copy: u32, packet: SmallVec<[u8; 40]>) {
    self.may_be_open |= copy > self.copy + 1;
    self.copy = self.copy.max(copy);
    self.packet = packet;
  }
}
