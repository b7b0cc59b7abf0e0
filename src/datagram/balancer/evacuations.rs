use {
  crate::datagram,
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

/// How long an agent's refusal marks its data centre as closed: until the update of the platform's
/// records has reached this balancer.
const REFUSAL_TTL: Duration = Duration::from_secs(1);

/// The data centres that are closed to new flows, by the platform's records or by refusals of
/// agents.
#[derive(Debug, Default)]
pub struct Evacuations {
  /// From when on each data centre in the platform's records is closed.
  listed: BTreeMap<String, Instant>,
  /// When an agent of each data centre last refused a flow for this reason.
  refusals: BTreeMap<String, Instant>,
}

impl Evacuations {
  /// Records that an agent refuses flows because its data centre is closed.
  pub fn record_refusal(&mut self, now: Instant, data_centre: &str) {
    self.refusals.insert(data_centre.to_owned(), now);
  }

  /// Whether new flows may not go to a data centre.
  pub fn is_closed(&self, now: Instant, data_centre: &str) -> bool {
    let listed = self
      .listed
      .get(data_centre)
      .is_some_and(|from| now >= *from);
    let is_recent = |at: &Instant| now.saturating_duration_since(*at) < REFUSAL_TTL;
    listed || self.refusals.get(data_centre).is_some_and(is_recent)
  }

  /// Takes over the closed data centres of the platform's records; a new one is closed as of the
  /// time `from`.
  pub fn update(&mut self, listed: &datagram::Evacuations, from: Instant) {
    self.listed.retain(|name, _| listed.is_closed(name));
    for name in listed.closed() {
      self.listed.entry(name.to_owned()).or_insert(from);
    }
  }
}
