use std::sync::atomic::{AtomicU32, Ordering};

/// Counts something for as long as it lives.
#[derive(Debug)]
pub struct Guard<'a>(&'a AtomicU32);

impl<'a> Guard<'a> {
  /// Counts one more.
  pub fn new(count: &'a AtomicU32) -> Self {
    count.fetch_add(1, Ordering::Relaxed);
    Self(count)
  }
}

impl Drop for Guard<'_> {
  fn drop(&mut self) {
    self.0.fetch_sub(1, Ordering::Relaxed);
  }
}
