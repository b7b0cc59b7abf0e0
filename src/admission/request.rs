use std::time::Instant;

/// The number of a request, unique within its machine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A request that has not started.
#[derive(Clone, Copy, Debug)]
pub struct Request {
  /// A hash that identifies its caller.
  pub caller: u64,
  /// Whether its caller comes back after the delay that it was told.
  pub returning: bool,
  /// The deadline for starting it.
  pub start_by: Instant,
  /// Its number.
  pub ticket: Ticket,
}
