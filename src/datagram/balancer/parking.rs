use {
  crate::datagram::{Flow, Service},
  std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
  },
};

/// How often parked flows are looked at.
const LOOK: Duration = Duration::from_millis(5);

/// Flows that wait for the same targets and are of the same priority; the highest comes first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Lane {
  /// Of their route; 0 is the highest.
  pub priority: u8,
  /// Whose targets they wait for.
  pub service: Service,
}

/// New flows that wait in the balancer until a target can take them, the oldest first.
#[derive(Debug)]
pub struct Parking {
  next: Instant,
  parked: BTreeMap<Lane, VecDeque<(Instant, Flow)>>,
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
    let lanes = self.parked.iter();
    let lanes = lanes.filter(|(lane, _)| lane.service == *service);
    lanes.map(|(_, parked)| parked.len()).sum()
  }

  /// Whether flows are parked that go before those of a lane.
  pub fn goes_before(&self, lane: &Lane) -> bool {
    let mut lanes = self.parked.iter();
    lanes.any(|(other, parked)| {
      other.service == lane.service && other.priority < lane.priority && !parked.is_empty()
    })
  }

  /// The lanes of a service, the highest priority first.
  pub fn lanes(&self, service: &Service) -> Vec<Lane> {
    let lanes = self.parked.keys().filter(|lane| lane.service == *service);
    lanes.cloned().collect()
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
  pub fn push(&mut self, now: Instant, lane: &Lane, flow: Flow) {
    self.next = self.next.max(now);
    let parked = self.parked.entry(lane.clone()).or_default();
    parked.push_back((now, flow));
  }

  /// The lanes with parked flows, when those are due; they are due again a little later.
  pub fn due(&mut self, now: Instant) -> Vec<Lane> {
    if self.deadline().is_none_or(|deadline| deadline > now) {
      return Vec::new();
    }
    self.next = now + LOOK;
    self.parked.retain(|_, parked| !parked.is_empty());
    self.parked.keys().cloned().collect()
  }

  /// Takes the oldest flow of a lane, if it was parked by `limit` or before.
  pub fn pop_oldest(&mut self, lane: &Lane, limit: Instant) -> Option<(Instant, Flow)> {
    let parked = self.parked.get_mut(lane)?;
    let (since, _) = parked.front()?;
    if *since > limit {
      return None;
    }
    parked.pop_front()
  }

  /// Takes the newest flow of a lane.
  pub fn pop_newest(&mut self, lane: &Lane) -> Option<(Instant, Flow)> {
    self.parked.get_mut(lane)?.pop_back()
  }

  /// Puts back what was taken as the newest.
  pub fn put_back(&mut self, lane: &Lane, parked: (Instant, Flow)) {
    let all = self.parked.entry(lane.clone()).or_default();
    all.push_back(parked);
  }
}
