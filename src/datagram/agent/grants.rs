use std::{
  collections::{BTreeMap, VecDeque},
  net::SocketAddrV4,
  time::{Duration, Instant},
};

/// How long a granted slot is reserved: longer than a round trip to another data centre and the
/// time that a busy process takes to handle its packets.
const GRANT_TTL: Duration = Duration::from_millis(25);

/// How long a backlog that a balancer reported counts: longer than the interval of its reports.
const BACKLOG_TTL: Duration = Duration::from_millis(350);

/// The most balancers whose backlogs are tracked; others get no grants.
const BALANCERS_MAX: usize = 512;

/// The flows that are queued in a balancer for this upstream.
#[derive(Clone, Copy, Debug)]
struct Backlog {
  flows: u16,
  granted: u16,
  last_heard: Instant,
}

impl Backlog {
  /// How many more slots the balancer could use.
  fn wanted(&self) -> u16 {
    self.flows.saturating_sub(self.granted)
  }
}

/// The balancers that have flows queued, and the slots that are reserved for them. The agent grants
/// slots, since it is the first to know when one is free.
#[derive(Debug, Default)]
pub struct Grants {
  backlogs: BTreeMap<SocketAddrV4, Backlog>,
  /// Reserved slots with the time at which each lapses, the earliest first.
  reserved: VecDeque<(Instant, SocketAddrV4)>,
}

impl Grants {
  /// When the next reserved slot lapses; none where none is reserved.
  pub fn deadline(&self) -> Option<Instant> {
    self.reserved.front().map(|(until, _)| *until)
  }

  /// Drops reserved slots that were not used in time, and the backlogs of balancers that no longer
  /// report them. Returns the number of slots that lapsed.
  pub fn expire(&mut self, now: Instant) -> u64 {
    let mut lapsed = 0;
    while let Some((until, balancer)) = self.reserved.front().copied() {
      if until > now {
        break;
      }
      self.reserved.pop_front();
      self.release(balancer);
      lapsed += 1;
    }
    let is_stale = |at: Instant| now.saturating_duration_since(at) >= BACKLOG_TTL;
    self
      .backlogs
      .retain(|_, backlog| !is_stale(backlog.last_heard));
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

  /// Reserves a slot for the balancer that has the most flows without a reserved slot, so that
  /// callers have the same chance at all balancers, and returns the balancer; none where no
  /// balancer wants a slot.
  pub fn grant_next(&mut self, now: Instant) -> Option<SocketAddrV4> {
    let wanting = self.backlogs.iter_mut();
    let wanting = wanting.filter(|(_, backlog)| backlog.wanted() > 0);
    let (balancer, backlog) = wanting.max_by_key(|(_, backlog)| backlog.wanted())?;
    backlog.granted += 1;
    let balancer = *balancer;
    self.reserved.push_back((now + GRANT_TTL, balancer));
    Some(balancer)
  }

  /// Uses a slot that is reserved for the balancer; false where there is none.
  pub fn redeem(&mut self, balancer: SocketAddrV4) -> bool {
    let Some(index) = self
      .reserved
      .iter()
      .position(|(_, other)| *other == balancer)
    else {
      return false;
    };
    self.reserved.remove(index);
    if let Some(backlog) = self.backlogs.get_mut(&balancer) {
      backlog.granted = backlog.granted.saturating_sub(1);
      backlog.flows = backlog.flows.saturating_sub(1);
    }
    true
  }

  /// Sets how many flows a balancer has queued. With none, its reserved slots are released.
  pub fn set_backlog(&mut self, now: Instant, balancer: SocketAddrV4, flows: u16) {
    if flows == 0 {
      self.reserved.retain(|(_, other)| *other != balancer);
      self.backlogs.remove(&balancer);
      return;
    }
    if self.backlogs.len() >= BALANCERS_MAX && !self.backlogs.contains_key(&balancer) {
      return;
    }
    let granted = self.backlogs.get(&balancer);
    let granted = granted.map_or(0, |backlog| backlog.granted);
    let backlog = Backlog {
      flows,
      granted,
      last_heard: now,
    };
    self.backlogs.insert(balancer, backlog);
  }

  /// Subtracts a lapsed grant from the balancer's count, so that its flow may be granted another
  /// slot.
  fn release(&mut self, balancer: SocketAddrV4) {
    if let Some(backlog) = self.backlogs.get_mut(&balancer) {
      backlog.granted = backlog.granted.saturating_sub(1);
    }
  }
}
