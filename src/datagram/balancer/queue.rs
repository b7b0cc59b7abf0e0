use {
  crate::datagram::{Flow, Service},
  std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
  },
};

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The flow that sorts before all others.
const FIRST_FLOW: Flow = Flow {
  caller: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
  route: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
};

/// One part of the queue: flows of one service and one priority. Lanes of a service sort by
/// priority, the highest first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Lane {
  /// The priority of the flow's route; 0 is the highest.
  pub priority: u8,
  /// The service whose targets the flows wait for.
  pub service: Service,
}

/// When the caller first sent the opening packet of a queued flow, and the flow.
pub type Queued = (Instant, Flow);

/// The admission queue: new flows that wait until a target can take them.
#[derive(Debug)]
pub struct Queue {
  next_check: Instant,
  queued: BTreeMap<Lane, BTreeSet<Queued>>,
}

impl Queue {
  /// An empty queue.
  pub fn new(now: Instant) -> Self {
    Self {
      next_check: now,
      queued: BTreeMap::new(),
    }
  }

  /// When targets are next checked for queued flows; none if the queue is empty.
  pub fn deadline(&self) -> Option<Instant> {
    (!self.queued.is_empty()).then_some(self.next_check)
  }

  /// The lanes to be checked now, in order; empty until the deadline, which is then set anew.
  pub fn due(&mut self, now: Instant) -> Vec<Lane> {
    if self.deadline().is_none_or(|deadline| deadline > now) {
      return Vec::new();
    }
    self.next_check = now + POLL_INTERVAL;
    self.queued.keys().cloned().collect()
  }

  /// Whether flows of a service are queued.
  pub fn has_flows(&self, service: &Service) -> bool {
    self.queued.keys().any(|lane| lane.service == *service)
  }

  /// The lanes of a service that have queued flows, the highest priority first.
  pub fn lanes(&self, service: &Service) -> Vec<Lane> {
    let lanes = self.queued.keys().filter(|lane| lane.service == *service);
    lanes.cloned().collect()
  }

  /// How many flows of a service are queued.
  pub fn len(&self, service: &Service) -> usize {
    let lanes = self.queued.iter();
    let lanes = lanes.filter(|(lane, _)| lane.service == *service);
    lanes.map(|(_, queued)| queued.len()).sum()
  }

  /// The flow of a lane whose caller started last.
  pub fn newest(&self, lane: &Lane) -> Option<Queued> {
    self.queued.get(lane)?.last().copied()
  }

  /// The flow of a lane whose caller started first.
  pub fn oldest(&self, lane: &Lane) -> Option<Queued> {
    self.queued.get(lane)?.first().copied()
  }

  /// The flow of a lane whose caller started first, at `since` or later.
  pub fn oldest_since(&self, lane: &Lane, since: Instant) -> Option<Queued> {
    let queued = self.queued.get(lane)?;
    queued.range((since, FIRST_FLOW)..).next().copied()
  }

  /// Adds a flow.
  pub fn enqueue(&mut self, now: Instant, lane: &Lane, queued: Queued) {
    self.next_check = self.next_check.max(now);
    self.queued.entry(lane.clone()).or_default().insert(queued);
  }

  /// Removes a flow, if it is in the lane.
  pub fn remove(&mut self, lane: &Lane, queued: Queued) {
    let Some(flows) = self.queued.get_mut(lane) else {
      return;
    };
    flows.remove(&queued);
    if flows.is_empty() {
      self.queued.remove(lane);
    }
  }

  /// How many flows are queued in all.
  pub fn total(&self) -> usize {
    self.queued.values().map(BTreeSet::len).sum()
  }
}
