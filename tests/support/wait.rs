//! Polling for a condition.

use std::{
  future::Future,
  time::{Duration, Instant},
};

/// How long [`until`] waits at most.
pub const TIMEOUT: Duration = Duration::from_mins(1);

/// Polls a condition until it holds; panics with its description after the timeout.
pub async fn until<F, R>(description: &str, mut condition: F)
where
  F: FnMut() -> R,
  R: Future<Output = bool>,
{
  let deadline = Instant::now() + TIMEOUT;
  while !condition().await {
    assert!(
      Instant::now() < deadline,
      "timed out waiting until {description}"
    );
    tokio::time::sleep(Duration::from_millis(20)).await;
  }
}
