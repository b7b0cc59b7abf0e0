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

/// The version of a configuration, set by the operator; rises, not always by one.
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

/// How the flows to one address are handled.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
  /// The services on the route, with their weights.
  pub backends: Backends,
  /// The time within which a request on it is to be answered.
  pub objective: Duration,
  /// The precedence under overload; 0 is the highest.
  pub priority: u8,
}

/// The operator's configuration: which services the flows to each address are routed to.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
  /// The idle timeout of flows.
  pub idle: Duration,
  /// The route of each address that callers reach.
  pub routes: BTreeMap<SocketAddrV4, Route>,
  /// Its version.
  pub version: Version,
  /// The warm-up of each service's targets, where configured.
  pub warmups: BTreeMap<Service, Warmup>,
}
