//! The cost of placing a new flow on a target.

use {
  super::targets::{REMOVAL_GRACE, TargetState, Targets},
  crate::{
    config::Presence,
    datagram::{
      Service,
      load::{queue_ms, wait_ms},
      uneven::Kind,
    },
  },
  smallvec::SmallVec,
  std::time::{Duration, Instant},
};

/// How long a target is avoided after a flow failed to open there. Then it is tried again; if it
/// does not answer before the timeout, the packet is sent to another target.
const FAILURE_TTL: Duration = Duration::from_secs(1);

/// The cost of a target that fails all requests, in milliseconds: longer than an answer is useful to
/// callers.
const FAILURE_COST_MS: f64 = 400.0;

/// How far a target's failures must exceed the median of its service to raise its cost, in
/// percentage points: beyond random variation.
const FAILURE_EXCESS_MIN: u8 = 15;

/// The cost of a target that fails fast, in milliseconds.
const FAST_FAILING_COST_MS: f64 = 150.0;

/// A target whose answers take less than this fraction of the median of its service counts as
/// failing fast: an upstream that only returns errors does so at once.
const FAST_FAILING_RATIO: f64 = 0.25;

/// The wait at a target whose warm-up allows no new flow now, in milliseconds: longer than callers
/// wait, and less than `UNAVAILABLE_MS`.
const WARMUP_WAIT_MS: f64 = 5_000.0;

/// How many targets with known loads a median needs.
const MEDIAN_TARGETS_MIN: usize = 3;

/// The cost of a target that is likely not to answer, in milliseconds: above any wait.
pub(super) const UNAVAILABLE_MS: f64 = 10_000.0;

/// Medians of the targets of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Medians {
  /// The median of the fractions of requests that fail, in percent.
  pub(super) failed_percent: u8,
  /// The kind of work of the flow to be placed; none without overload control.
  pub(super) kind: Option<Kind>,
  /// The median of the service times of this kind, in milliseconds; 0 if too few are known.
  pub(super) kind_ms: f64,
  /// The median of the service times, in milliseconds; 0 if too few are known.
  pub(super) service_ms: f64,
}

impl Medians {
  /// The service time of a target in milliseconds: as measured, or else the median; 0 if both are
  /// unknown. A default value would starve new targets wherever the others are faster.
  fn time_ms(&self, target: &TargetState) -> f64 {
    if target.load.service_ms > 0 {
      f64::from(target.load.service_ms)
    } else {
      self.service_ms
    }
  }

  /// The service time of the flow's kind of work in milliseconds: as measured there, or else the
  /// median times the speed of the target; none if unknown.
  fn kind_ms(&self, target: &TargetState) -> Option<f64> {
    if let Some(time) = target.load.times.get(self.kind?) {
      return Some(time.as_secs_f64() * 1000.0);
    }
    (self.kind_ms > 0.0).then(|| self.kind_ms * target.speed.unwrap_or(1.0))
  }

  /// How long another request would take to be answered at a target, in milliseconds.
  pub(super) fn wait_ms(&self, target: &TargetState) -> f64 {
    if target.load.is_full(target.pending) {
      return WARMUP_WAIT_MS;
    }
    let (time_ms, work) = (self.time_ms(target), target.in_flight());
    match self.kind_ms(target) {
      Some(kind_ms) => kind_ms + queue_ms(time_ms, work, target.slots),
      None => wait_ms(time_ms, work, target.slots),
    }
  }
}

/// The cost of full utilisation, in milliseconds: the less busy of two targets is preferred even if
/// a request would wait at neither.
const UTILISATION_COST_MS: f64 = 12.0;

impl Targets {
  /// The cost of a new flow at a target, in milliseconds; none if the target accepts no new flows.
  pub(super) fn cost(&self, now: Instant, target: &TargetState, medians: Medians) -> Option<f64> {
    let crossing = if target.data_centre == self.data_centre {
      0.0
    } else {
      self.crossing_ms(target) * target.crossing.part()
    };
    self.cost_with(now, target, medians, crossing)
  }

