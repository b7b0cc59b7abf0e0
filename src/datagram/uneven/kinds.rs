use {
  super::{Kind, Pace, Times},
  arrayvec::ArrayVec,
  std::time::Duration,
};

/// The most kinds of work that are measured; services have few routes.
const MEASURED_MAX: usize = 8;

/// The service times of each kind of work at an upstream.
#[derive(Clone, Debug, Default)]
pub struct Kinds {
  /// The most recently used first.
  paces: ArrayVec<(Kind, Pace), MEASURED_MAX>,
}

impl Kinds {
  /// Adds the service time of an answer. Drops the least recently used kind where there are too
  /// many.
  pub fn record(&mut self, kind: Kind, time: Duration) {
    let found = self.paces.iter().position(|(other, _)| *other == kind);
    let mut pace = found.map_or_else(Pace::default, |index| self.paces.remove(index).1);
    pace.record(time);
    if self.paces.is_full() {
      self.paces.pop();
    }
    self.paces.insert(0, (kind, pace));
  }

  /// The expected service time of a kind; none where it is not measured.
  pub fn time(&self, kind: Kind) -> Option<Duration> {
    let mut paces = self.paces.iter();
    paces.find(|(other, _)| *other == kind)?.1.time()
  }

  /// The times of the most recently used kinds. `missing` are the times after which answers are
  /// still missing.
  pub fn times(&self, missing: &[(Kind, Duration)]) -> Times {
    let times = self.paces.iter().filter_map(|(kind, pace)| {
      let missing = missing.iter().filter(|(other, _)| other == kind);
      let time = pace.time_with_missing(missing.map(|(_, time)| *time))?;
      Some((*kind, time))
    });
    times.collect()
  }
}
