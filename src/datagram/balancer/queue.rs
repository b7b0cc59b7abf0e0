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
pub(super) const FIRST_FLOW: Flow = Flow {
  caller: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
  route: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
};

/// The service and the priority of a flow: flows that have both in common are queued together.
/// Classes sort by priority, the highest first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct FlowClass {
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
  queued: BTreeMap<FlowClass, BTreeSet<Queued>>,
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

  /// The classes with queued flows, the highest priority first, if the deadline has passed; it is
  /// then set anew. Empty before it.
  pub fn due(&mut self, now: Instant) -> Vec<FlowClass> {
    if self.deadline().is_none_or(|deadline| deadline > now) {
      return Vec::new();
    }
    self.next_check = now + POLL_INTERVAL;
    self.queued.keys().cloned().collect()
  }

  /// Whether flows of a service are queued.
  pub fn has_flows(&self, service: &Service) -> bool {
    self.queued.keys().any(|class| class.service == *service)
  }

  /// The classes of a service that have queued flows, the highest priority first.
  pub fn classes(&self, service: &Service) -> Vec<FlowClass> {
    let classes = self.queued.keys().filter(|class| class.service == *service);
    classes.cloned().collect()
  }

  /// How many flows of a class are queued.
  pub fn flows(&self, class: &FlowClass) -> usize {
    self.queued.get(class).map_or(0, BTreeSet::len)
  }

  /// How many flows of a service are queued.
  pub fn len(&self, service: &Service) -> usize {
    let classes = self.queued.iter();
    let classes = classes.filter(|(class, _)| class.service == *service);
    classes.map(|(_, queued)| queued.len()).sum()
  }

  /// The flow of a class whose caller started last.
  pub fn newest(&self, class: &FlowClass) -> Option<Queued> {
    self.queued.get(class)?.last().copied()
  }

  /// The flow of a class whose caller started first.
  pub fn oldest(&self, class: &FlowClass) -> Option<Queued> {
    self.queued.get(class)?.first().copied()
  }

  /// The flow of a class whose caller started first, at `since` or later.
  pub fn oldest_since(&self, class: &FlowClass, since: Instant) -> Option<Queued> {
    let queued = self.queued.get(class)?;
    queued.range((since, FIRST_FLOW)..).next().copied()
  }

  /// Adds a flow.
  pub fn enqueue(&mut self, now: Instant, class: &FlowClass, queued: Queued) {
    self.next_check = self.next_check.max(now);
    self.queued.entry(class.clone()).or_default().insert(queued);
  }

  /// Removes a flow, if it is in the class.
  pub fn remove(&mut self, class: &FlowClass, queued: Queued) {
    let Some(flows) = self.queued.get_mut(class) else {
      return;
    };
    flows.remove(&queued);
    if flows.is_empty() {
      self.queued.remove(class);
    }
  }

  /// How many flows are queued in all.
  pub fn total(&self) -> usize {
    self.queued.values().map(BTreeSet::len).sum()
  }
}
