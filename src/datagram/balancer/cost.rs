//! Whether a new flow may go to a target, and at what cost.

use {
  super::targets::{LAPSED, Seen, Targets},
  crate::{
    config::Presence,
    datagram::{Service, load::wait_ms},
  },
  smallvec::SmallVec,
  std::time::{Duration, Instant},
};

/// How long a target that did not answer an opening packet is passed over, if its agent is heard
/// of. It is tried again after that; the packet then goes on to the next after `open_wait`.
const DOWN: Duration = Duration::from_secs(1);

/// What a new flow would rather wait than fail, in milliseconds: as long as a caller waits for an answer
/// that is still of use, and more.
const FAILED_MS: f64 = 400.0;

/// A target that fails so many more of a hundred requests than is typical of its service is told from
/// the others: chance does not show as many.
const FAILED_MORE: u8 = 15;

/// What a new flow would rather wait than go there, in milliseconds.
const HASTY_MS: f64 = 150.0;

/// A target whose answers take less than this part of what is typical of its service most likely
/// fails them: an error is answered at once.
const HASTY_PART: f64 = 0.25;

/// The wait at a cold target that was given all it may be given now, in milliseconds: longer than any
/// caller waits, and less than the cost of one that most likely does not serve.
const FULL_MS: f64 = 5_000.0;

/// How many targets have to be known for one to be told from the others.
const TYPICAL_OF: usize = 3;

/// A cost above any wait, in milliseconds: for targets that most likely do not serve.
pub(super) const UNLIKELY_MS: f64 = 10_000.0;

/// What is typical of the targets of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Typical {
  /// The median of the requests that they fail, of a hundred.
  failed: u8,
  /// The median of the times that they take, in milliseconds; 0 where too few are known.
  ms: f64,
}

impl Typical {
  /// The time that a target takes for a request that does not wait, in milliseconds: measured, else
  /// typical. One that nobody has measured would otherwise be given nothing for as long as others
  /// are said to be quicker than what is assumed.
  fn time_ms(&self, seen: &Seen) -> f64 {
    if seen.load.service_ms > 0 {
      f64::from(seen.load.service_ms)
    } else {
      self.ms
    }
  }

  /// The time until a request more would be answered at a target, in milliseconds.
  pub(super) fn wait_ms(&self, seen: &Seen) -> f64 {
    if seen.load.is_full(seen.pending) {
      return FULL_MS;
    }
    wait_ms(
      self.time_ms(seen),
      seen.load.work.saturating_add(seen.pending),
      seen.slots,
    )
  }
}

/// What makes the less busy of two targets the better one before anything waits, in milliseconds
/// at full use.
const USE_MS: f64 = 12.0;

impl Targets {
  /// What a new flow costs there, in milliseconds; none where it may not go.
  pub(super) fn cost(&self, now: Instant, seen: &Seen, typical: Typical) -> Option<f64> {
    if seen.presence == Presence::Leaving || self.closures.is_closed(now, &seen.data_centre) {
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
    if is_hasty(seen, typical) {
      cost += HASTY_MS;
    }
    cost += failed_ms(seen, typical);
    if seen.data_centre != self.data_centre {
      let (always, by_kilobyte) = self.tuning.crossing;
      cost += always + by_kilobyte * f64::from(seen.load.bytes) / 1024.0;
    }
    let work = f64::from(seen.load.work) + f64::from(seen.pending);
    Some(cost + typical.wait_ms(seen) + USE_MS * work / f64::from(seen.slots))
  }

  /// What is typical of the targets of a service.
  pub(super) fn typical(&self, service: &Service) -> Typical {
    let known = self.by_agent.values();
    let known = known.filter(|seen| seen.service == *service && seen.gone.is_none());
    let known = known.filter(|seen| seen.load.service_ms > 0);
    let loads = known.map(|seen| (seen.load.service_ms, seen.load.failed));
    let (mut times, mut failed): (SmallVec<[u16; 64]>, SmallVec<[u8; 64]>) = loads.unzip();
    if times.len() < TYPICAL_OF {
      return Typical::default();
    }
    Typical {
      failed: median(&mut failed),
      ms: f64::from(median(&mut times)),
    }
  }
}

/// Whether a target answers far sooner than is typical of its service.
pub(super) fn is_hasty(seen: &Seen, typical: Typical) -> bool {
  let service_ms = f64::from(seen.load.service_ms);
  service_ms > 0.0 && service_ms < typical.ms * HASTY_PART
}

/// What a new flow would rather wait than go where more requests fail than elsewhere, in milliseconds.
/// It is a cost: where many targets fail, or the others are full, flows go there all the same.
fn failed_ms(seen: &Seen, typical: Typical) -> f64 {
  let more = seen.load.failed.saturating_sub(typical.failed);
  if more < FAILED_MORE {
    return 0.0;
  }
  FAILED_MS * f64::from(more) / 100.0
}

/// The middle one of some values.
fn median<T: Copy + Ord>(values: &mut [T]) -> T {
  let middle = values.len() / 2;
  let (_, median, _) = values.select_nth_unstable(middle);
  *median
}
