use {
  super::Forward,
  crate::{Code, routing::Hop},
};

/// What the agent does with a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
  /// Deliver it to the transport: this target owns the flow.
  Deliver,
  /// Deliver it to the transport, which may open a new flow for it.
  Open,
  /// Forward it to another target.
  Forward(Forward),
  /// Drop it and report the result code to the sender of the frame.
  Refuse(Code),
  /// Deliver it to the transport, which resets the flow towards the caller: the flow belongs to a
  /// previous incarnation of this target's agent.
  Reset,
  /// Send a copy to each of these targets; only the owner of the flow accepts it.
  Search(Vec<Hop>),
  /// Drop it without a refusal: this target doesn't own its flow and isn't allowed to open it.
  Skip,
}
