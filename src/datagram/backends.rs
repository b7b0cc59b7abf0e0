use {
  super::{Flow, Service, service::Digest},
  serde::{Deserialize, Serialize},
  smallvec::SmallVec,
  std::{
    fmt::{self, Display, Formatter},
    num::ParseIntError,
    str::FromStr,
  },
  xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// What a service takes of the new flows to an address, against the others behind it.
#[derive(
  Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Weight(pub u32);

impl Display for Weight {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    self.0.fmt(f)
  }
}

impl FromStr for Weight {
  type Err = ParseIntError;

  fn from_str(text: &str) -> Result<Self, ParseIntError> {
    text.parse().map(Self)
  }
}

/// One of the services behind an address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
  /// The service.
  pub service: Service,
  /// What it takes of the new flows; nothing at 0.
  pub weight: Weight,
}

/// The services behind an address, each once, in the order of their names.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Vec<Backend>", into = "Vec<Backend>")]
pub struct Backends(SmallVec<[Backend; 1]>);

impl Backends {
  /// Those that a flow may be opened at, the one that it belongs to first: weighted rendezvous. All
  /// balancers agree without a word, and a change of weights moves no more flows than it has to.
  pub fn ranked(&self, flow: &Flow) -> SmallVec<[&Backend; 4]> {
    let mut ranked = self.taking().collect::<SmallVec<[&Backend; 4]>>();
    if ranked.len() > 1 {
      let key = flow.key();
      ranked.sort_by(|one, other| one.score(key).total_cmp(&other.score(key)));
    }
    ranked
  }

  /// All of them, those that take nothing too: they may have flows from before.
  pub fn services(&self) -> impl Iterator<Item = &Service> {
    self.0.iter().map(|backend| &backend.service)
  }

  /// Those that new flows may go to.
  pub fn taking(&self) -> impl Iterator<Item = &Backend> {
    self.0.iter().filter(|backend| backend.weight.0 > 0)
  }

  /// Whether new flows may go to a service.
  pub fn takes(&self, service: &Service) -> bool {
    self.taking().any(|backend| backend.service == *service)
  }

  /// Whether new flows may go to the service of a digest.
  pub fn takes_digest(&self, service: Digest) -> bool {
    self
      .taking()
      .any(|backend| backend.service.digest() == service)
  }

  /// What a service takes.
  pub fn weight(&self, service: &Service) -> Weight {
    let mut backends = self.0.iter();
    let found = backends.find(|backend| backend.service == *service);
    found.map(|backend| backend.weight).unwrap_or_default()
  }
}

impl Backend {
  /// The least score of all takes the flow: with a uniform number of each flow and service, each
  /// service has the least one as often as its weight says.
  fn score(&self, flow: u64) -> f64 {
    /// So many bits fill a number of 64 bits that counts in binary digits after the point.
    const BITS: u32 = 53;
    let hash = xxh3_64_with_seed(&flow.to_le_bytes(), self.service.digest().0);
    let uniform = ((hash >> (u64::BITS - BITS)) + 1) as f64 / (1_u64 << BITS) as f64;
    -uniform.ln() / f64::from(self.weight.0)
  }
}

impl From<Backends> for Vec<Backend> {
  fn from(backends: Backends) -> Self {
    backends.0.into_vec()
  }
}

impl From<Service> for Backends {
  fn from(service: Service) -> Self {
    let weight = Weight(1);
    Self::from(vec![Backend { service, weight }])
  }
}

impl From<Vec<Backend>> for Backends {
  /// A service that is named twice takes both shares.
  fn from(mut backends: Vec<Backend>) -> Self {
    backends.sort_by(|one, other| one.service.cmp(&other.service));
    backends.dedup_by(|next, held| {
      let same = next.service == held.service;
      if same {
        held.weight.0 = held.weight.0.saturating_add(next.weight.0);
      }
      same
    });
    Self(backends.into())
  }
}
