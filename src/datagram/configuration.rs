use {
  crate::datagram::{Backends, Service, Warmup},
  serde::{Deserialize, Serialize},
  std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    net::SocketAddrV4,
    str::FromStr,
    time::Duration,
  },
};

/// The operator's count of configurations, which rises in uneven steps.
#[derive(
  Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Display for Version {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    self.0.fmt(f)
  }
}

impl FromStr for Version {
  type Err = std::num::ParseIntError;

  fn from_str(text: &str) -> Result<Self, Self::Err> {
    text.parse().map(Self)
  }
}

/// What the operator says of the flows to one address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
  /// The services that new flows go to.
  pub backends: Backends,
  /// The time within which a request on it is to be answered.
  pub objective: Duration,
  /// What goes first when not all can be served; 0 is the highest.
  pub priority: u8,
}

/// What the operator wants: where the flows to each address go.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
  /// After how much rest a flow may be forgotten.
  pub idle: Duration,
  /// What is behind each address that callers reach.
  pub routes: BTreeMap<SocketAddrV4, Route>,
  /// The operator's count.
  pub version: Version,
  /// What cold targets of a service may be given, where that is stated.
  pub warmups: BTreeMap<Service, Warmup>,
}
