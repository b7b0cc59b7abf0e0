use {
  super::{Kind, Times},
  smallvec::SmallVec,
  std::time::Duration,
};

/// How many targets that measure a kind a median needs: the median of two would be one of them.
const TARGETS_MIN: usize = 3;

/// The median times of each kind of work at the targets of a service.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
  medians: SmallVec<[(Kind, Duration); 8]>,
  /// The sum of the requests in a flow that targets report, with the number of targets.
  requests: SmallVec<[(Kind, f64, f64); 8]>,
}

impl Speeds {
  /// The medians of what the targets report.
  pub fn new<'a>(targets: impl Iterator<Item = &'a Times> + Clone) -> Self {
    let mut requests = SmallVec::<[(Kind, f64, f64); 8]>::new();
    for (kind, count) in targets.clone().flat_map(Times::requests) {
      match requests.iter_mut().find(|(other, ..)| *other == kind) {
        Some((_, sum, targets)) => (*sum, *targets) = (*sum + count, *targets + 1.0),
        None => requests.push((kind, count, 1.0)),
      }
    }
    let times = targets.flat_map(Times::iter);
    let mut times = times.collect::<SmallVec<[_; 128]>>();
    times.sort_unstable();
    let kinds = times.chunk_by(|(one, _), (other, _)| one == other);
    let measured = kinds.filter(|times| times.len() >= TARGETS_MIN);
    Self {
      medians: measured.map(|times| times[times.len() / 2]).collect(),
      requests,
    }
  }

  /// The mean number of requests in a flow of a kind; one where no target reports it.
  pub fn requests_per_flow(&self, kind: Kind) -> f64 {
    let mut requests = self.requests.iter();
    requests
      .find(|(other, ..)| *other == kind)
      .map_or(1.0, |(_, sum, targets)| sum / targets)
  }

  /// The median time of a kind; none where too few targets report it.
  pub fn median(&self, kind: Kind) -> Option<Duration> {
    let mut medians = self.medians.iter();
    medians
      .find(|(other, _)| *other == kind)
      .map(|(_, time)| *time)
  }

  /// How many times as long as the median a target takes, in the mean of its kinds; none where
  /// nothing can be compared.
  pub fn ratio(&self, times: &Times) -> Option<f64> {
    let ratios = times.iter().filter_map(|(kind, time)| {
      let median = self.median(kind)?;
      Some(time.as_secs_f64() / median.as_secs_f64())
    });
    let ratios = ratios.collect::<SmallVec<[f64; 4]>>();
    (!ratios.is_empty()).then(|| ratios.iter().sum::<f64>() / ratios.len() as f64)
  }
}
