use {
  super::Service,
  crate::config::Presence,
  serde::{Deserialize, Serialize},
  std::{
    convert::Infallible,
    fmt::{self, Display, Formatter},
    net::SocketAddrV4,
    num::ParseIntError,
    str::FromStr,
    sync::Arc,
    time::Duration,
  },
};

/// The platform's name of an upstream; a later run may have it again.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "String", into = "String")]
pub struct Id(Arc<str>);

impl Display for Id {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    self.0.fmt(f)
  }
}

impl From<Id> for String {
  fn from(id: Id) -> Self {
    id.0.as_ref().into()
  }
}

impl From<String> for Id {
  fn from(text: String) -> Self {
    Self(text.into())
  }
}

impl FromStr for Id {
  type Err = Infallible;

  fn from_str(text: &str) -> Result<Self, Infallible> {
    Ok(Self(text.into()))
  }
}

/// When an upstream started, in milliseconds of Unix time by its own clock: a count that is higher at
/// each start under one name.
#[derive(
  Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Born(pub u64);

impl Display for Born {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    self.0.fmt(f)
  }
}

impl FromStr for Born {
  type Err = ParseIntError;

  fn from_str(text: &str) -> Result<Self, ParseIntError> {
    text.parse().map(Self)
  }
}

/// One run of an upstream, as the platform lists it. The list lags behind reality.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
  /// Where the upstream takes packets from its own instance.
  pub address: SocketAddrV4,
  /// When it started, where the platform says so.
  pub born: Option<Born>,
  /// The data centre that it stands in.
  pub data_centre: String,
  /// Whether it is live or leaving.
  pub presence: Presence,
  /// The service that it serves.
  pub service: Service,
  /// How many requests it works on at once.
  pub slots: u16,
  /// How much longer it was cold when the platform wrote this.
  pub warmup_left: Duration,
}
