//! Counters by result code or name and latency histograms, shared by the threads of a process.

use {
  crate::Code,
  hdrhistogram::Histogram,
  std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{
      Mutex, PoisonError,
      atomic::{AtomicU64, Ordering},
    },
    time::Duration,
  },
};

/// The largest value of a histogram, in microseconds; longer times are recorded as this.
const TIME_MAX_US: u64 = 60_000_000;

/// The quantiles that are exported for each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// The metrics of one process.
#[derive(Debug)]
pub struct Counter {
  codes: Vec<AtomicU64>,
  names: Mutex<BTreeMap<String, u64>>,
  times: Mutex<BTreeMap<&'static str, Histogram<u64>>>,
}

impl Default for Counter {
  fn default() -> Self {
    Self {
      codes: Code::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
      names: Mutex::default(),
      times: Mutex::default(),
    }
  }
}

impl Counter {
  /// Adds `count` to the counter `name`. This takes a lock: for rare or batched events only.
  pub fn add(&self, name: &str, count: u64) {
    if count == 0 {
      return;
    }
    let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
    match names.get_mut(name) {
      Some(value) => *value += count,
      None => {
        names.insert(name.into(), count);
      }
    }
  }

  /// Increments the counter of `code`, without a lock.
  pub fn count(&self, code: Code) {
    self.codes[code as usize].fetch_add(1, Ordering::Relaxed);
  }

  /// The current count of `code`.
  pub fn of(&self, code: Code) -> u64 {
    self.codes[code as usize].load(Ordering::Relaxed)
  }

  /// Records a duration in the histogram `name`, in microseconds with two significant digits.
  pub fn observe(&self, name: &'static str, time: Duration) {
    let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
    if !times.contains_key(name) {
      let Ok(histogram) = Histogram::new_with_bounds(1, TIME_MAX_US, 2) else {
        return;
      };
      times.insert(name, histogram);
    }
    if let Some(histogram) = times.get_mut(name) {
      histogram.saturating_record(time.as_micros() as u64);
    }
  }

  /// All metrics in the Prometheus text format: `fallwell_count` by name, and `fallwell_time_us` by
  /// name and quantile, in microseconds.
  pub fn text(&self) -> String {
    let mut text = String::new();
    // Writing to a `String` cannot fail.
    for (name, count) in self.snapshot() {
      let _ = writeln!(text, "fallwell_count{{name=\"{name}\"}} {count}");
    }
    let times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
    for (name, histogram) in times.iter() {
      for quantile in QUANTILES {
        let time = histogram.value_at_quantile(quantile);
        let _ = writeln!(
          text,
          "fallwell_time_us{{name=\"{name}\",quantile=\"{quantile}\"}} {time}"
        );
      }
      let count = histogram.len();
      let _ = writeln!(text, "fallwell_time_us_count{{name=\"{name}\"}} {count}");
    }
    text
  }

  /// All counters that are not zero: result codes under names such as `F207`, others by name.
  pub fn snapshot(&self) -> BTreeMap<String, u64> {
    let mut all = self
      .names
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .clone();
    for code in Code::ALL {
      let count = self.of(*code);
      if count > 0 {
        all.insert(format!("F{}", code.number()), count);
      }
    }
    all
  }
}
