//! Targets that are not equally fast: the decisions alone, and the machines that use them.

mod agent;
mod balancer;
mod crossing;
mod joining;
mod pace;
mod relief;
mod speeds;

use {
  fallwell::datagram::{Overload, Tuning},
  std::time::Duration,
};

/// A tuning with overload control.
fn tuning() -> Tuning {
  Tuning {
    overload: Overload { enabled: true },
    ..Tuning::default()
  }
}

fn ms(ms: u64) -> Duration {
  Duration::from_millis(ms)
}

/// The ratio of two times.
fn ratio(one: Duration, other: Duration) -> f64 {
  one.as_secs_f64() / other.as_secs_f64()
}
