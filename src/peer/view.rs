use crate::{
  Revision,
  config::{Instance, Keyring, Service, Set, Store},
  id,
};

/// The configuration in force at one moment, as the other parts of a process take it.
#[derive(Clone, Debug, Default)]
pub struct View {
  /// The listed instances.
  pub instances: Vec<Instance>,
  /// The tag secrets.
  pub keyring: Option<Keyring>,
  /// The services.
  pub services: Vec<InForce>,
  /// The count of changes that led here.
  pub version: u64,
}

/// A service in force.
#[derive(Clone, Debug)]
pub struct InForce {
  /// Its earlier target sets, newest first.
  pub history: Vec<Set>,
  /// The revision that brought it.
  pub revision: Revision,
  /// Its document.
  pub service: Service,
}

impl View {
  /// The view of what a store holds.
  pub fn new(store: &Store, version: u64) -> Self {
    let services = store.services().map(|(revision, service)| InForce {
      history: store.history(service.id).to_vec(),
      revision,
      service: service.clone(),
    });
    Self {
      instances: store.instances().cloned().collect(),
      keyring: store.keyring().cloned(),
      services: services.collect(),
      version,
    }
  }

  /// The service with this id.
  pub fn service(&self, id: id::Service) -> Option<&InForce> {
    self.services.iter().find(|seen| seen.service.id == id)
  }
}
