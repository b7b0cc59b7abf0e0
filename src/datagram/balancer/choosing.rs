//! Which target a balancer chooses for a new flow.

use {
  super::{
    cost::{Typical, UNLIKELY_MS, is_hasty, wait},
    place::Tried,
    targets::Targets,
  },
  crate::datagram::Service,
  std::{net::SocketAddrV4, time::Instant},
};

/// A target for a new flow.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
  /// Its agent.
  pub agent: SocketAddrV4,
  /// Whether a request would be worked on at once.
  pub is_free: bool,
  /// Whether its agent keeps a place for the flow.
  pub is_granted: bool,
  /// The time until a request would be answered there, in milliseconds.
  pub wait_ms: f64,
}

impl Targets {
  /// The target for a new flow: the one where it waits the least, for whoever is near first; with
  /// the time until it would be answered there. Where that is more than `limit_ms`, any one where
  /// it is less is better, however far.
  pub fn choose(
    &self,
    now: Instant,
    service: &Service,
    tried: &Tried,
    limit_ms: f64,
  ) -> Option<Choice> {
    let typical = self.typical(service);
    let within = |limit_ms| self.best(now, service, tried, typical, limit_ms);
    let best = within(f64::INFINITY)?;
    if best.wait_ms <= limit_ms {
      return Some(best);
    }
    within(limit_ms).or(Some(best))
  }

  /// Whether a service has a target that may take a new flow, busy or not.
  pub fn takes(&self, now: Instant, service: &Service) -> bool {
    let agents = self.services.get(service).into_iter().flatten();
    let mut seen = agents.filter_map(|agent| self.by_agent.get(agent));
    seen.any(|seen| seen.service == *service && self.cost(now, seen, Typical::default()).is_some())
  }

  /// The one of the least cost, of those where a new flow waits no longer than a limit.
  fn best(
    &self,
    now: Instant,
    service: &Service,
    tried: &Tried,
    typical: Typical,
    limit_ms: f64,
  ) -> Option<Choice> {
    let agents = self.services.get(service)?.iter();
    let open = agents.filter(|agent| !tried.contains(agent));
    let costs = open.filter_map(|agent| {
      let seen = self.by_agent.get(agent)?;
      if seen.service != *service {
        return None;
      }
      if wait(seen) > limit_ms {
        return None;
      }
      let cost = self.cost(now, seen, typical)?;
      Some((cost, agent))
    });
    let (_, agent) = costs.min_by(|one, other| one.0.total_cmp(&other.0))?;
    self.choice(*agent)
  }

  /// A certain target for a new flow.
  pub fn choice(&self, agent: SocketAddrV4) -> Option<Choice> {
    let seen = self.by_agent.get(&agent)?;
    Some(Choice {
      agent,
      is_free: seen.load.work.saturating_add(seen.pending) < seen.slots
        && !seen.load.is_full(seen.pending),
      is_granted: false,
      wait_ms: wait(seen),
    })
  }

  /// The agents of a service's targets that most likely serve.
  pub fn serving(&self, now: Instant, service: &Service) -> Vec<SocketAddrV4> {
    let agents = self.services.get(service).into_iter().flatten().copied();
    let here = agents.filter(|agent| self.service(*agent) == Some(service));
    here.filter(|agent| self.serves(now, *agent)).collect()
  }

  /// Whether a target most likely serves: it is listed, heard of, and answers as others do.
  pub fn serves(&self, now: Instant, agent: SocketAddrV4) -> bool {
    let Some(seen) = self.by_agent.get(&agent) else {
      return false;
    };
    if seen.gone.is_some() || is_hasty(seen, self.typical(&seen.service)) {
      return false;
    }
    let cost = self.cost(now, seen, Typical::default());
    cost.is_some_and(|cost| cost < UNLIKELY_MS)
  }

  /// How many requests the targets of a service answer in a second, as far as known.
  pub fn rate(&self, now: Instant, service: &Service) -> f64 {
    let warmup = self.warmups.get(service);
    let listed = self.by_agent.values();
    let listed = listed.filter(|seen| seen.service == *service && seen.gone.is_none());
    let open = listed.filter(|seen| !self.closures.is_closed(now, &seen.data_centre));
    let rates = open.map(|seen| {
      let rate = f64::from(seen.slots) * 1000.0 / seen.load.time_ms();
      match warmup {
        Some(warmup) if seen.load.room.is_some() => rate.min(f64::from(warmup.per_second)),
        _ => rate,
      }
    });
    rates.sum()
  }
}
