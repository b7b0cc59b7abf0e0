//! Which target a balancer chooses for a new flow.

use {
  super::{
    cost::{Typical, UNLIKELY_MS, is_hasty},
    place::Tried,
    targets::Targets,
  },
  crate::datagram::{Flow, Service},
  smallvec::SmallVec,
  std::{net::SocketAddrV4, time::Instant},
  xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Targets whose costs differ by no more are alike, in milliseconds: less than half of what a slot in
/// use makes, and than what chance makes of the times of the same requests. All balancers hear of the
/// same loads; those who take the very least all go to one target until its load says otherwise.
const ALIKE_MS: f64 = 5.0;

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
    flow: &Flow,
    service: &Service,
    tried: &Tried,
    limit_ms: f64,
  ) -> Option<Choice> {
    let typical = self.typical(service);
    let within = |limit_ms| self.best(now, flow, service, tried, typical, limit_ms);
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

  /// One of the least cost, of those where a new flow waits no longer than a limit. The flow decides
  /// between those that are alike.
  fn best(
    &self,
    now: Instant,
    flow: &Flow,
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
      if typical.wait_ms(seen) > limit_ms {
        return None;
      }
      let cost = self.cost(now, seen, typical)?;
      Some((cost, agent))
    });
    let costs = costs.collect::<SmallVec<[(f64, &SocketAddrV4); 64]>>();
    let least = costs.iter().map(|(cost, _)| *cost).min_by(f64::total_cmp)?;
    let alike = costs.iter().filter(|(cost, _)| *cost <= least + ALIKE_MS);
    let key = flow.key();
    let (_, agent) = alike.min_by_key(|(_, agent)| rank(key, **agent))?;
    self.choice_of(**agent, typical)
  }

  /// A certain target for a new flow.
  pub fn choice(&self, agent: SocketAddrV4) -> Option<Choice> {
    let service = self.service(agent)?;
    self.choice_of(agent, self.typical(service))
  }

  fn choice_of(&self, agent: SocketAddrV4, typical: Typical) -> Option<Choice> {
    let seen = self.by_agent.get(&agent)?;
    Some(Choice {
      agent,
      is_free: seen.load.work.saturating_add(seen.pending) < seen.slots
        && !seen.load.is_full(seen.pending),
      is_granted: false,
      wait_ms: typical.wait_ms(seen),
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

/// The place of an agent in the order of a flow, the same in every process.
fn rank(flow: u64, agent: SocketAddrV4) -> u64 {
  xxh3_64_with_seed(&agent.ip().octets(), flow)
}
