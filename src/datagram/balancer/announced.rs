use {
  crate::datagram::Service,
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

/// The longest interval between two reports of a queue length; shorter than the time after which
/// agents discard one.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(100);

/// The queue lengths that agents were last sent, by service.
#[derive(Debug, Default)]
pub struct Announced {
  services: BTreeMap<Service, (Instant, usize)>,
}

impl Announced {
  /// Whether a queue length is due to be sent to agents: the last one is old, or the queue has
  /// since doubled or halved. The length then counts as sent.
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
