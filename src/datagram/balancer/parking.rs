use {
  crate::datagram::{Flow, Service},
  std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
  },
};

/// How often parked flows are looked at.
const LOOK: Duration = Duration::from_millis(5);

/// New flows that wait in the balancer until a target can take them, by their services; the oldest
/// first.
#[derive(Debug)]
pub struct Parking {
  next: Instant,
  parked: BTreeMap<Service, VecDeque<(Instant, Flow)>>,
}

impl Parking {
  /// Nothing is parked.
  pub fn new(now: Instant) -> Self {
    Self {
      next: now,
      parked: BTreeMap::new(),
    }
  }

  /// How many flows of a service are parked.
  pub fn len(&self, service: &Service) -> usize {
    self.parked.get(service).map_or(0, VecDeque::len)
  }

  /// How many flows are parked.
  pub fn total(&self) -> usize {
    self.parked.values().map(VecDeque::len).sum()
  }

  /// When parked flows are to be looked at; none where there are none.
  pub fn deadline(&self) -> Option<Instant> {
    (!self.parked.is_empty()).then_some(self.next)
  }

  /// Parks a flow.
  pub fn push(&mut self, now: Instant, service: &Service, flow: Flow) {
    let parked = self.parked.entry(service.clone()).or_default();
    parked.push_back((now, flow));
  }

  /// The services of parked flows, when those are due; they are due again a little later.
  pub fn due(&mut self, now: Instant) -> Vec<Service> {
    if self.deadline().is_none_or(|deadline| deadline > now) {
      return Vec::new();
    }
    self.next = now + LOOK;
    self.parked.retain(|_, parked| !parked.is_empty());
    self.parked.keys().cloned().collect()
  }

  /// Takes the oldest flow of a service, if it was parked by `limit` or before.
  pub fn pop_oldest(&mut self, service: &Service, limit: Instant) -> Option<(Instant, Flow)> {
    let parked = self.parked.get_mut(service)?;
    let (since, _) = parked.front()?;
    if *since > limit {
      return None;
    }
    parked.pop_front()
  }

  /// Takes the newest flow of a service.
  pub fn pop_newest(&mut self, service: &Service) -> Option<(Instant, Flow)> {
    self.parked.get_mut(service)?.pop_back()
  }

  /// Puts back what was taken as the newest.
  pub fn put_back(&mut self, service: &Service, parked: (Instant, Flow)) {
    let all = self.parked.entry(service.clone()).or_default();
    all.push_back(parked);
  }
}
