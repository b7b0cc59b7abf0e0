use std::{
  sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
  },
  thread,
  time::{Duration, Instant},
};

/// How often a waiting part checks whether it is to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A stop signal for a part; clones share the same signal.
#[derive(Clone, Debug, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
  /// Whether the part is to stop.
  pub fn is_set(&self) -> bool {
    self.0.load(Ordering::Acquire)
  }

  /// Signals the part to stop.
  pub fn set(&self) {
    self.0.store(true, Ordering::Release);
  }

  /// Waits asynchronously until the part is to stop.
  pub async fn wait(&self) {
    while !self.is_set() {
      tokio::time::sleep(POLL_INTERVAL).await;
    }
  }

  /// Blocks the thread for `time` or until the part is to stop; returns whether it is to stop.
  pub fn wait_for(&self, time: Duration) -> bool {
    let deadline = Instant::now() + time;
    while !self.is_set() && Instant::now() < deadline {
      thread::sleep(POLL_INTERVAL.min(time));
    }
    self.is_set()
  }
}
