use {
  crate::datagram::Codec,
  std::time::{Duration, Instant},
};

/// How long callers wait for a flow to be opened.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
  /// The age of a flow up to which its caller is certain to be still waiting.
  pub certain: Duration,
  /// The age of a flow at which its caller gives up.
  pub total: Duration,
}

impl Patience {
  /// The patience of the callers that use a codec.
  pub fn of<C: Codec>() -> Self {
    Self {
      certain: C::last_attempt_until(),
      total: C::CONNECT_TIMEOUT,
    }
  }

  /// What is left of the patience of a caller that started at `first`.
  pub fn left(self, now: Instant, first: Instant) -> Duration {
    let age = now.saturating_duration_since(first);
    self.total.saturating_sub(age)
  }

  /// The time over which rates are measured. An overload is expected to last as long again as it has
  /// lasted: from half of the patience on, a flow that arrived at its start would have to wait longer
  /// than its caller does.
  pub fn window(self) -> Duration {
    self.total / 2
  }

  /// The time for which a caller goes on trying without a reset: two flows. A caller whose flow is not
  /// answered tries again, while one whose flow is reset uses up all its tries at once. A queue
  /// therefore counts as standing only after this time, and may hold what is served within it.
  pub fn persistence(self) -> Duration {
    self.total * 2
  }
}
