use {
  super::Service,
  std::{
    collections::BTreeMap,
    net::Ipv4Addr,
    time::{Duration, Instant},
  },
};

/// Targets that were removed from the target list before this process saw them there, as other
/// processes report them. Each may still run and own flows.
#[derive(Clone, Debug, Default)]
pub struct FormerTargets {
  /// When each was removed, by its instance and service.
  removed: BTreeMap<(Ipv4Addr, Service), Instant>,
}

impl FormerTargets {
  /// All former targets: the instance, the service, and when the target was removed.
  pub fn all(&self) -> impl Iterator<Item = (Ipv4Addr, &Service, Instant)> {
    let removed = self.removed.iter();
    removed.map(|((instance, service), at)| (*instance, service, *at))
  }

  /// Drops the targets that were removed longer than `life` ago.
  pub fn expire(&mut self, now: Instant, life: Duration) {
    self
      .removed
      .retain(|_, at| now.saturating_duration_since(*at) < life);
  }

  /// Records that a target was removed; true if that was not known.
  pub fn record(&mut self, instance: Ipv4Addr, service: &Service, at: Instant) -> bool {
    let key = (instance, service.clone());
    let is_new = !self.removed.contains_key(&key);
    self.removed.entry(key).or_insert(at);
    is_new
  }
}
