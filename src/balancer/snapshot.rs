use {
  crate::{Revision, id, routing::Table, wire::Tagger},
  std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// All that a worker needs to route packets, immutable, handed to it anew with each change.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
  /// The tables, each with the address that callers reach.
  pub services: HashMap<id::Service, (SocketAddr, Arc<Table>)>,
  /// Makes and checks tags; none while no keyring is in force.
  pub tagger: Option<Tagger>,
  /// The version of the configuration that it was built from.
  pub version: u64,
}

impl Snapshot {
  /// The revision of a service in force; zero when it is unknown.
  pub fn revision(&self, service: id::Service) -> Revision {
    self
      .services
      .get(&service)
      .map_or(Revision::default(), |(_, table)| table.revision())
  }
}
