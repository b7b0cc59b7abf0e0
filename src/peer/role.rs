use crate::id;

/// Which documents a process stores.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
  /// All documents, which it also serves to other processes: a balancer.
  Replica,
  /// The documents of one service, requested from the replicas: an agent.
  Follower {
    /// The service whose documents it stores.
    service: id::Service,
    /// The agent's own target, which determines the balancers that it is given.
    target: id::Target,
  },
}
