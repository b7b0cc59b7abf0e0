use {
  crate::{Revision, id, routing::Table, wire::Tagger},
  std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// The immutable routing data of the workers; the controller sends them a new one at each change.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
  /// The address of each service, which callers send packets to, and its routing table.
  pub services: HashMap<id::Service, (SocketAddr, Arc<Table>)>,
  /// Tags and verifies frames and connection IDs; none while no keyring is in force.
  pub tagger: Option<Tagger>,
  /// The version of the configuration view that it was built from.
  pub version: u64,
}

impl Snapshot {
  /// The revision in force of a service; 0 if the service is unknown.
  pub fn revision(&self, service: id::Service) -> Revision {
    self
      .services
      .get(&service)
      .map_or(Revision::default(), |(_, table)| table.revision())
  }
}
