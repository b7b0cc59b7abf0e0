//! Numeric identifiers, each with its own type so that they cannot be mixed up.

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
  /// One incarnation of an agent. It changes at every start, which distinguishes the flows of a
  /// previous incarnation from those of the current one.
  Incarnation(u16)
}

id! {
  /// A balancer or agent process, unique in the fleet.
  Instance(u32)
}

id! {
  /// A service, unique in the fleet.
  Service(u16)
}

id! {
  /// A target of a service, unique only within that service.
  Target(u32)
}
