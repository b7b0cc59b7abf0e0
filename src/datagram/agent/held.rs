use {
  crate::{
    Revision,
    datagram::{Flow, handover::Passed},
  },
  std::{net::SocketAddrV4, time::Instant},
};

/// A flow at the agent's upstream.
#[derive(Clone, Copy, Debug)]
pub struct Held {
  /// The revision up to which the balancer knew the list that its last packet came from.
  pub asker: Revision,
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
  /// Whether its caller chose this upstream for certain: no other can have the flow.
  pub proved: bool,
  /// When its last packet passed, either way.
  pub seen: Instant,
  /// The sequence number of the upstream's answer to its opening packet, once that has passed.
  pub sequence: Option<u32>,
  /// How far it is.
  pub state: State,
  /// Since when a request waits for its answer.
  pub waits: Option<Instant>,
}

impl Held {
  /// Whether a caller that acknowledges so much has opened the flow, as far as the answer to its
  /// opening packet tells.
  pub fn is_answered(&self, acknowledges: u32) -> bool {
    self
      .sequence
      .is_some_and(|sequence| acknowledges.wrapping_sub(sequence) <= 1)
  }

  /// Whether the upstream has taken the flow, as far as known.
  pub fn is_taken(&self) -> bool {
    self.state == State::Open || (self.state == State::Opening && self.sequence.is_some())
  }

  /// The upstream answers an opening packet. A late copy of the one that opened the flow is answered
  /// as that was and leaves the flow open: it would be denied to its caller from then on.
  pub fn take_answer(&mut self, sequence: u32) {
    let known = self.sequence.is_none_or(|known| known == sequence);
    if self.state == State::Open && known {
      return;
    }
    self.proved = false;
    self.sequence = Some(sequence);
    self.state = State::Opening;
  }

  /// What the next run is told of the flow; nothing where the upstream has not taken it.
  pub fn passed(&self, flow: Flow) -> Option<Passed> {
    self.is_taken().then_some(Passed {
      flow,
      open: self.state == State::Open,
      sequence: self.sequence,
    })
  }

  /// The run before had the flow. An opening packet that has come since, late, does not hide that.
  pub fn take_passed(&mut self, passed: &Passed) {
    if self.state != State::Opening {
      return;
    }
    self.sequence = self.sequence.or(passed.sequence);
    if passed.open {
      self.state = State::Open;
    }
  }

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
      asker: Revision::default(),
      balancer,
      bytes: 0,
      expected: false,
      newest: None,
      opened: None,
      proved: false,
      seen: now,
      sequence: None,
      state,
      waits: None,
    }
  }
}

/// How far a flow is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
  /// The upstream was given the opening packet, and no packet of the caller has opened it yet.
  Opening,
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
