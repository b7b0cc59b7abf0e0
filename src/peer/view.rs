use crate::{
  Revision,
  config::{Instance, Keyring, Service, Store, TargetSet},
  id,
};

/// A snapshot of the configuration in force, for the other parts of a process.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
  /// The listed instances.
  pub instances: Vec<Instance>,
  /// The tag secrets; none until a keyring is in force.
  pub keyring: Option<Keyring>,
  /// The services in force.
  pub services: Vec<ServiceInForce>,
  /// The machine's version of which this is the snapshot.
  pub version: u64,
}

/// A service in force with its revision and history.
#[derive(Clone, Debug)]
pub struct ServiceInForce {
  /// Its earlier target sets, newest first.
  pub history: Vec<TargetSet>,
  /// The revision of its document.
  pub revision: Revision,
  /// The parsed document.
  pub service: Service,
}

impl ConfigView {
  /// Copies what is in force in the store.
  pub fn new(store: &Store, version: u64) -> Self {
    let services = store.services().map(|(revision, service)| ServiceInForce {
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

  /// The service with this id; none if it is not in force.
  pub fn service(&self, id: id::Service) -> Option<&ServiceInForce> {
    self.services.iter().find(|entry| entry.service.id == id)
  }
}
