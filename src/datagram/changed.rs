use {
  super::{Amendment, Configuration, Record},
  crate::Revision,
  std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
  },
};

/// How many routes are remembered by when they changed; where more did, configurations are told whole.
const KEPT_MAX: usize = 8192;

/// When routes changed, so that a change of a few among thousands is told by those few. The whole of
/// 1,600 routes is 60 KB for each process; over a link of 10 Mbit/s, 90 of them take five seconds.
#[derive(Clone, Debug, Default)]
pub struct Changed {
  /// What changed up to this revision may not be known here.
  from: Revision,
  routes: BTreeMap<SocketAddrV4, Revision>,
}

impl Changed {
  /// The first configuration came, as of a revision.
  pub fn begin(&mut self, revision: Revision) {
    self.from = revision;
  }

  /// The configuration for who knows all up to a revision.
  pub fn record(&self, held: &Configuration, after: Revision, revision: Revision) -> Record {
    if after < self.from {
      return Record::Configuration {
        configuration: held.clone(),
        revision,
      };
    }
    let changed = self.routes.iter().filter(|(_, at)| **at > after);
    let routes = changed.map(|(address, _)| (*address, held.routes.get(address).cloned()));
    let amendment = Amendment {
      idle: held.idle,
      routes: routes.collect(),
      version: held.version,
      warmups: held.warmups.clone(),
    };
    Record::Amendment {
      amendment,
      after,
      revision,
    }
  }

  /// A configuration takes the place of another, as of a revision.
  pub fn replace(&mut self, before: &Configuration, next: &Configuration, revision: Revision) {
    let addresses = before.routes.keys().chain(next.routes.keys());
    for address in addresses.collect::<BTreeSet<_>>() {
      if before.routes.get(address) != next.routes.get(address) {
        self.routes.insert(*address, revision);
      }
    }
    if self.routes.len() > KEPT_MAX {
      self.routes.clear();
      self.from = revision;
    }
  }
}
