//! Compares the targets of a service with each other, with overload control.

use {
  super::{
    choosing::{Choice, Query},
    cost::{Medians, UNAVAILABLE_MS, failure_cost_ms},
    targets::{TargetState, Targets},
  },
  crate::datagram::{
    Flow, Load, Service,
    uneven::{Crossing, Joining, Kind, Relief, Sample, Speeds},
  },
  smallvec::SmallVec,
  std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
  xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// The shortest interval between two comparisons: shorter than most requests take. One of 50
/// targets takes 27 µs, so that they cost a thin balancer (0.1 of a core) a seventieth of its time.
const INTERVAL: Duration = Duration::from_millis(20);

/// Loads older than this do not count: agents drop their own measurements after the same time.
const LOAD_TTL: Duration = Duration::from_secs(3);

/// The seed of the hash by which flows are drawn for relieved targets, so that the draw does not
/// depend on the ranks of targets.
const DRAW_SEED: u64 = 1;

/// What a balancer derives from the loads of a service's targets.
#[derive(Debug, Default)]
pub struct Comparison {
  /// By the name of the other data centre.
  crossings: BTreeMap<String, Crossing>,
  /// Whether a load has come since the last comparison.
  is_outdated: bool,
  joining: Joining<SocketAddrV4>,
  /// When the targets were last compared.
  last: Option<Instant>,
  medians: Medians,
  relief: Relief<SocketAddrV4>,
  /// The slots of all targets.
  slots: f64,
  speeds: Speeds,
}

impl Comparison {
  /// The medians that apply to flows of a kind of work.
  fn medians_of(&self, kind: Kind) -> Medians {
    Medians {
      kind: Some(kind),
      kind_ms: self.speeds.median(kind).map_or(0.0, to_ms),
      ..self.medians
    }
  }

  /// Whether a target takes new flows within the limits of its trial and of a target that has just
  /// joined, relieved or not. The flow to be placed brings so many requests.
  fn admits(&self, agent: SocketAddrV4, target: &TargetState, requests: f64) -> bool {
    let is_relieved = self.relief.is_relieved(agent);
    let share = f64::from(target.slots) / self.slots.max(1.0);
    (is_relieved || self.relief.permits(agent, target.in_flight()))
      && self.joining.permits(agent, share, requests)
  }

  /// Decides anew which targets are relieved and which are tried, and which have just joined.
  fn update(&mut self, samples: &[(SocketAddrV4, Sample)]) {
    self.slots = samples
      .iter()
      .map(|(_, sample)| f64::from(sample.slots))
      .sum();
    self.relief.update(samples);
    let is_member = |agent| samples.iter().any(|(other, _)| *other == agent);
    self.joining.retain(is_member);
  }

  /// Removes what is known of a target whose upstream has started again.
  pub(super) fn remove(&mut self, agent: SocketAddrV4) {
    self.relief.remove(agent);
    self.joining.remove(agent);
  }
}

impl Targets {
  /// Compares the targets of a service if a load has come since this was last done, unless that was
  /// just now.
  pub(super) fn refresh(&mut self, now: Instant, service: &Service) {
    let is_recent = |last: Instant| now.saturating_duration_since(last) < INTERVAL;
    let Some(comparison) = self.comparisons.get(service) else {
      return;
    };
    if comparison.is_outdated && !comparison.last.is_some_and(is_recent) {
      self.compare(now, service);
    }
  }

  /// Notes that a load has come from a target of a service. A speed that has become known or
  /// unknown, or has changed, is compared at once.
  pub(super) fn note_load(&mut self, now: Instant, service: &Service, before: &Load, load: &Load) {
    if !self.tuning.overload.enabled {
      return;
    }
    let comparison = self.comparisons.entry(service.clone()).or_default();
    comparison.is_outdated = true;
    let is_known = |load: &Load| load.service_ms > 0;
    if is_known(before) != is_known(load) || load.has_other_speed(before) {
      comparison.last = None;
    }
    self.refresh(now, service);
  }

  /// Counts a flow that is placed on a target.
  pub(super) fn note_placed(&mut self, agent: SocketAddrV4, flow: &Flow) {
    let target = self.by_agent.get(&agent);
    if let Some(comparison) = target.and_then(|target| self.comparisons.get_mut(&target.service)) {
      let requests = comparison.speeds.requests_per_flow(Kind::from(flow.route));
      comparison.joining.record(agent, requests);
    }
  }

  /// The medians that apply to a flow of a service.
  pub(super) fn medians_for(&self, flow: &Flow, service: &Service) -> Medians {
    match self.comparisons.get(service) {
      Some(comparison) => comparison.medians_of(Kind::from(flow.route)),
      None => self.medians(service),
    }
  }

  fn compare(&mut self, now: Instant, service: &Service) {
    let Some(mut comparison) = self.comparisons.remove(service) else {
      return;
    };
    comparison.last = Some(now);
    comparison.is_outdated = false;
    comparison.medians = self.medians(service);
    comparison.speeds = self.speeds(now, service);
    self.update_members(now, service, &mut comparison);
    let medians = comparison.medians;
    let samples = self.members(service);
    let samples = samples.map(|(agent, target)| (agent, sample(now, target, medians)));
    comparison.update(&samples.collect::<SmallVec<[_; 64]>>());
    self.update_crossings(now, service, &mut comparison);
    self.comparisons.insert(service.clone(), comparison);
  }

  /// The medians of the kinds of work at a service's targets, as far as their loads are recent.
  fn speeds(&self, now: Instant, service: &Service) -> Speeds {
    let targets = self.members(service).map(|(_, target)| target);
    let recent = targets.filter(|target| has_recent_load(now, target));
    let times = recent.map(|target| &target.load.times);
    let times = times.collect::<SmallVec<[_; 64]>>();
    Speeds::new(times.iter().copied())
  }

  /// The listed targets of a service.
  fn members(&self, service: &Service) -> impl Iterator<Item = (SocketAddrV4, &TargetState)> {
    let agents = self.services.get(service).into_iter().flatten();
    let targets = agents.filter_map(|agent| Some((*agent, self.by_agent.get(agent)?)));
    targets.filter(move |(_, target)| target.service == *service && target.removed.is_none())
  }

  /// Updates the speeds of targets, and which of them have just joined.
  fn update_members(&mut self, now: Instant, service: &Service, comparison: &mut Comparison) {
    for agent in self.services.get(service).into_iter().flatten() {
      let Some(target) = self.by_agent.get_mut(agent) else {
        continue;
      };
      target.speed = if has_recent_load(now, target) {
        comparison.speeds.ratio(&target.load.times)
      } else {
        None
      };
      target.was_measured |= target.load.service_ms > 0;
      if target.was_measured || target.service != *service || target.removed.is_some() {
        comparison.joining.remove(*agent);
      } else if target.contact.last_heard.is_some() && !target.load.down {
        comparison.joining.join(*agent);
      }
    }
  }

  /// Decides anew to which other data centres flows are sent.
  fn update_crossings(&mut self, now: Instant, service: &Service, comparison: &mut Comparison) {
    let mut here = f64::INFINITY;
    let mut there = BTreeMap::<&str, (f64, f64)>::new();
    for (_, target) in self.members(service) {
      let Some(wait) = self.cost_here(now, target, comparison.medians) else {
        continue;
      };
      if target.data_centre == self.data_centre {
        here = here.min(wait);
        continue;
      }
      let crossing = self.crossing_ms(target);
      let least = there
        .entry(&target.data_centre)
        .or_insert((f64::INFINITY, 0.0));
      if wait + crossing < least.0 + least.1 {
        *least = (wait, crossing);
      }
    }
    let mut crossings = BTreeMap::new();
    for (data_centre, (wait, cost)) in there {
      let before = comparison.crossings.get(data_centre);
      let mut crossing = before.copied().unwrap_or_default();
      crossing.update(to_time(here), to_time(wait), to_time(cost));
      crossings.insert(data_centre.to_owned(), crossing);
    }
    comparison.crossings = crossings;
    for agent in self.services.get(service).into_iter().flatten() {
      if let Some(target) = self.by_agent.get_mut(agent) {
        let crossing = comparison.crossings.get(&target.data_centre);
        target.crossing = crossing.copied().unwrap_or_default();
      }
    }
  }

  /// The target for a new flow among targets that are not equally fast; none where no target is
  /// likely to answer, or the targets of the service are not compared.
  pub(super) fn choose_evenly(&self, query: &Query, limit_ms: f64) -> Option<Choice> {
    let comparison = self.comparisons.get(query.service)?;
    let requests = comparison
      .speeds
      .requests_per_flow(Kind::from(query.flow.route));
    let admits = |agent, target: &_| comparison.admits(agent, target, requests);
    let carries =
      |agent, target: &_| admits(agent, target) && !comparison.relief.is_relieved(agent);
    let best = self.best(query, f64::INFINITY, carries);
    let best = best.filter(|(cost, _)| *cost < UNAVAILABLE_MS);
    if let Some((_, choice)) = best {
      let relieved = self.draw_relieved(query, comparison, choice.agent);
      let in_time = |choice: &Choice| choice.wait_ms <= limit_ms;
      if let Some(choice) = relieved.into_iter().chain([choice]).find(in_time) {
        return Some(choice);
      }
    }
    // Where the others are too busy, a relieved target may serve the caller in time.
    let within = self.best(query, limit_ms, admits);
    let within = within.filter(|(cost, _)| *cost < UNAVAILABLE_MS);
    within.or(best).map(|(_, choice)| choice)
  }

  /// The relieved target whose share a flow belongs to that would otherwise go to `best`; none
  /// where it belongs to the others. The targets of one data centre share the flows.
  fn draw_relieved(
    &self,
    query: &Query,
    comparison: &Comparison,
    best: SocketAddrV4,
  ) -> Option<Choice> {
    if comparison.relief.is_empty() {
      return None;
    }
    let data_centre = &self.by_agent.get(&best)?.data_centre;
    let pool = self.members(query.service).filter(|(agent, target)| {
      let cost = self.cost(query.now, target, query.medians);
      target.data_centre == *data_centre
        && !query.tried.contains(agent)
        && cost.is_some_and(|cost| cost < UNAVAILABLE_MS)
    });
    let pool = pool.map(|(agent, target)| (agent, target.slots));
    let hash = xxh3_64_with_seed(&query.flow.key().to_le_bytes(), DRAW_SEED);
    let point = hash as f64 / u64::MAX as f64;
    let pool = pool.collect::<SmallVec<[_; 64]>>();
    let agent = comparison.relief.draw(point, &pool)?;
    self.choice_of(agent, query.medians)
  }
}

/// Whether a target was heard from within `LOAD_TTL`.
fn has_recent_load(now: Instant, target: &TargetState) -> bool {
  let is_recent = |at: Instant| now.saturating_duration_since(at) < LOAD_TTL;
  target.contact.last_heard.is_some_and(is_recent)
}

/// What the relief of a service needs to know of a target.
fn sample(now: Instant, target: &TargetState, medians: Medians) -> Sample {
  let is_recent = has_recent_load(now, target);
  let service_ms = f64::from(target.load.service_ms);
  let is_comparable = is_recent && service_ms > 0.0 && medians.service_ms > 0.0;
  let failure_ms = failure_cost_ms(target, medians);
  let ratio = is_comparable.then(|| {
    let ratio = target.speed.unwrap_or(service_ms / medians.service_ms);
    ratio + failure_ms / medians.service_ms
  });
  Sample {
    answers: target.load.answers,
    fails: is_recent && failure_ms > 0.0,
    in_flight: target.in_flight(),
    ratio,
    slots: target.slots,
  }
}

fn to_ms(time: Duration) -> f64 {
  time.as_secs_f64() * 1000.0
}

/// A time in milliseconds, none of which is longer than a target's that is likely not to answer.
fn to_time(ms: f64) -> Duration {
  Duration::from_secs_f64(ms.min(10.0 * UNAVAILABLE_MS) / 1000.0)
}
