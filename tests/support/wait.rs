use std::{
  future::Future,
  time::{Duration, Instant},
};

/// The longest that a condition is waited for.
pub const LONGEST: Duration = Duration::from_mins(1);

/// Waits until a condition holds, and fails with its name when it does not in time.
pub async fn until<F, R>(what: &str, mut holds: F)
where
  F: FnMut() -> R,
  R: Future<Output = bool>,
{
  let end = Instant::now() + LONGEST;
  while !holds().await {
    assert!(Instant::now() < end, "not in time: {what}");
    tokio::time::sleep(Duration::from_millis(20)).await;
  }
}
