use {
  super::{Configuration, Route, Service, Target, Version, Warmup, target},
  crate::Revision,
  serde::{Deserialize, Serialize},
  std::{collections::BTreeMap, net::SocketAddrV4, time::Duration},
};

/// What makes one configuration of an earlier one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Amendment {
  /// After how much rest a flow may be forgotten.
  pub idle: Duration,
  /// The routes that changed; none where one was dropped.
  pub routes: Vec<(SocketAddrV4, Option<Route>)>,
  /// The operator's count.
  pub version: Version,
  /// What cold targets of a service may be given, where that is stated.
  pub warmups: BTreeMap<Service, Warmup>,
}

impl Amendment {
  /// The configuration that it makes of another.
  pub fn amend(self, before: &Configuration) -> Configuration {
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
      version: self.version,
      warmups: self.warmups,
    }
  }
}

/// One fact of the platform at a revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
  /// Whether a data centre is closed to new flows.
  Closure {
    /// Whether it is.
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
  /// The configuration in force, for who knows the one of a revision, or a later one.
  Amendment {
    /// What changed.
    amendment: Amendment,
    /// The revision that all changes came after.
    after: Revision,
    /// The platform's revision.
    revision: Revision,
  },
  /// A run of an upstream; none once it has left the list.
  Target {
    /// Its name.
    id: target::Id,
    /// The platform's revision.
    revision: Revision,
    /// What the list says of it.
    target: Option<Target>,
  },
}

impl Record {
  /// The platform's revision.
  pub fn revision(&self) -> Revision {
    match self {
      Self::Amendment { revision, .. }
      | Self::Closure { revision, .. }
      | Self::Configuration { revision, .. }
      | Self::Target { revision, .. } => *revision,
    }
  }
}

/// Records that make what was complete up to one revision complete up to another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct News {
  /// What it builds on; none where it is the whole.
  pub after: Option<Revision>,
  /// The records.
  pub records: Vec<Record>,
  /// What it is complete up to.
  pub to: Revision,
}
