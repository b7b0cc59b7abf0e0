use {
  super::{bid::Bid, schedule::Schedule},
  crate::datagram::{
    Timeout,
    frame::{DEMANDS_MAX, Demand},
  },
  serde_json::json,
  std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// How long a granted slot is reserved: longer than a round trip to another data centre and the
/// time that a busy process takes to handle its packets.
pub(super) const GRANT_TTL: Duration = Duration::from_millis(25);

/// How long a backlog that a balancer reported counts: longer than three intervals of its reports,
/// so that two lost ones don't end it.
const BACKLOG_TTL: Duration = Duration::from_millis(350);

/// A balancer that let so many grants lapse in a row gets none until its next report. One or two may
/// be lost on the way; a balancer that is dead or cut off would cost a slot for the whole time
/// until its backlog expires.
const LAPSES_MAX: u8 = 3;

/// The most balancers whose backlogs are tracked; others get no grants.
const BALANCERS_MAX: usize = 512;

/// The flows of one class that are queued in a balancer, and the slots that are reserved for them.
#[derive(Clone, Copy, Debug)]
struct Waiting {
  demand: Demand,
  granted: u16,
}

/// The flows that are queued in a balancer for this upstream, by priority.
#[derive(Clone, Debug)]
struct Backlog {
  classes: BTreeMap<u8, Waiting>,
  /// How many grants lapsed since the last report or use of one.
  lapses: u8,
  last_heard: Instant,
}

impl Backlog {
  fn new(now: Instant) -> Self {
    Self {
      classes: BTreeMap::new(),
      lapses: 0,
      last_heard: now,
    }
  }

  /// Replaces the flows; the slots that are reserved stay so.
  fn report(&mut self, now: Instant, classes: impl Iterator<Item = Demand>) {
    self.last_heard = now;
    self.lapses = 0;
    for waiting in self.classes.values_mut() {
      waiting.demand.flows = 0;
      waiting.demand.callers = 0;
    }
    for demand in classes {
      let granted = self.classes.get(&demand.priority);
      let granted = granted.map_or(0, |waiting| waiting.granted);
      let waiting = Waiting { demand, granted };
      self.classes.insert(demand.priority, waiting);
    }
    self
      .classes
      .retain(|_, waiting| waiting.demand.flows > 0 || waiting.granted > 0);
  }

  /// Counts a slot as no longer reserved for a class.
  fn release(&mut self, priority: u8) {
    if let Some(waiting) = self.classes.get_mut(&priority) {
      waiting.granted = waiting.granted.saturating_sub(1);
    }
  }

  /// Counts a flow of a priority as no longer queued. Classes beyond those of a report are counted
  /// in its lowest one.
  fn remove_flow(&mut self, priority: u8, by_class: bool) {
    let is_merged = self.classes.len() >= DEMANDS_MAX || !by_class;
    let waiting = if is_merged && !self.classes.contains_key(&priority) {
      self.classes.values_mut().next_back()
    } else {
      self.classes.get_mut(&priority)
    };
    if let Some(Waiting { demand, .. }) = waiting {
      demand.flows = demand.flows.saturating_sub(1);
      demand.callers = demand.callers.min(demand.flows);
    }
  }

  /// How many more slots the balancer could use.
  fn wanted(&self) -> u16 {
    let classes = self.classes.values();
    let wanted = classes.map(|waiting| waiting.demand.flows.saturating_sub(waiting.granted));
    wanted.fold(0, u16::saturating_add)
  }
}

/// A slot that is reserved for a balancer.
#[derive(Clone, Copy, Debug)]
struct Reserved {
  balancer: SocketAddrV4,
  /// The class that it is for.
  priority: u8,
  /// When it lapses.
  until: Instant,
}

/// The balancers that have flows queued, and the slots that are reserved for them. The agent grants
/// slots, since it is the first to know when one is free.
#[derive(Debug)]
pub struct Grants {
  backlogs: BTreeMap<SocketAddrV4, Backlog>,
  /// Whether classes and callers decide who gets a slot, or the number of flows alone.
  by_class: bool,
  /// The time from a grant to the opening packet that uses it.
  opening: Timeout,
  /// Reserved slots, the one that lapses first in front.
  reserved: VecDeque<Reserved>,
  schedule: Schedule,
}

impl Grants {
  /// No backlogs. Unless `by_class`, all flows of a balancer count as one class.
  pub fn new(by_class: bool) -> Self {
    Self {
      backlogs: BTreeMap::new(),
      by_class,
      opening: Timeout::new(Duration::ZERO, Duration::ZERO),
      reserved: VecDeque::new(),
      schedule: Schedule::default(),
    }
  }

  /// When the next reserved slot lapses; none where none is reserved.
  pub fn deadline(&self) -> Option<Instant> {
    self.reserved.front().map(|slot| slot.until)
  }

  /// The flows that wait in each balancer, as JSON for operators.
  pub fn dump(&self) -> serde_json::Value {
    let classes = self.backlogs.iter().flat_map(|(balancer, backlog)| {
      let classes = backlog.classes.values();
      classes.map(move |Waiting { demand, granted }| {
        json!({
          "balancer": balancer.to_string(),
          "callers": demand.callers,
          "granted": granted,
          "oldest_ms": demand.oldest_ms,
          "priority": demand.priority,
          "queued": demand.flows,
        })
      })
    });
    classes.collect()
  }

  /// Drops reserved slots that were not used in time, and the backlogs of balancers that no longer
  /// report them. Returns the number of slots that lapsed.
  pub fn expire(&mut self, now: Instant) -> u64 {
    let mut lapsed = 0;
    while let Some(slot) = self.reserved.front().copied() {
      if slot.until > now {
        break;
      }
      self.reserved.pop_front();
      self.lapse(slot);
      lapsed += 1;
    }
    self
      .backlogs
      .retain(|_, backlog| !is_stale(now, backlog.last_heard));
    lapsed
  }

  /// Whether no balancer has a backlog.
  pub fn is_empty(&self) -> bool {
    self.backlogs.is_empty()
  }

  /// The number of slots that are reserved.
  pub fn reserved(&self) -> u16 {
    self.reserved.len().min(usize::from(u16::MAX)) as u16
  }

  /// The mean time from a grant to the opening packet that uses it.
  pub fn opening_time(&self) -> Duration {
    self.opening.mean()
  }

  /// The number of flows that wait in all balancers.
  pub fn waiting(&self, now: Instant) -> u16 {
    let backlogs = self.backlogs.values();
    let fresh = backlogs.filter(|backlog| !is_stale(now, backlog.last_heard));
    let classes = fresh.flat_map(|backlog| backlog.classes.values());
    let flows = classes.map(|waiting| waiting.demand.flows);
    flows.fold(0, u16::saturating_add)
  }

  /// Reserves a slot for the balancer and the class whose turn it is, and returns both; none where
  /// no balancer wants a slot.
  pub fn grant_next(&mut self, now: Instant) -> Option<(SocketAddrV4, u8)> {
    let (balancer, priority) = if self.by_class {
      self.schedule.next(&self.bids())?
    } else {
      self.longest()?
    };
    let backlog = self.backlogs.get_mut(&balancer)?;
    backlog.classes.get_mut(&priority)?.granted += 1;
    self.reserved.push_back(Reserved {
      balancer,
      priority,
      until: now + GRANT_TTL,
    });
    Some((balancer, priority))
  }

  /// The flows of each class of each balancer that may get a slot.
  fn bids(&self) -> Vec<Bid> {
    let backlogs = self.backlogs.iter();
    let answering = backlogs.filter(|(_, backlog)| backlog.lapses < LAPSES_MAX);
    let bids = answering.flat_map(|(balancer, backlog)| {
      let classes = backlog.classes.iter();
      classes.map(|(priority, waiting)| Bid {
        balancer: *balancer,
        callers: waiting.demand.callers,
        flows: waiting.demand.flows,
        granted: waiting.granted,
        priority: *priority,
      })
    });
    bids.collect()
  }

  /// The balancer that has the most flows without a reserved slot, and its first class.
  fn longest(&self) -> Option<(SocketAddrV4, u8)> {
    let backlogs = self.backlogs.iter();
    let wanting = backlogs.filter(|(_, backlog)| backlog.wanted() > 0);
    let (balancer, backlog) = wanting.max_by_key(|(_, backlog)| backlog.wanted())?;
    let (priority, _) = backlog.classes.first_key_value()?;
    Some((*balancer, *priority))
  }

  /// Uses a slot that is reserved for the balancer, one of the flow's class if there is one, for a
  /// flow of this priority; false where no slot is reserved.
  pub fn redeem(&mut self, now: Instant, balancer: SocketAddrV4, priority: u8) -> bool {
    let slots = self.reserved.iter();
    let own = slots
      .enumerate()
      .filter(|(_, slot)| slot.balancer == balancer);
    let Some((index, slot)) = own.min_by_key(|(_, slot)| slot.priority != priority) else {
      return false;
    };
    let reserved_for = slot.priority;
    let left = slot.until.saturating_duration_since(now);
    self.opening.observe(GRANT_TTL.saturating_sub(left));
    self.reserved.remove(index);
    if let Some(backlog) = self.backlogs.get_mut(&balancer) {
      backlog.lapses = 0;
      backlog.release(reserved_for);
      backlog.remove_flow(priority, self.by_class);
    }
    true
  }

  /// Sets which flows a balancer has queued. With none, its reserved slots are released.
  pub fn set_backlog(&mut self, now: Instant, balancer: SocketAddrV4, classes: &[Demand]) {
    let classes = classes.iter().filter(|demand| demand.flows > 0).copied();
    let mut classes = classes.take(DEMANDS_MAX).collect::<Vec<_>>();
    if classes.is_empty() {
      self.reserved.retain(|slot| slot.balancer != balancer);
      self.backlogs.remove(&balancer);
      return;
    }
    if self.backlogs.len() >= BALANCERS_MAX && !self.backlogs.contains_key(&balancer) {
      return;
    }
    if !self.by_class {
      classes = vec![merged(&classes)];
    }
    let backlog = self.backlogs.entry(balancer);
    let backlog = backlog.or_insert_with(|| Backlog::new(now));
    backlog.report(now, classes.into_iter());
  }

  /// Counts a grant of a balancer as lapsed, so that its flow may be granted another slot.
  fn lapse(&mut self, slot: Reserved) {
    if let Some(backlog) = self.backlogs.get_mut(&slot.balancer) {
      backlog.lapses = backlog.lapses.saturating_add(1);
      backlog.release(slot.priority);
    }
  }
}

/// Whether a backlog that was reported then no longer counts.
fn is_stale(now: Instant, last_heard: Instant) -> bool {
  now.saturating_duration_since(last_heard) >= BACKLOG_TTL
}

/// The flows of all classes as those of the highest priority.
fn merged(classes: &[Demand]) -> Demand {
  let mut all = Demand::default();
  for demand in classes {
    all.add(demand);
  }
  all
}
