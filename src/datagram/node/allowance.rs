use {
  crate::datagram::Rate,
  std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
  },
};

/// The share of the link that large responses to peers may use; the rest is left for callers'
/// packets.
const LINK_SHARE: f64 = 0.5;

/// How long the responses in flight may take together; shorter than the timeout of a pull, so that
/// responses over a slow link arrive in time and aren't requested again. Without the limit none was
/// complete in time, each was requested again, and the link stayed full for 20 s.
const BACKLOG_MAX: Duration = Duration::from_millis(200);

/// The size from which responses are limited, in bytes.
const LIMITED_FROM: usize = 4096;

/// Limits the responses to peers to what the instance's link carries. A peer that is refused pulls
/// from another one.
#[derive(Debug)]
pub struct Allowance {
  link: Option<Rate>,
  /// When the share of the link is free again after the responses allowed so far.
  until: Mutex<Option<Instant>>,
}

impl Allowance {
  /// The limit of an instance whose link has this rate; without one everything is allowed.
  pub fn new(link: Option<Rate>) -> Self {
    Self {
      link,
      until: Mutex::default(),
    }
  }

  /// Whether a response of `bytes` bytes may be sent now; if so, it is counted.
  pub fn admits(&self, now: Instant, bytes: usize) -> bool {
    let Some(link) = self.link.filter(|_| bytes >= LIMITED_FROM) else {
      return true;
    };
    let mut until = self.until.lock().unwrap_or_else(PoisonError::into_inner);
    let from = until.map_or(now, |until| until.max(now));
    if from > now + BACKLOG_MAX {
      return false;
    }
    let bytes_per_second = link.bytes_in(Duration::from_secs(1)) * LINK_SHARE;
    *until = Some(from + Duration::from_secs_f64(bytes as f64 / bytes_per_second));
    true
  }
}
