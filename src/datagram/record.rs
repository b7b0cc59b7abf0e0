use {
  super::{Configuration, Target, target},
  crate::Revision,
  serde::{Deserialize, Serialize},
};

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
      Self::Closure { revision, .. }
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
