use std::{
  sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
  },
  thread,
  time::{Duration, Instant},
};

/// How long a waiting part may take to notice a stop.
const POLL: Duration = Duration::from_millis(20);

/// Tells parts that they are to end.
#[derive(Clone, Debug, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
  /// Whether it was asked for.
  pub fn is_set(&self) -> bool {
    self.0.load(Ordering::Acquire)
  }

  /// Asks for it.
  pub fn set(&self) {
    self.0.store(true, Ordering::Release);
  }

  /// Waits in a task until it is asked for.
  pub async fn wait(&self) {
    while !self.is_set() {
      tokio::time::sleep(POLL).await;
    }
  }

  /// Waits in a thread for a while; true when it was asked for.
  pub fn wait_for(&self, time: Duration) -> bool {
    let end = Instant::now() + time;
    while !self.is_set() && Instant::now() < end {
      thread::sleep(POLL.min(time));
    }
    self.is_set()
  }
}
