//! Counts by result code and by name, shared by the threads of a process.

use {
  crate::Code,
  std::{
    collections::BTreeMap,
    sync::{
      Mutex, PoisonError,
      atomic::{AtomicU64, Ordering},
    },
  },
};

/// The counts of one process.
#[derive(Debug)]
pub struct Counter {
  codes: Vec<AtomicU64>,
  names: Mutex<BTreeMap<String, u64>>,
}

impl Default for Counter {
  fn default() -> Self {
    Self {
      codes: Code::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
      names: Mutex::default(),
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
