//! Counts by result code and by name, and times, shared by the threads of a process.

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

/// The longest time that a histogram tells from others, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// The parts of all times that are told.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// The counts of one process.
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
  /// Adds `count` under `name`; for rare or batched events, since names are behind a lock.
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

  /// Counts one event of `code`.
  pub fn count(&self, code: Code) {
    self.codes[code as usize].fetch_add(1, Ordering::Relaxed);
  }

  /// How often `code` was counted.
  pub fn of(&self, code: Code) -> u64 {
    self.codes[code as usize].load(Ordering::Relaxed)
  }

  /// Adds a time under `name`.
  pub fn observe(&self, name: &'static str, time: Duration) {
    let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
    if !times.contains_key(name) {
      let Ok(histogram) = Histogram::new_with_bounds(1, LONGEST_US, 2) else {
        return;
      };
      times.insert(name, histogram);
    }
    if let Some(histogram) = times.get_mut(name) {
      histogram.saturating_record(time.as_micros() as u64);
    }
  }

  /// All counts and times as text, a line each: `fallwell_count` by name, `fallwell_time_us` by
  /// name and quantile, in microseconds.
  pub fn text(&self) -> String {
    let mut text = String::new();
    // Writing to a text cannot fail.
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

  /// All counts that are not zero: codes as `F207`, others by name.
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
