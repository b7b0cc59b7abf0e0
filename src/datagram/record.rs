use {
  super::{Configuration, Route, Service, Target, Version, Warmup, target},
  crate::Revision,
  serde::{Deserialize, Serialize},
  std::{collections::BTreeMap, net::SocketAddrV4, time::Duration},
};

/// The difference between two configurations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
  /// The idle timeout of flows.
  pub idle: Duration,
  /// The routes that changed; none for a removed one.
  pub routes: Vec<(SocketAddrV4, Option<Route>)>,
  /// The version of the configuration that results.
  pub new_version: Version,
  /// All warm-ups of that configuration, by service.
  pub warmups: BTreeMap<Service, Warmup>,
}

impl Delta {
  /// The configuration that results from `before`.
  pub fn apply(self, before: &Configuration) -> Configuration {
    let mut routes = before.routes.clone();
    for (address, route) in self.routes {
      match route {
        Some(route) => routes.insert(address, route),
        None => routes.remove(&address),
      };
    }
    Configuration {
      idle: self.idle,
      routes,
      version: self.new_version,
      warmups: self.warmups,
    }
  }
}

/// One item of the platform's data, as of a revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
  /// An operator's order that closes a data centre to new flows, or opens it again.
  Evacuation {
    /// Whether it is closed.
    closed: bool,
    /// Its name.
    data_centre: String,
    /// The platform's revision.
    revision: Revision,
  },
  /// The configuration in force.
  Configuration {
    /// The configuration.
    configuration: Configuration,
    /// The platform's revision.
    revision: Revision,
  },
  /// The configuration in force, as a difference for receivers that are complete up to `after` or
  /// later.
  Delta {
    /// The difference.
    delta: Delta,
    /// The revision after which all changes in the difference were made.
    after: Revision,
    /// The platform's revision.
    revision: Revision,
  },
  /// A target.
  Target {
    /// Its name.
    id: target::Id,
    /// The platform's revision.
    revision: Revision,
    /// Its description; none once it is removed from the target list.
    target: Option<Target>,
  },
}

impl Record {
  /// The platform's revision.
  pub fn revision(&self) -> Revision {
    match self {
      Self::Delta { revision, .. }
      | Self::Evacuation { revision, .. }
      | Self::Configuration { revision, .. }
      | Self::Target { revision, .. } => *revision,
    }
  }
}

/// The records between two revisions of the platform's data, or a snapshot of all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
  /// The revision up to which the receiver must be complete; none for a snapshot.
  pub after: Option<Revision>,
  /// The records.
  pub records: Vec<Record>,
  /// The revision up to which the receiver is complete afterwards.
  pub to: Revision,
}
