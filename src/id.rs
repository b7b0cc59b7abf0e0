//! Identifiers, each a number of its own type.

use {
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    num::ParseIntError,
    str::FromStr,
  },
};

macro_rules! id {
  ($(#[$meta:meta])* $name:ident($inner:ty)) => {
    $(#[$meta])*
    #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
    #[serde(transparent)]
    pub struct $name(pub $inner);

    impl Display for $name {
      fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        self.0.fmt(f)
      }
    }

    impl FromStr for $name {
      type Err = ParseIntError;

      fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
      }
    }
  };
}

id! {
  /// One run of an agent: a new number with each start, so that a flow of an earlier run is told
  /// from a flow of this one.
  Incarnation(u16)
}

id! {
  /// A process of the system, unique in the fleet.
  Instance(u32)
}

id! {
  /// A service, unique in the fleet.
  Service(u16)
}

id! {
  /// A target, unique within its service.
  Target(u32)
}
