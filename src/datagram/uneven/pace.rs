use {arrayvec::ArrayVec, std::time::Duration};

/// A change of speed shows within this many answers and is forgotten within as many.
const RECENT: usize = 5;

/// The mean covers this many answers before the recent ones, 20 in all: a change of less than
/// `CHANGE` does not stand out from the random variation of 5 answers.
const BEFORE: u32 = 15;

/// Recent answers that take so many times as long as those before, or as much shorter, show a
/// change of speed: a target is relieved from this ratio on.
const CHANGE: f64 = 2.0;

/// The service time as the latest answers show it.
#[derive(Clone, Debug, Default)]
pub struct Pace {
  /// Moving average of the answers before the recent ones, in seconds.
  before: f64,
  /// How many answers `before` covers.
  count: u32,
  /// The newest last, in seconds.
  recent: ArrayVec<f64, RECENT>,
}

impl Pace {
  /// Adds the service time of an answer.
  pub fn record(&mut self, time: Duration) {
    if self.recent.is_full() {
      self.pass_on();
    }
    self.recent.push(time.as_secs_f64());
  }

  /// The expected service time; none before the first answer.
  pub fn time(&self) -> Option<Duration> {
    self.estimate(&self.recent)
  }

  /// The expected service time where answers are still missing after these times, each of which
  /// counts as an answer if it exceeds the expected time.
  pub fn time_with_missing(&self, missing: impl Iterator<Item = Duration>) -> Option<Duration> {
    let expected = self.time()?;
    let mut recent = self.recent.clone();
    for time in missing.filter(|time| *time > expected).take(RECENT) {
      if recent.is_full() {
        recent.remove(0);
      }
      recent.push(time.as_secs_f64());
    }
    Some(self.estimate(&recent)?.max(expected))
  }

  /// Moves the oldest recent answer to those before, which start anew after a change of speed.
  fn pass_on(&mut self) {
    let oldest = self.recent.remove(0);
    if self.count == 0 || self.has_changed(mean(&self.recent)) {
      (self.before, self.count) = (oldest, 1);
      return;
    }
    self.count = BEFORE.min(self.count + 1);
    self.before += (oldest - self.before) / f64::from(self.count);
  }

  fn has_changed(&self, recent: f64) -> bool {
    recent >= self.before * CHANGE || recent * CHANGE <= self.before
  }

  fn estimate(&self, recent: &[f64]) -> Option<Duration> {
    if recent.is_empty() {
      return None;
    }
    let recent_mean = mean(recent);
    if self.count == 0 || self.has_changed(recent_mean) {
      return Some(Duration::from_secs_f64(recent_mean));
    }
    let (count, recent_count) = (f64::from(self.count), recent.len() as f64);
    let sum = self.before * count + recent_mean * recent_count;
    Some(Duration::from_secs_f64(sum / (count + recent_count)))
  }
}

fn mean(times: &[f64]) -> f64 {
  times.iter().sum::<f64>() / times.len() as f64
}
