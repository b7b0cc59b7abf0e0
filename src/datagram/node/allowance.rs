use {
  crate::datagram::Rate,
  std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
  },
};

/// The part of the link that large answers to peers may take: callers' packets need the rest.
const PART: f64 = 0.5;

/// How long the answers that are on their way may take together: less than peers wait for one. Where all
/// were answered at once over a thin link none was whole in time, each asked again for the same, and
/// the link stayed full for 20 s.
const BACKLOG: Duration = Duration::from_millis(200);

/// What is smaller is always answered, in bytes.
const SMALL: usize = 4096;

/// How much peers may be told at once over the instance's link. Who is turned away asks another, which
/// may know the same by then.
#[derive(Debug)]
pub struct Allowance {
  link: Option<Rate>,
  /// Until when the answers that were allowed take their part of the link.
  until: Mutex<Option<Instant>>,
}

impl Allowance {
  /// The allowance of an instance, where its link's rate is known; all is allowed where it is not.
  pub fn new(link: Option<Rate>) -> Self {
    Self {
      link,
      until: Mutex::default(),
    }
  }

  /// Whether an answer of so many bytes may be sent now; it counts if so.
  pub fn takes(&self, now: Instant, bytes: usize) -> bool {
    let Some(link) = self.link.filter(|_| bytes >= SMALL) else {
      return true;
    };
    let mut until = self.until.lock().unwrap_or_else(PoisonError::into_inner);
    let from = until.map_or(now, |until| until.max(now));
    if from > now + BACKLOG {
      return false;
    }
    let second = link.bytes_in(Duration::from_secs(1)) * PART;
    *until = Some(from + Duration::from_secs_f64(bytes as f64 / second));
    true
  }
}
