use {
  super::{Configuration, Service},
  crate::Revision,
  std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// A service that an address was routed to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Removed {
  /// When the address was last routed to it.
  pub at: Instant,
  /// The revision of the last configuration that routed the address to it.
  pub last: Revision,
  /// The service.
  pub service: Service,
}

/// The services that addresses were routed to within a flow's lifetime, besides their present ones.
/// A flow stays with the service that accepted it after its address is routed to another.
#[derive(Clone, Debug, Default)]
pub struct FormerBackends {
  by_address: BTreeMap<SocketAddrV4, Vec<Removed>>,
}

impl FormerBackends {
  /// All former backends with their addresses.
  pub fn all(&self) -> impl Iterator<Item = (SocketAddrV4, &Removed)> {
    let addresses = self.by_address.iter();
    addresses.flat_map(|(address, removed)| removed.iter().map(|removed| (*address, removed)))
  }

  /// Drops the backends that were removed longer than `life` ago.
  pub fn expire(&mut self, now: Instant, life: Duration) {
    self.by_address.retain(|_, removed| {
      removed.retain(|removed| now.saturating_duration_since(removed.at) < life);
      !removed.is_empty()
    });
  }

  /// Records a former backend of an address.
  pub fn record(&mut self, address: SocketAddrV4, backend: Removed) {
    let removed = self.by_address.entry(address).or_default();
    match removed
      .iter_mut()
      .find(|removed| removed.service == backend.service)
    {
      Some(known) => {
        known.at = known.at.max(backend.at);
        known.last = known.last.max(backend.last);
      }
      None => removed.push(backend),
    }
  }

  /// The former backends of an address.
  pub fn of(&self, address: &SocketAddrV4) -> impl Iterator<Item = &Service> {
    let removed = self.by_address.get(address).into_iter().flatten();
    removed.map(|removed| &removed.service)
  }

  /// Records the backends that are in `before`, the configuration of revision `last`, and no longer
  /// in `after`.
  pub fn replace(
    &mut self,
    now: Instant,
    (before, last): (&Configuration, Revision),
    after: &Configuration,
  ) {
    for (address, route) in &before.routes {
      let next = after.routes.get(address);
      for service in route.backends.services() {
        let kept = next.is_some_and(|next| next.backends.services().any(|other| other == service));
        if !kept {
          let removed = Removed {
            at: now,
            last,
            service: service.clone(),
          };
          self.record(*address, removed);
        }
      }
    }
  }
}
