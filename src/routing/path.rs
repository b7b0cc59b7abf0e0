use {
  rand::{RngExt, rngs::SmallRng},
  std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// A balancer that no frame came from for this long is considered unresponsive.
const BALANCER_TIMEOUT: Duration = Duration::from_millis(2500);

/// A balancer of the configuration that no frame came from for this long is probed, at most once in
/// this time.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A balancer that can be reached is heard from within this time: it is probed after
/// `PROBE_INTERVAL`, and the probe is answered.
const HEARD_RECENTLY: Duration = Duration::from_millis(1500);

/// How long a caller, or a balancer that the configuration doesn't name, is remembered after its
/// last packet.
const CALLER_TTL: Duration = Duration::from_mins(2);

/// How many callers are remembered.
const CALLERS_MAX: usize = 100_000;

/// Chooses the balancer that sends an answer to its caller: the one that forwarded the caller's
/// last packet, directly if one did; if that was not heard from recently, a random one that was; then
/// a random responsive one; if none is responsive, any.
#[derive(Debug, Default)]
pub struct Path {
  balancers: HashMap<SocketAddr, Balancer>,
  /// The balancer of each caller's last packet, and when that packet arrived.
  callers: HashMap<SocketAddr, (SocketAddr, Instant)>,
}

#[derive(Debug)]
struct Balancer {
  last_heard: Instant,
  /// Whether the configuration names it.
  listed: bool,
  last_probe: Option<Instant>,
}

impl Path {
  /// Records the balancer of a caller's packet. The balancer counts as responsive only if it sent
  /// the packet to this agent directly: one whose packet another agent forwarded may be unreachable
  /// from here. It does not replace one that was heard from recently.
  pub fn note_packet(
    &mut self,
    now: Instant,
    caller: SocketAddr,
    balancer: SocketAddr,
    direct: bool,
  ) {
    if direct {
      self.note_heard(now, balancer);
    }
    let known = self.callers.get(&caller).map(|(known, _)| *known);
    let kept = known.filter(|known| !direct && self.is_heard(now, *known, HEARD_RECENTLY));
    if known.is_some() || self.callers.len() < CALLERS_MAX {
      self.callers.insert(caller, (kept.unwrap_or(balancer), now));
    }
  }

  /// The balancer for an answer to `caller`; none if no balancer is known.
  pub fn choose(&self, now: Instant, caller: SocketAddr, rng: &mut SmallRng) -> Option<SocketAddr> {
    let last = self.callers.get(&caller).map(|(balancer, _)| *balancer);
    for within in [HEARD_RECENTLY, BALANCER_TIMEOUT] {
      if let Some(balancer) = last.filter(|balancer| self.is_heard(now, *balancer, within)) {
        return Some(balancer);
      }
      let heard = self.balancers.keys().copied();
      let heard = heard.filter(|balancer| self.is_heard(now, *balancer, within));
      if let Some(balancer) = random(heard, rng) {
        return Some(balancer);
      }
    }
    random(self.balancers.keys().copied(), rng)
  }

  /// Records a frame from a balancer as a sign of life.
  pub fn note_heard(&mut self, now: Instant, balancer: SocketAddr) {
    self
      .balancers
      .entry(balancer)
      .and_modify(|state| state.last_heard = now)
      .or_insert(Balancer {
        last_heard: now,
        listed: false,
        last_probe: None,
      });
  }

  /// Sets the balancers that the configuration names; others are kept until they expire.
  pub fn set_listed(&mut self, now: Instant, balancers: &[SocketAddr]) {
    for (address, state) in &mut self.balancers {
      state.listed = balancers.contains(address);
    }
    // A new balancer counts as unresponsive until a frame from it arrives.
    let one_timeout_ago = now.checked_sub(BALANCER_TIMEOUT).unwrap_or(now);
    for address in balancers {
      self.balancers.entry(*address).or_insert(Balancer {
        last_heard: one_timeout_ago,
        listed: true,
        last_probe: None,
      });
    }
    self.expire(now);
  }

  /// The balancers that are to be probed now; each counts as probed by this call.
  pub fn take_due_probes(&mut self, now: Instant) -> Vec<SocketAddr> {
    let mut due = Vec::new();
    for (address, state) in &mut self.balancers {
      let heard = now.duration_since(state.last_heard) < PROBE_INTERVAL;
      let probed = state
        .last_probe
        .is_some_and(|last_probe| now.duration_since(last_probe) < PROBE_INTERVAL);
      if state.listed && !heard && !probed {
        state.last_probe = Some(now);
        due.push(*address);
      }
    }
    due
  }

  /// The numbers of callers and of balancers that are remembered.
  pub fn len(&self) -> (usize, usize) {
    (self.callers.len(), self.balancers.len())
  }

  /// Whether no caller and no balancer is remembered.
  pub fn is_empty(&self) -> bool {
    self.len() == (0, 0)
  }

  /// Forgets callers without recent packets, and balancers without recent frames that the
  /// configuration doesn't name.
  pub fn expire(&mut self, now: Instant) {
    self
      .callers
      .retain(|_, (_, last_packet)| now.duration_since(*last_packet) < CALLER_TTL);
    self
      .balancers
      .retain(|_, state| state.listed || now.duration_since(state.last_heard) < CALLER_TTL);
  }

  /// Whether a frame from a balancer has arrived within this time.
  fn is_heard(&self, now: Instant, balancer: SocketAddr, within: Duration) -> bool {
    self
      .balancers
      .get(&balancer)
      .is_some_and(|state| now.duration_since(state.last_heard) < within)
  }
}

/// One of these balancers; none if there is none.
fn random(balancers: impl Iterator<Item = SocketAddr>, rng: &mut SmallRng) -> Option<SocketAddr> {
  let balancers = balancers.collect::<Vec<_>>();
  if balancers.is_empty() {
    return None;
  }
  Some(balancers[rng.random_range(0..balancers.len())])
}
