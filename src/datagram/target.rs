use {
  super::Service,
  crate::{Revision, config::Presence},
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
  xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// The platform's name of an upstream; a later incarnation may have the same one.
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

/// The start time of one incarnation of an upstream, in milliseconds of Unix time by the upstream's
/// own clock. Among incarnations under one name it rises with each start.
#[derive(
  Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StartTime(pub u64);

impl Display for StartTime {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    self.0.fmt(f)
  }
}

impl FromStr for StartTime {
  type Err = ParseIntError;

  fn from_str(text: &str) -> Result<Self, ParseIntError> {
    text.parse().map(Self)
  }
}

/// A hash of an upstream's address and service. Agents report it, so that the upstream's entry is
/// told from other entries of the same instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Identity(u32);

impl Identity {
  /// The identity of the upstream of `service` at an address.
  pub fn new(address: SocketAddrV4, service: &Service) -> Self {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..].copy_from_slice(&address.port().to_be_bytes());
    Self(xxh3_64_with_seed(&bytes, service.digest().0) as u32)
  }
}

impl Display for Identity {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{:08x}", self.0)
  }
}

/// One incarnation of an upstream, as the platform lists it, with some delay.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
  /// The address at which the upstream receives packets from its own instance.
  pub address: SocketAddrV4,
  /// Its start time; none if the platform doesn't give it.
  #[serde(rename = "born")]
  pub start_time: Option<StartTime>,
  /// The data centre that it is in.
  pub data_centre: String,
  /// Whether it is live, or draining (leaving): a draining target is given no new flows and keeps
  /// its old ones.
  pub presence: Presence,
  /// The service that it belongs to.
  pub service: Service,
  /// How many requests it processes at once.
  pub slots: u16,
  /// The revision at which the platform listed this incarnation, if that was when it started; none if
  /// unknown.
  pub started: Option<Revision>,
  /// What was left of its warm-up when the platform wrote this record.
  pub warmup_left: Duration,
}

impl Target {
  /// What distinguishes it from other targets on the same instance.
  pub fn identity(&self) -> Identity {
    Identity::new(self.address, &self.service)
  }
}
