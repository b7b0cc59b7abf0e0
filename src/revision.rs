//! The revision number of a record on the platform.

use {
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    num::ParseIntError,
    str::FromStr,
  },
};

/// A counter that the platform increments with every change of any record.
#[derive(
  Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Display for Revision {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    self.0.fmt(f)
  }
}

impl FromStr for Revision {
  type Err = ParseIntError;

  fn from_str(text: &str) -> Result<Self, Self::Err> {
    text.parse().map(Self)
  }
}
