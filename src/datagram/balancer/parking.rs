use {
  crate::datagram::{Flow, Service},
  std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
  },
};

/// How often parked flows are looked at.
const LOOK: Duration = Duration::from_millis(5);

/// The least flow of all in their order.
const LEAST: Flow = Flow {
  caller: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
  route: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
};

/// Flows that wait for the same targets and are of the same priority; the highest comes first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Lane {
  /// Of their route; 0 is the highest.
  pub priority: u8,
  /// Whose targets they wait for.
  pub service: Service,
}

/// A flow that waits, and when its caller sent the first copy of the opening packet.
pub type Parked = (Instant, Flow);

/// New flows that wait in the balancer until a target can take them.
#[derive(Debug)]
pub struct Parking {
  next: Instant,
  parked: BTreeMap<Lane, BTreeSet<Parked>>,
}

impl Parking {
  /// Nothing is parked.
  pub fn new(now: Instant) -> Self {
    Self {
      next: now,
      parked: BTreeMap::new(),
    }
  }

  /// When parked flows are to be looked at; none where there are none.
  pub fn deadline(&self) -> Option<Instant> {
    (!self.parked.is_empty()).then_some(self.next)
  }

  /// The lanes with parked flows, when those are due; they are due again a little later.
  pub fn due(&mut self, now: Instant) -> Vec<Lane> {
    if self.deadline().is_none_or(|deadline| deadline > now) {
      return Vec::new();
    }
    self.next = now + LOOK;
    self.parked.keys().cloned().collect()
  }

  /// Whether flows of a service are parked.
  pub fn waits(&self, service: &Service) -> bool {
    self.parked.keys().any(|lane| lane.service == *service)
  }

  /// The lanes of a service, the highest priority first.
  pub fn lanes(&self, service: &Service) -> Vec<Lane> {
    let lanes = self.parked.keys().filter(|lane| lane.service == *service);
    lanes.cloned().collect()
  }

  /// How many flows of a service are parked.
  pub fn len(&self, service: &Service) -> usize {
    let lanes = self.parked.iter();
    let lanes = lanes.filter(|(lane, _)| lane.service == *service);
    lanes.map(|(_, parked)| parked.len()).sum()
  }

  /// The flow of a lane that began last.
  pub fn newest(&self, lane: &Lane) -> Option<Parked> {
    self.parked.get(lane)?.last().copied()
  }

  /// The flow of a lane that began first.
  pub fn oldest(&self, lane: &Lane) -> Option<Parked> {
    self.parked.get(lane)?.first().copied()
  }

  /// The flow of a lane that began first, of those that began at `since` or later.
  pub fn oldest_since(&self, lane: &Lane, since: Instant) -> Option<Parked> {
    let parked = self.parked.get(lane)?;
    parked.range((since, LEAST)..).next().copied()
  }

  /// Parks a flow.
  pub fn park(&mut self, now: Instant, lane: &Lane, parked: Parked) {
    self.next = self.next.max(now);
    self.parked.entry(lane.clone()).or_default().insert(parked);
  }

  /// A flow no longer waits.
  pub fn take(&mut self, lane: &Lane, parked: Parked) {
    let Some(waiting) = self.parked.get_mut(lane) else {
      return;
    };
    waiting.remove(&parked);
    if waiting.is_empty() {
      self.parked.remove(lane);
    }
  }

  /// How many flows are parked.
  pub fn total(&self) -> usize {
    self.parked.values().map(BTreeSet::len).sum()
  }
}
