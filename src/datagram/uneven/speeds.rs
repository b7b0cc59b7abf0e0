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
}

impl Speeds {
  /// The medians of what the targets report.
  pub fn new<'a>(targets: impl Iterator<Item = &'a Times>) -> Self {
    let times = targets.flat_map(Times::iter);
    let mut times = times.collect::<SmallVec<[_; 128]>>();
    times.sort_unstable();
    let kinds = times.chunk_by(|(one, _), (other, _)| one == other);
    let measured = kinds.filter(|times| times.len() >= TARGETS_MIN);
    Self {
      medians: measured.map(|times| times[times.len() / 2]).collect(),
    }
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
