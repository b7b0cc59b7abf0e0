use {
  crate::{
    Revision,
    datagram::{Flow, handover::FlowRecord},
  },
  std::{net::SocketAddrV4, time::Instant},
};

/// What an agent knows of a flow at its upstream.
#[derive(Clone, Copy, Debug)]
pub struct FlowEntry {
  /// The revision up to which the target list was known to the balancer that forwarded the flow's
  /// last packet, not counting opening packets.
  pub asker_revision: Revision,
  /// Whether it counts as a request in flight, since its first request is expected shortly.
  pub awaits_request: bool,
  /// The balancer that reports on the flow are sent to.
  pub balancer: Option<SocketAddrV4>,
  /// The bytes that passed either way since its last request was answered.
  pub bytes: u32,
  /// Whether its caller acknowledged this upstream's answer to the opening packet, so that no other
  /// upstream can own the flow.
  pub confirmed: bool,
  /// When its last packet passed, either way.
  pub last_packet: Instant,
  /// The newest data from its caller.
  pub newest_data: Option<Data>,
  /// When the upstream was given the opening packet; none once the first request has come.
  pub opened_at: Option<Instant>,
  /// How many requests were in flight at the upstream when the unanswered one arrived.
  pub requests_ahead: u16,
  /// The sequence number of the upstream's answer to the opening packet; none before it.
  pub sequence: Option<u32>,
  /// Whether the upstream owns the flow.
  pub state: FlowState,
  /// When the unanswered request began; none where all requests are answered.
  pub unanswered_since: Option<Instant>,
}

/// Data that passed from a caller to the upstream.
#[derive(Clone, Copy, Debug)]
pub struct Data {
  /// When it passed.
  pub at: Instant,
  /// Its sequence number; that of a retransmission is not newer.
  pub sequence: u32,
}

impl FlowEntry {
  /// Whether a caller that acknowledges `acknowledges` has seen this upstream's answer to its
  /// opening packet.
  pub fn is_answered(&self, acknowledges: u32) -> bool {
    self
      .sequence
      .is_some_and(|sequence| acknowledges.wrapping_sub(sequence) <= 1)
  }

  /// Whether the upstream has accepted the flow, as far as the agent knows.
  pub fn is_accepted(&self) -> bool {
    self.state == FlowState::Open || (self.state == FlowState::Opening && self.sequence.is_some())
  }

  /// Takes the sequence number of an answer to an opening packet. The answer to a late
  /// retransmission repeats the known number and leaves the flow open; with another number, the
  /// flow begins anew.
  pub fn set_answer(&mut self, sequence: u32) {
    let known = self.sequence.is_none_or(|known| known == sequence);
    if self.state == FlowState::Open && known {
      return;
    }
    self.confirmed = false;
    self.sequence = Some(sequence);
    self.state = FlowState::Opening;
  }

  /// The record of the flow in a handover; none where the upstream has not accepted it.
  pub fn flow_record(&self, flow: Flow) -> Option<FlowRecord> {
    self.is_accepted().then_some(FlowRecord {
      flow,
      open: self.state == FlowState::Open,
      sequence: self.sequence,
    })
  }

  /// Restores the flow from the previous incarnation's record, even if a late opening packet has
  /// come since.
  pub fn restore(&mut self, record: &FlowRecord) {
    if self.state != FlowState::Opening {
      return;
    }
    self.sequence = self.sequence.or(record.sequence);
    if record.open {
      self.state = FlowState::Open;
    }
  }

  /// Takes the sequence number of a caller's data; false for a retransmission.
  pub fn record_data(&mut self, now: Instant, sequence: u32) -> bool {
    let is_newer = |known: Data| sequence.wrapping_sub(known.sequence).cast_signed() > 0;
    let is_newer = self.newest_data.is_none_or(is_newer);
    if is_newer {
      self.newest_data = Some(Data { at: now, sequence });
    }
    is_newer
  }

  /// A flow that has moved no data yet.
  pub fn new(now: Instant, state: FlowState, balancer: Option<SocketAddrV4>) -> Self {
    Self {
      asker_revision: Revision::default(),
      awaits_request: false,
      balancer,
      bytes: 0,
      confirmed: false,
      last_packet: now,
      newest_data: None,
      opened_at: None,
      requests_ahead: 0,
      sequence: None,
      state,
      unanswered_since: None,
    }
  }
}

/// Whether the upstream owns a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowState {
  /// The upstream was given the opening packet, which its caller has not completed yet.
  Opening,
  /// The upstream owns the flow.
  Open,
  /// The upstream bounced a packet of the flow: it does not own it.
  Absent,
  /// The upstream was given a packet of the flow as a test, and bounces it if it does not own it.
  Tested {
    /// When the upstream counts as the flow's owner, unless it has bounced the packet by then.
    deadline: Instant,
    /// Whether a bounced packet is returned to the balancer.
    returns_packet: bool,
  },
}
