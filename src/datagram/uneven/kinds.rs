use {
  super::{Kind, Pace, Times},
  arrayvec::ArrayVec,
  std::time::{Duration, Instant},
};

/// The most kinds of work that are measured; services have few routes.
const MEASURED_MAX: usize = 8;

/// The measurements of a kind of work.
#[derive(Clone, Debug)]
struct Measured {
  kind: Kind,
  /// When an answer was last measured.
  last: Instant,
  pace: Pace,
}

/// The service times of each kind of work at an upstream.
#[derive(Clone, Debug, Default)]
pub struct Kinds {
  /// The most recently used first.
  measured: ArrayVec<Measured, MEASURED_MAX>,
}

impl Kinds {
  /// Adds the service time of an answer. Drops the least recently used kind where there are too
  /// many.
  pub fn record(&mut self, now: Instant, kind: Kind, time: Duration) {
    let found = self.measured.iter().position(|other| other.kind == kind);
    let mut pace = found.map_or_else(Pace::default, |index| self.measured.remove(index).pace);
    pace.record(time);
    if self.measured.is_full() {
      self.measured.pop();
    }
    let last = now;
    self.measured.insert(0, Measured { kind, last, pace });
  }

  /// Drops the kinds of which no answer was measured for so long.
  pub fn expire(&mut self, now: Instant, ttl: Duration) {
    let is_recent = |at: Instant| now.saturating_duration_since(at) < ttl;
    self.measured.retain(|measured| is_recent(measured.last));
  }

  /// The expected service time of a kind; none where it is not measured.
  pub fn time(&self, kind: Kind) -> Option<Duration> {
    let mut measured = self.measured.iter();
    measured.find(|other| other.kind == kind)?.pace.time()
  }

  /// The times of the most recently used kinds. `missing` are the times after which answers are
  /// still missing.
  pub fn times(&self, missing: &[(Kind, Duration)]) -> Times {
    let times = self.measured.iter().filter_map(|measured| {
      let missing = missing.iter().filter(|(kind, _)| *kind == measured.kind);
      let missing = missing.map(|(_, time)| *time);
      Some((measured.kind, measured.pace.time_with_missing(missing)?))
    });
    times.collect()
  }
}
