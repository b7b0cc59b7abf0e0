use {
  rand::{RngExt, rngs::SmallRng},
  std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// A balancer that was not heard of for so long is passed over.
const HEARD_WITHIN: Duration = Duration::from_millis(2500);

/// A listed balancer that was not heard of for so long is probed, once in that time.
const PROBE: Duration = Duration::from_secs(1);

/// How long a caller is remembered after its last packet.
const CALLER_KEPT: Duration = Duration::from_mins(2);

/// How many callers are remembered.
const CALLERS_MAX: usize = 100_000;

/// Chooses the balancer that an answer leaves by: the one that the caller's last packet came
/// through while it is heard of, else any that is. Never waits on a single one.
#[derive(Debug, Default)]
pub struct Path {
  balancers: HashMap<SocketAddr, Balancer>,
  callers: HashMap<SocketAddr, (SocketAddr, Instant)>,
}

#[derive(Debug)]
struct Balancer {
  heard: Instant,
  listed: bool,
  probed: Option<Instant>,
}

impl Path {
  /// A caller's packet came through a balancer. One that another agent passed on is no sign that
  /// the balancer can be reached from here.
  pub fn carried(&mut self, now: Instant, caller: SocketAddr, balancer: SocketAddr, direct: bool) {
    if direct {
      self.heard(now, balancer);
    }
    if self.callers.len() < CALLERS_MAX || self.callers.contains_key(&caller) {
      self.callers.insert(caller, (balancer, now));
    }
  }

  /// The balancer for an answer to `caller`.
  pub fn choose(&self, now: Instant, caller: SocketAddr, rng: &mut SmallRng) -> Option<SocketAddr> {
    if let Some((balancer, _)) = self.callers.get(&caller)
      && self.is_fresh(now, *balancer)
    {
      return Some(*balancer);
    }
    let fresh = self
      .balancers
      .iter()
      .filter(|(_, state)| now.duration_since(state.heard) < HEARD_WITHIN)
      .map(|(address, _)| *address)
      .collect::<Vec<_>>();
    if fresh.is_empty() {
      return self.any(rng);
    }
    Some(fresh[rng.random_range(0..fresh.len())])
  }

  /// A frame came from a balancer.
  pub fn heard(&mut self, now: Instant, balancer: SocketAddr) {
    self
      .balancers
      .entry(balancer)
      .and_modify(|state| state.heard = now)
      .or_insert(Balancer {
        heard: now,
        listed: false,
        probed: None,
      });
  }

  /// The configuration names these balancers; the others stay while they are heard of.
  pub fn list(&mut self, now: Instant, balancers: &[SocketAddr]) {
    for (address, state) in &mut self.balancers {
      state.listed = balancers.contains(address);
    }
    let long_ago = now.checked_sub(HEARD_WITHIN).unwrap_or(now);
    for address in balancers {
      self.balancers.entry(*address).or_insert(Balancer {
        heard: long_ago,
        listed: true,
        probed: None,
      });
    }
    self.expire(now);
  }

  /// The listed balancers that are to be probed now: not heard of and not probed for a while.
  pub fn quiet(&mut self, now: Instant) -> Vec<SocketAddr> {
    let mut quiet = Vec::new();
    for (address, state) in &mut self.balancers {
      let heard = now.duration_since(state.heard) < PROBE;
      let probed = state
        .probed
        .is_some_and(|probed| now.duration_since(probed) < PROBE);
      if state.listed && !heard && !probed {
        state.probed = Some(now);
        quiet.push(*address);
      }
    }
    quiet
  }

  /// How many callers and balancers are remembered.
  pub fn len(&self) -> (usize, usize) {
    (self.callers.len(), self.balancers.len())
  }

  /// Whether nothing is remembered.
  pub fn is_empty(&self) -> bool {
    self.len() == (0, 0)
  }

  /// Forgets callers and unlisted balancers that were not heard of for long.
  pub fn expire(&mut self, now: Instant) {
    self
      .callers
      .retain(|_, (_, heard)| now.duration_since(*heard) < CALLER_KEPT);
    self
      .balancers
      .retain(|_, state| state.listed || now.duration_since(state.heard) < CALLER_KEPT);
  }

  fn any(&self, rng: &mut SmallRng) -> Option<SocketAddr> {
    let all = self.balancers.keys().copied().collect::<Vec<_>>();
    if all.is_empty() {
      return None;
    }
    Some(all[rng.random_range(0..all.len())])
  }

  fn is_fresh(&self, now: Instant, balancer: SocketAddr) -> bool {
    self
      .balancers
      .get(&balancer)
      .is_some_and(|state| now.duration_since(state.heard) < HEARD_WITHIN)
  }
}
