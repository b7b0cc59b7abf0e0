use crate::id;

/// How much of the configuration a process holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
  /// All of it, and passes it on: a balancer.
  Carrier,
  /// One service's, which it asks carriers for: an agent.
  Follower {
    /// The service.
    service: id::Service,
    /// The agent's own target.
    target: id::Target,
  },
}
