use {
  super::{Kind, Pace, Times},
  arrayvec::ArrayVec,
  std::time::{Duration, Instant},
};

/// The maximum number of kinds of work that are measured: services have few routes.
const MEASURED_MAX: usize = 8;

/// The number of flows that the mean number of requests in a flow covers: as many as the answers that
/// a service time covers.
const FLOWS: f64 = 20.0;

/// The measurements of a kind of work.
#[derive(Clone, Debug)]
struct Measured {
  /// The flows that have begun, of which older ones count less.
  flows: f64,
  kind: Kind,
  /// When an answer was last measured.
  last: Instant,
  pace: Pace,
  /// The requests in these flows.
  requests: f64,
}

impl Measured {
  fn new(now: Instant, kind: Kind) -> Self {
    Self {
      flows: 0.0,
      kind,
      last: now,
      pace: Pace::default(),
      requests: 0.0,
    }
  }

  /// The mean number of requests in a flow; one where no flow has begun since the measurements
  /// were dropped.
  fn requests_per_flow(&self) -> f64 {
    if self.flows == 0.0 {
      return 1.0;
    }
    self.requests / self.flows
  }
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
    let measured = self.use_kind(now, kind);
    measured.last = now;
    measured.pace.record(time);
  }

  /// Counts a request that has begun; `is_first` in its flow.
  pub fn begin(&mut self, now: Instant, kind: Kind, is_first: bool) {
    let measured = self.use_kind(now, kind);
    if is_first {
      measured.flows += 1.0 - measured.flows / FLOWS;
      measured.requests -= measured.requests / FLOWS;
    }
    // Requests of flows that were not counted would raise the mean.
    if measured.flows > 0.0 {
      measured.requests += 1.0;
    }
  }

  /// The measurements of a kind, which becomes the most recently used one.
  fn use_kind(&mut self, now: Instant, kind: Kind) -> &mut Measured {
    let found = self.measured.iter().position(|other| other.kind == kind);
    let measured = found.map(|index| self.measured.remove(index));
    if self.measured.is_full() {
      self.measured.pop();
    }
    let measured = measured.unwrap_or_else(|| Measured::new(now, kind));
    self.measured.insert(0, measured);
    &mut self.measured[0]
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
      let time = measured.pace.time_with_missing(missing)?;
      Some((measured.kind, time, measured.requests_per_flow()))
    });
    times.collect()
  }
}
