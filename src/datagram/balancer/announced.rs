use {
  crate::datagram::Service,
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

/// How often a queue length is sent at least: before agents discard the last one.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(100);

/// The queue lengths that agents were last sent, by service.
#[derive(Debug, Default)]
pub struct Announced {
  services: BTreeMap<Service, (Instant, usize)>,
}

impl Announced {
  /// Whether agents are due to be sent a queue length, which then counts as sent: the last one is
  /// old, or the queue has since doubled or halved.
  pub fn is_due(&mut self, now: Instant, service: &Service, flows: usize) -> bool {
    let last = self.services.get(service);
    let due = last.is_none_or(|(at, sent)| {
      let is_old = now.saturating_duration_since(*at) >= RENEWAL_INTERVAL;
      is_old || flows >= 2 * sent || 2 * flows <= *sent
    });
    if due {
      self.services.insert(service.clone(), (now, flows));
    }
    due
  }

  /// Removes a service whose queue is empty. Agents learn of that when they grant a slot.
  pub fn remove(&mut self, service: &Service) {
    self.services.remove(service);
  }
}
