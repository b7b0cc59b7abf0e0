use {
  serde::{Deserialize, Serialize},
  std::{
    convert::Infallible,
    fmt::{self, Display, Formatter},
    str::FromStr,
    sync::Arc,
  },
  xxhash_rust::xxh3::xxh3_64,
};

/// The name of a service.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "String", into = "String")]
pub struct Service(Arc<str>);

/// A hash of a service's name, which stands for it in frames.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

impl Service {
  /// The hash that stands for the name in frames.
  pub fn digest(&self) -> Digest {
    Digest(xxh3_64(self.0.as_bytes()))
  }
}

impl Display for Service {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    self.0.fmt(f)
  }
}

impl From<Service> for String {
  fn from(service: Service) -> Self {
    service.0.as_ref().into()
  }
}

impl From<String> for Service {
  fn from(name: String) -> Self {
    Self(name.into())
  }
}

impl FromStr for Service {
  type Err = Infallible;

  fn from_str(name: &str) -> Result<Self, Infallible> {
    Ok(Self(name.into()))
  }
}
