use crate::{
  Revision,
  config::{Instance, Keyring, Service, Store, Target},
};

/// The configuration in force at one moment, as the other parts of a process take it.
#[derive(Clone, Debug, Default)]
pub struct View {
  /// The listed instances.
  pub instances: Vec<Instance>,
  /// The tag secrets.
  pub keyring: Option<Keyring>,
  /// Each service with its revision and its earlier target sets.
  pub services: Vec<(Revision, Service, Vec<(Revision, Vec<Target>)>)>,
  /// The count of changes that led here.
  pub version: u64,
}

impl View {
  /// The view of what a store holds.
  pub fn new(store: &Store, version: u64) -> Self {
    let services = store
      .services()
      .map(|(revision, service)| {
        let history = store.history(service.id).to_vec();
        (revision, service.clone(), history)
      })
      .collect();
    Self {
      instances: store.instances().cloned().collect(),
      keyring: store.keyring().cloned(),
      services,
      version,
    }
  }
}
