use {
  crate::datagram::Service,
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

/// How often agents are told at least how many flows wait for them: well before they forget it.
const RENEW: Duration = Duration::from_millis(100);

/// What agents were last told of the flows that wait here for their service.
#[derive(Debug, Default)]
pub struct Announced {
  services: BTreeMap<Service, (Instant, usize)>,
}

impl Announced {
  /// Whether agents are to be told that so many flows wait: none were said to, twice as many or
  /// half as many, or it was long ago. Counts as told then.
  pub fn is_due(&mut self, now: Instant, service: &Service, flows: usize) -> bool {
    let told = self.services.get(service);
    let due = told.is_none_or(|(at, told)| {
      let old = now.saturating_duration_since(*at) >= RENEW;
      old || flows >= 2 * told || 2 * flows <= *told
    });
    if due {
      self.services.insert(service.clone(), (now, flows));
    }
    due
  }

  /// No flow of the service waits any more. Agents that grant a place hear it then.
  pub fn forget(&mut self, service: &Service) {
    self.services.remove(service);
  }
}
