//! Which target a balancer chooses for a new flow.

use {
  super::{
    place::Tried,
    targets::{LAPSED, Seen, Targets},
  },
  crate::{
    config::Presence,
    datagram::{Service, load::wait_ms},
  },
  smallvec::SmallVec,
  std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// How long a target that did not answer an opening packet is passed over, if its agent is heard
/// of. It is tried again after that; the packet then goes on to the next after `open_wait`.
const DOWN: Duration = Duration::from_secs(1);

/// What a new flow would rather wait than go there, in milliseconds.
const HASTY_MS: f64 = 150.0;

/// A target whose answers take less than this part of what is typical of its service most likely
/// fails them: an error is answered at once.
const HASTY_PART: f64 = 0.25;

/// How many targets have to be known for one to be told from the others.
const TYPICAL_OF: usize = 3;

/// A cost above any wait, in milliseconds: for targets that most likely do not serve.
const UNLIKELY_MS: f64 = 10_000.0;

/// What makes the less busy of two targets the better one before anything waits, in milliseconds
/// at full use.
const USE_MS: f64 = 12.0;

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
    let best = self.best(now, service, tried, f64::INFINITY)?;
    if best.wait_ms <= limit_ms {
      return Some(best);
    }
    self.best(now, service, tried, limit_ms).or(Some(best))
  }

  /// The one of the least cost, of those where a new flow waits no longer than a limit.
  fn best(&self, now: Instant, service: &Service, tried: &Tried, limit_ms: f64) -> Option<Choice> {
    let typical_ms = self.typical_ms(service);
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
      let cost = self.cost(now, seen, typical_ms)?;
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
      is_free: seen.load.work.saturating_add(seen.pending) < seen.slots,
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
    if seen.gone.is_some() || is_hasty(seen, self.typical_ms(&seen.service)) {
      return false;
    }
    let cost = self.cost(now, seen, 0.0);
    cost.is_some_and(|cost| cost < UNLIKELY_MS)
  }

  /// How many requests the targets of a service answer in a second, as far as known.
  pub fn rate(&self, service: &Service) -> f64 {
    let listed = self.by_agent.values();
    let listed = listed.filter(|seen| seen.service == *service && seen.gone.is_none());
    let rates = listed.map(|seen| f64::from(seen.slots) * 1000.0 / seen.load.time_ms());
    rates.sum()
  }

  /// What a new flow costs there, in milliseconds; none where it may not go.
  pub(super) fn cost(&self, now: Instant, seen: &Seen, typical_ms: f64) -> Option<f64> {
    if seen.presence == Presence::Leaving {
      return None;
    }
    let mut cost = 0.0;
    if let Some(gone) = seen.gone {
      if now.saturating_duration_since(gone) >= LAPSED {
        return None;
      }
      cost += 4.0 * UNLIKELY_MS;
    }
    let recently = |at: Instant| now.saturating_duration_since(at) < DOWN;
    if seen.load.down || seen.unanswered.is_some_and(recently) {
      cost += 2.0 * UNLIKELY_MS;
    }
    if seen.stopping || !self.is_heard(now, seen) {
      cost += UNLIKELY_MS;
    }
    if is_hasty(seen, typical_ms) {
      cost += HASTY_MS;
    }
    if seen.data_centre != self.data_centre {
      let (always, by_kilobyte) = self.tuning.crossing;
      cost += always + by_kilobyte * f64::from(seen.load.bytes) / 1024.0;
    }
    let work = f64::from(seen.load.work) + f64::from(seen.pending);
    Some(cost + wait(seen) + USE_MS * work / f64::from(seen.slots))
  }

  /// The median of the times that the targets of a service take; 0 where too few are known.
  pub(super) fn typical_ms(&self, service: &Service) -> f64 {
    let known = self.by_agent.values();
    let known = known.filter(|seen| seen.service == *service && seen.gone.is_none());
    let times = known.map(|seen| seen.load.service_ms);
    let mut times = times.filter(|ms| *ms > 0).collect::<SmallVec<[u16; 64]>>();
    if times.len() < TYPICAL_OF {
      return 0.0;
    }
    let middle = times.len() / 2;
    let (_, median, _) = times.select_nth_unstable(middle);
    f64::from(*median)
  }
}

/// Whether a target answers far sooner than is typical of its service.
fn is_hasty(seen: &Seen, typical_ms: f64) -> bool {
  let service_ms = f64::from(seen.load.service_ms);
  service_ms > 0.0 && service_ms < typical_ms * HASTY_PART
}

/// The time until a request more would be answered there, in milliseconds.
fn wait(seen: &Seen) -> f64 {
  wait_ms(
    f64::from(seen.load.service_ms),
    seen.load.work.saturating_add(seen.pending),
    seen.slots,
  )
}
