//! Chooses a target for a new flow.

use {
  super::{
    cost::{Medians, UNAVAILABLE_MS, is_fast_failing},
    place::Tried,
    targets::{TargetState, Targets},
  },
  crate::datagram::{Flow, Service},
  smallvec::SmallVec,
  std::{net::SocketAddrV4, time::Instant},
  xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Targets whose costs differ by no more than this are equivalent, in milliseconds. All balancers
/// see the same loads: if each chose the lowest cost, all would choose one target until its load
/// changed. It is less than the random variation of the times of equal requests.
const COST_TOLERANCE_MS: f64 = 5.0;

/// A target for a new flow, with what decides whether the flow is sent there now or queued.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
  /// The address of its agent.
  pub agent: SocketAddrV4,
  /// Whether a request would be processed at once.
  pub is_free: bool,
  /// Whether its agent has reserved a slot for the flow.
  pub is_granted: bool,
  /// How long a request would take to be answered there, in milliseconds.
  pub wait_ms: f64,
}

/// What a target is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
  /// The new flow.
  pub flow: &'a Flow,
  /// The medians that apply to the flow.
  pub medians: Medians,
  /// The time of the choice.
  pub now: Instant,
  /// The service that the flow belongs to.
  pub service: &'a Service,
  /// The agents that have been tried before.
  pub tried: &'a Tried,
}

impl Targets {
  /// The target of the lowest cost for a new flow; local ones cost less than remote ones. If a
  /// request there would not be answered within `limit_ms`, the best target where it would is
  /// preferred. None if no target accepts new flows.
  pub fn choose(
    &self,
    now: Instant,
    flow: &Flow,
    service: &Service,
    tried: &Tried,
    limit_ms: f64,
  ) -> Option<Choice> {
    let query = Query {
      flow,
      medians: self.medians_for(flow, service),
      now,
      service,
      tried,
    };
    if let Some(choice) = self.choose_evenly(&query, limit_ms) {
      return Some(choice);
    }
    let within = |limit_ms| Some(self.best(&query, limit_ms, |_, _| true)?.1);
    let best = within(f64::INFINITY)?;
    if best.wait_ms <= limit_ms {
      return Some(best);
    }
    within(limit_ms).or(Some(best))
  }

  /// Whether a service has a target that accepts new flows, busy or not.
  pub fn accepts(&self, now: Instant, service: &Service) -> bool {
    let agents = self.services.get(service).into_iter().flatten();
    let mut targets = agents.filter_map(|agent| self.by_agent.get(agent));
    targets.any(|target| {
      target.service == *service && self.cost(now, target, Medians::default()).is_some()
    })
  }

  /// One of the targets of the lowest cost, with its cost, among those that `admits` names and
  /// where a request would be answered within `limit_ms`. Equivalent targets are ranked by a hash of
  /// the flow.
  pub(super) fn best(
    &self,
    query: &Query,
    limit_ms: f64,
    admits: impl Fn(SocketAddrV4, &TargetState) -> bool,
  ) -> Option<(f64, Choice)> {
    let Query { medians, now, .. } = *query;
    let agents = self.services.get(query.service)?.iter();
    let untried = agents.filter(|agent| !query.tried.contains(agent));
    let costs = untried.filter_map(|agent| {
      let target = self.by_agent.get(agent)?;
      if target.service != *query.service || !admits(*agent, target) {
        return None;
      }
      if medians.wait_ms(target) > limit_ms {
        return None;
      }
      let cost = self.cost(now, target, medians)?;
      Some((cost, *agent, target.data_centre.as_str()))
    });
    let costs = costs.collect::<SmallVec<[(f64, SocketAddrV4, &str); 64]>>();
    let by_cost = |(one, ..): &&(f64, _, _), (other, ..): &&(f64, _, _)| one.total_cmp(other);
    let (least, _, nearest) = costs.iter().min_by(by_cost)?;
    // With overload control, flows cross to another data centre only where that costs less.
    let is_near = |data_centre| !self.tuning.overload.enabled || data_centre == *nearest;
    let equivalent = costs
      .iter()
      .filter(|(cost, _, data_centre)| *cost <= least + COST_TOLERANCE_MS && is_near(*data_centre));
    let key = query.flow.key();
    let (cost, agent, _) = equivalent.min_by_key(|(_, agent, _)| rank(key, *agent))?;
    Some((*cost, self.choice_of(*agent, medians)?))
  }

  /// The target at an agent as a choice, whatever it costs.
  pub fn choice(&self, agent: SocketAddrV4) -> Option<Choice> {
    let service = self.service(agent)?;
    self.choice_of(agent, self.medians(service))
  }

  pub(super) fn choice_of(&self, agent: SocketAddrV4, medians: Medians) -> Option<Choice> {
    let target = self.by_agent.get(&agent)?;
    Some(Choice {
      agent,
      is_free: target.in_flight() < target.slots && !target.load.is_full(target.pending),
      is_granted: false,
      wait_ms: medians.wait_ms(target),
    })
  }

  /// The agents of a service's targets that are likely to answer.
  pub fn serving(&self, now: Instant, service: &Service) -> Vec<SocketAddrV4> {
    let agents = self.services.get(service).into_iter().flatten().copied();
    let agents = agents.filter(|agent| self.service(*agent) == Some(service));
    agents.filter(|agent| self.serves(now, *agent)).collect()
  }

  /// Whether a target is likely to answer: it is listed and alive, opens flows and does not fail
  /// fast.
  pub fn serves(&self, now: Instant, agent: SocketAddrV4) -> bool {
    let Some(target) = self.by_agent.get(&agent) else {
      return false;
    };
    if target.removed.is_some() || is_fast_failing(target, self.medians(&target.service)) {
      return false;
    }
    let cost = self.cost(now, target, Medians::default());
    cost.is_some_and(|cost| cost < UNAVAILABLE_MS)
  }

  /// The requests per second that the targets of a service can answer, from their known loads.
  pub fn rate(&self, now: Instant, service: &Service) -> f64 {
    let warmup = self.warmups.get(service);
    let listed = self.by_agent.values();
    let listed = listed.filter(|target| target.service == *service && target.removed.is_none());
    let open = listed.filter(|target| !self.evacuations.is_closed(now, &target.data_centre));
    let rates = open.map(|target| {
      let rate = f64::from(target.slots) * 1000.0 / target.load.time_ms();
      match warmup {
        Some(warmup) if target.load.room.is_some() => rate.min(f64::from(warmup.per_second)),
        _ => rate,
      }
    });
    rates.sum()
  }
}

/// The rank of an agent for a flow, the same in all processes.
fn rank(flow: u64, agent: SocketAddrV4) -> u64 {
  xxh3_64_with_seed(&agent.ip().octets(), flow)
}
