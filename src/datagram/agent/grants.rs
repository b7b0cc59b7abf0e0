use std::{
  collections::{BTreeMap, VecDeque},
  net::SocketAddrV4,
  time::{Duration, Instant},
};

/// How long a granted place is kept for a balancer: longer than a round trip to another data
/// centre and the time that a busy process takes for its packets.
const KEPT: Duration = Duration::from_millis(25);

/// How long a balancer's word of its backlog counts: longer than it takes until it is renewed.
const HEARD: Duration = Duration::from_millis(350);

/// How many balancers are served at once; the others have to do without grants.
const BALANCERS_MAX: usize = 512;

/// What waits in a balancer for this upstream.
#[derive(Clone, Copy, Debug)]
struct Backlog {
  flows: u16,
  granted: u16,
  heard: Instant,
}

impl Backlog {
  fn wanted(&self) -> u16 {
    self.flows.saturating_sub(self.granted)
  }
}

/// Which balancers have a backlog, and which places at the upstream they were granted: only the
/// agent knows at once when a place becomes free.
#[derive(Debug, Default)]
pub struct Grants {
  backlogs: BTreeMap<SocketAddrV4, Backlog>,
  /// Places that are kept, by the time when they no longer are.
  kept: VecDeque<(Instant, SocketAddrV4)>,
}

impl Grants {
  /// When the first place is no longer kept.
  pub fn deadline(&self) -> Option<Instant> {
    self.kept.front().map(|(until, _)| *until)
  }

  /// Forgets places that were not taken in time, and balancers that are silent; how many places.
  pub fn expire(&mut self, now: Instant) -> u64 {
    let mut lapsed = 0;
    while let Some((until, balancer)) = self.kept.front().copied() {
      if until > now {
        break;
      }
      self.kept.pop_front();
      self.give_back(balancer);
      lapsed += 1;
    }
    let silent = |heard: Instant| now.saturating_duration_since(heard) >= HEARD;
    self.backlogs.retain(|_, backlog| !silent(backlog.heard));
    lapsed
  }

  /// Whether flows wait nowhere, as far as balancers said.
  pub fn is_empty(&self) -> bool {
    self.backlogs.is_empty()
  }

  /// How many places are kept.
  pub fn kept(&self) -> u16 {
    self.kept.len().min(usize::from(u16::MAX)) as u16
  }

  /// Grants one place to the balancer where the most flows wait, so that all callers have the same
  /// chance wherever they come in; none where nobody wants one.
  pub fn next(&mut self, now: Instant) -> Option<SocketAddrV4> {
    let wanting = self.backlogs.iter_mut();
    let wanting = wanting.filter(|(_, backlog)| backlog.wanted() > 0);
    let (balancer, backlog) = wanting.max_by_key(|(_, backlog)| backlog.wanted())?;
    backlog.granted += 1;
    let balancer = *balancer;
    self.kept.push_back((now + KEPT, balancer));
    Some(balancer)
  }

  /// A flow came from a balancer; whether a place was kept for it.
  pub fn take(&mut self, balancer: SocketAddrV4) -> bool {
    let Some(index) = self.kept.iter().position(|(_, other)| *other == balancer) else {
      return false;
    };
    self.kept.remove(index);
    if let Some(backlog) = self.backlogs.get_mut(&balancer) {
      backlog.granted = backlog.granted.saturating_sub(1);
      backlog.flows = backlog.flows.saturating_sub(1);
    }
    true
  }

  /// A balancer says how many flows wait there. Where none does, it gives back its places.
  pub fn take_backlog(&mut self, now: Instant, balancer: SocketAddrV4, flows: u16) {
    if flows == 0 {
      self.kept.retain(|(_, other)| *other != balancer);
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
      heard: now,
    };
    self.backlogs.insert(balancer, backlog);
  }

  fn give_back(&mut self, balancer: SocketAddrV4) {
    if let Some(backlog) = self.backlogs.get_mut(&balancer) {
      backlog.granted = backlog.granted.saturating_sub(1);
    }
  }
}
