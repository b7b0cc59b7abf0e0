use {
  super::{Configuration, Delta, Record},
  crate::Revision,
  std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
  },
};

/// The most routes whose latest change is remembered. With more, all are dropped and configurations
/// are sent whole.
const ROUTES_MAX: usize = 8192;

/// The revision of each route's latest change, so that a change of a few among thousands of routes
/// is sent as a small difference: a configuration of 1,600 routes takes 60 KB per receiver.
#[derive(Clone, Debug, Default)]
pub struct Changelog {
  /// Changes up to this revision may not be known here.
  from: Revision,
  routes: BTreeMap<SocketAddrV4, Revision>,
}

impl Changelog {
  /// Starts with the first configuration, as of a revision.
  pub fn begin(&mut self, revision: Revision) {
    self.from = revision;
  }

  /// The record of a configuration for a receiver that is complete up to `after`: a difference if
  /// possible.
  pub fn record(
    &self,
    configuration: &Configuration,
    after: Revision,
    revision: Revision,
  ) -> Record {
    if after < self.from {
      return Record::Configuration {
        configuration: configuration.clone(),
        revision,
      };
    }
    let changed = self.routes.iter().filter(|(_, at)| **at > after);
    let routes = changed.map(|(address, _)| (*address, configuration.routes.get(address).cloned()));
    let delta = Delta {
      idle: configuration.idle,
      routes: routes.collect(),
      new_version: configuration.version,
      warmups: configuration.warmups.clone(),
    };
    Record::Delta {
      delta,
      after,
      revision,
    }
  }

  /// Records the routes in which two configurations differ, as of a revision.
  pub fn replace(&mut self, before: &Configuration, next: &Configuration, revision: Revision) {
    let addresses = before.routes.keys().chain(next.routes.keys());
    let changed = addresses.collect::<BTreeSet<_>>();
    let changed = changed
      .into_iter()
      .filter(|address| before.routes.get(address) != next.routes.get(address));
    self.record_changed(changed.copied(), revision);
  }

  /// Records routes that have changed, as of a revision.
  pub fn record_changed(
    &mut self,
    addresses: impl Iterator<Item = SocketAddrV4>,
    revision: Revision,
  ) {
    for address in addresses {
      self.routes.insert(address, revision);
    }
    if self.routes.len() > ROUTES_MAX {
      self.routes.clear();
      self.from = revision;
    }
  }
}
