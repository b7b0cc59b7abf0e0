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

/// The share of new flows that a service gets, relative to the others on the same route.
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

/// A service on a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
  /// The service.
  pub service: Service,
  /// Its share of new flows; none at 0.
  pub weight: Weight,
}

/// The services on a route, each once, sorted by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Vec<Backend>", into = "Vec<Backend>")]
pub struct Backends(SmallVec<[Backend; 1]>);

impl Backends {
  /// The services at which a flow may be opened, in order of preference by weighted rendezvous
  /// hashing. All balancers compute the same order without communication, and a change of weights
  /// moves as few flows as possible.
  pub fn ranked(&self, flow: &Flow) -> SmallVec<[&Backend; 4]> {
    let mut ranked = self.weighted().collect::<SmallVec<[&Backend; 4]>>();
    if ranked.len() > 1 {
      let key = flow.key();
      ranked.sort_by(|one, other| one.score(key).total_cmp(&other.score(key)));
    }
    ranked
  }

  /// All services, including those of weight 0, which may own flows that were opened earlier.
  pub fn services(&self) -> impl Iterator<Item = &Service> {
    self.0.iter().map(|backend| &backend.service)
  }

  /// The backends of a positive weight, which get new flows.
  pub fn weighted(&self) -> impl Iterator<Item = &Backend> {
    self.0.iter().filter(|backend| backend.weight.0 > 0)
  }

  /// Whether a service gets new flows.
  pub fn takes(&self, service: &Service) -> bool {
    self.weighted().any(|backend| backend.service == *service)
  }

  /// Whether the service with a digest gets new flows.
  pub fn takes_digest(&self, service: Digest) -> bool {
    self
      .weighted()
      .any(|backend| backend.service.digest() == service)
  }

  /// The weight of a service; 0 if it isn't on the route.
  pub fn weight(&self, service: &Service) -> Weight {
    let mut backends = self.0.iter();
    let found = backends.find(|backend| backend.service == *service);
    found.map(|backend| backend.weight).unwrap_or_default()
  }
}

impl Backend {
  /// The backend with the lowest score gets the flow. The scores are exponentially distributed with
  /// the weight as rate, so each service has the lowest one in proportion to its weight.
  fn score(&self, flow: u64) -> f64 {
    /// The bits of an `f64`'s mantissa.
    const MANTISSA_BITS: u32 = 53;
    let hash = xxh3_64_with_seed(&flow.to_le_bytes(), self.service.digest().0);
    let uniform =
      ((hash >> (u64::BITS - MANTISSA_BITS)) + 1) as f64 / (1_u64 << MANTISSA_BITS) as f64;
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
  /// Merges repeated services; their weights add up.
  fn from(mut backends: Vec<Backend>) -> Self {
    backends.sort_by(|one, other| one.service.cmp(&other.service));
    backends.dedup_by(|next, kept| {
      let same = next.service == kept.service;
      if same {
        kept.weight.0 = kept.weight.0.saturating_add(next.weight.0);
      }
      same
    });
    Self(backends.into())
  }
}
