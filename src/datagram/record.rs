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
  // Variants are encoded by their position: new ones are appended.
  /// A removed target that the receiver may never have seen in the target list.
  Removed {
    /// Its name.
    id: target::Id,
    /// The platform's revision.
    revision: Revision,
    /// Its last description.
    target: Target,
    /// The revision of the earliest record of it that the sender knows.
    first: Revision,
    /// How long ago it was removed, in milliseconds.
    age_ms: u32,
  },
  /// A service that an address was routed to by a configuration which the receiver may have missed.
  FormerBackend {
    /// The address of the route.
    address: SocketAddrV4,
    /// The revision of the last configuration that had it.
    revision: Revision,
    /// The service.
    service: Service,
    /// How long ago the address was last routed to it, in milliseconds.
    age_ms: u32,
  },
}

impl Record {
  /// The platform's revision.
  pub fn revision(&self) -> Revision {
    match self {
      Self::Delta { revision, .. }
      | Self::Evacuation { revision, .. }
      | Self::Configuration { revision, .. }
      | Self::FormerBackend { revision, .. }
      | Self::Removed { revision, .. }
      | Self::Target { revision, .. } => *revision,
    }
  }
}

/// The records between two revisions of the platform's data, or a snapshot of all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
  /// The revision up to which the receiver must be complete; none for a snapshot.
  pub after: Option<Revision>,
  /// Whether changes up to `to` may be missing that are undone by then: a target that was added and
  /// removed, or a service that an address was routed to in between.
  pub has_gap: bool,
  /// The records.
  pub records: Vec<Record>,
  /// The revision up to which the receiver is complete afterwards.
  pub to: Revision,
}
