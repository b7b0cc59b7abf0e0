use std::{net::SocketAddrV4, time::Instant};

/// A flow at the agent's upstream.
#[derive(Clone, Copy, Debug)]
pub struct Held {
  /// How many requests the upstream had when the one that waits reached it.
  pub ahead: u16,
  /// The balancer that its last packet came from.
  pub balancer: Option<SocketAddrV4>,
  /// The bytes that passed either way since its last request was answered.
  pub bytes: u32,
  /// Whether it counts as work since its first request is about to come.
  pub expected: bool,
  /// When the caller's newest data passed, and its sequence number: what was sent again is not
  /// newer.
  pub newest: Option<(Instant, u32)>,
  /// When the upstream was given its opening packet; none once its first request has come.
  pub opened: Option<Instant>,
  /// When its last packet passed, either way.
  pub seen: Instant,
  /// How far it is.
  pub state: State,
  /// Since when a request waits for its answer.
  pub waits: Option<Instant>,
}

impl Held {
  /// Data of the caller passed; false for what was sent again.
  pub fn take_data(&mut self, now: Instant, sequence: u32) -> bool {
    let newer = |(_, known): (_, u32)| sequence.wrapping_sub(known).cast_signed() > 0;
    let newer = self.newest.is_none_or(newer);
    if newer {
      self.newest = Some((now, sequence));
    }
    newer
  }

  /// A flow that is not known to have moved anything yet.
  pub fn new(now: Instant, state: State, balancer: Option<SocketAddrV4>) -> Self {
    Self {
      ahead: 0,
      balancer,
      bytes: 0,
      expected: false,
      newest: None,
      opened: None,
      seen: now,
      state,
      waits: None,
    }
  }
}

/// How far a flow is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
  /// The upstream was given the opening packet; with the sequence number of its answer.
  Opening(Option<u32>),
  /// The upstream has it.
  Open,
  /// The upstream sent a packet of it back: it is not there.
  Absent,
  /// The upstream was given a packet and may send it back, by then.
  Tested {
    /// When it counts as held.
    deadline: Instant,
    /// Whether the balancer wants the packet back if it is not.
    wanted: bool,
  },
}