  /// The cost of a flow for a target's being in another data centre, in milliseconds.
  pub(super) fn crossing_ms(&self, target: &TargetState) -> f64 {
    let (per_request, per_kilobyte) = (self.tuning.crossing_ms, self.tuning.crossing_ms_per_kb);
    per_request + per_kilobyte * f64::from(target.load.bytes) / 1024.0
  }

  /// The cost of a new flow at a target, as if it were in this data centre.
  pub(super) fn cost_here(
    &self,
    now: Instant,
    target: &TargetState,
    medians: Medians,
  ) -> Option<f64> {
    self.cost_with(now, target, medians, 0.0)
  }

  /// The cost of a new flow at a target, with this cost of crossing to its data centre.
  fn cost_with(
    &self,
    now: Instant,
    target: &TargetState,
    medians: Medians,
    crossing: f64,
  ) -> Option<f64> {
    if target.presence == Presence::Leaving || self.evacuations.is_closed(now, &target.data_centre)
    {
      return None;
    }
    let mut cost = 0.0;
    if let Some(removed) = target.removed {
      let is_past_grace = now.saturating_duration_since(removed) >= REMOVAL_GRACE;
      if is_past_grace || target.removal_confirmed {
        return None;
      }
      cost += 4.0 * UNAVAILABLE_MS;
    }
    let is_recent = |at: Instant| now.saturating_duration_since(at) < FAILURE_TTL;
    if target.load.down || target.open_failed.is_some_and(is_recent) {
      cost += 2.0 * UNAVAILABLE_MS;
    }
    if target.stopping || !self.is_alive(now, target) {
      cost += UNAVAILABLE_MS;
    }
    if is_fast_failing(target, medians) {
      cost += FAST_FAILING_COST_MS;
    }
    cost += failure_cost_ms(target, medians);
    cost += crossing;
    let work = f64::from(target.load.work) + f64::from(target.pending);
    Some(cost + medians.wait_ms(target) + UTILISATION_COST_MS * work / f64::from(target.slots))
  }

  /// The medians of the targets of a service.
  pub(super) fn medians(&self, service: &Service) -> Medians {
    let known = self.by_agent.values();
    let known = known.filter(|target| target.service == *service && target.removed.is_none());
    let known = known.filter(|target| target.load.service_ms > 0);
    let loads = known.map(|target| (target.load.service_ms, target.load.failed));
    let (mut times, mut failed): (SmallVec<[u16; 64]>, SmallVec<[u8; 64]>) = loads.unzip();
    if times.len() < MEDIAN_TARGETS_MIN {
      return Medians::default();
    }
    Medians {
      failed_percent: median(&mut failed),
      service_ms: f64::from(median(&mut times)),
      ..Medians::default()
    }
  }
}

/// Whether a target answers far faster than the median of its service, as one that only answers
/// errors does.
pub(super) fn is_fast_failing(target: &TargetState, medians: Medians) -> bool {
  if let Some(speed) = target.speed {
    return speed < FAST_FAILING_RATIO;
  }
  let service_ms = f64::from(target.load.service_ms);
  service_ms > 0.0 && service_ms < medians.service_ms * FAST_FAILING_RATIO
}

/// The cost of a target that fails more requests than the median of its service, in milliseconds.
/// It is no exclusion: flows still go there if the others are full or fail too.
pub(super) fn failure_cost_ms(target: &TargetState, medians: Medians) -> f64 {
  let excess = target.load.failed.saturating_sub(medians.failed_percent);
  if excess < FAILURE_EXCESS_MIN {
    return 0.0;
  }
  FAILURE_COST_MS * f64::from(excess) / 100.0
}

/// The upper median of some values.
fn median<T: Copy + Ord>(values: &mut [T]) -> T {
  let middle = values.len() / 2;
  let (_, median, _) = values.select_nth_unstable(middle);
  *median
}
