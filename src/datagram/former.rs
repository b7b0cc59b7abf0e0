use {
  super::{Configuration, Service},
  std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// A service that an address led to.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Left {
  at: Instant,
  service: Service,
}

/// Which services addresses led to in the lifetime of the flows, besides those that they lead to now.
/// A flow belongs to the service that took it, whatever its address leads to by now.
#[derive(Clone, Debug, Default)]
pub struct Former {
  by_address: BTreeMap<SocketAddrV4, Vec<Left>>,
}

impl Former {
  /// All of them: the address, the service, and when it last led there.
  pub fn all(&self) -> impl Iterator<Item = (SocketAddrV4, &Service, Instant)> {
    let addresses = self.by_address.iter();
    addresses.flat_map(|(address, left)| left.iter().map(|left| (*address, &left.service, left.at)))
  }

  /// Forgets what was left longer ago than flows live.
  pub fn expire(&mut self, now: Instant, life: Duration) {
    self.by_address.retain(|_, left| {
      left.retain(|left| now.saturating_duration_since(left.at) < life);
      !left.is_empty()
    });
  }

  /// An address led to a service, at last at `at`.
  pub fn learn(&mut self, address: SocketAddrV4, service: &Service, at: Instant) {
    let left = self.by_address.entry(address).or_default();
    match left.iter_mut().find(|left| left.service == *service) {
      Some(known) => known.at = known.at.max(at),
      None => left.push(Left {
        at,
        service: service.clone(),
      }),
    }
  }

  /// Those that an address led to.
  pub fn of(&self, address: &SocketAddrV4) -> impl Iterator<Item = &Service> {
    let left = self.by_address.get(address).into_iter().flatten();
    left.map(|left| &left.service)
  }

  /// A configuration took the place of another.
  pub fn replace(&mut self, now: Instant, before: &Configuration, after: &Configuration) {
    for (address, route) in &before.routes {
      let next = after.routes.get(address);
      for service in route.backends.services() {
        let stays = next.is_some_and(|next| next.backends.services().any(|held| held == service));
        if !stays {
          self.learn(*address, service, now);
        }
      }
    }
  }
}
