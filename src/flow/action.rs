use {
  super::Pass,
  crate::{Code, routing::Hop},
};

/// What is to be done with a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
  /// Hand it to the transport: the flow is this target's.
  Deliver,
  /// Hand it to the transport, which may open the flow.
  Open,
  /// Send it to another target.
  Pass(Pass),
  /// Drop it and tell the sender.
  Refuse(Code),
  /// Hand it to the transport so that it tells the caller: the flow was an earlier run's.
  Reset,
  /// Send a copy to each of these targets, which take it only if the flow is theirs.
  Search(Vec<Hop>),
  /// Drop it silently: a copy of a packet whose flow is not here.
  Skip,
}
