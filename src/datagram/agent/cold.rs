use {
  crate::{Revision, datagram::Warmup},
  std::{
    collections::VecDeque,
    time::{Duration, Instant},
  },
};

/// The sliding window in which new flows are counted, as `Warmup::per_second` states.
const WINDOW: Duration = Duration::from_secs(1);

/// The limit until the agent has received the configuration: lower than operators usually set.
pub const DEFAULT_WARMUP: Warmup = Warmup {
  lasts: Duration::MAX,
  per_second: 8,
};

/// The most flows that are remembered in the window.
const KEPT_MAX: usize = u16::MAX as usize;

/// Limits the rate of new flows while the upstream warms up (slow start).
///
/// The platform's record of the warm-up may be out of date by a heartbeat, and an upstream may
/// restart unnoticed. Where a restart is suspected, new flows are limited until a later record
/// says otherwise, or for as long as a warm-up lasts.
#[derive(Debug, Default)]
pub struct Cold {
  /// The revision of the platform's last record of the upstream.
  last_revision: Revision,
  /// The revision at which its data centre was last opened to new flows.
  last_reopened: Revision,
  /// When flows were opened in the last window, the oldest first.
  opens: VecDeque<Instant>,
  /// Until when the agent's previous incarnation may have opened flows in the same window.
  shared_until: Option<Instant>,
  /// A suspected restart of the upstream that the platform has not confirmed or ruled out yet.
  suspected: Option<Suspicion>,
  /// When the upstream has warmed up, by the platform's last record.
  warm_at: Option<Instant>,
}

/// A suspected restart of the upstream.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
  /// Records up to this revision may have been written before the restart.
  known: Revision,
  since: Instant,
}

impl Cold {
  /// The state of an agent that has just started: the upstream may have restarted shortly before,
  /// unless the whole system starts for the first time.
  pub fn new(now: Instant, first_start: bool) -> Self {
    let suspicion = Suspicion {
      known: Revision::default(),
      since: now,
    };
    Self {
      shared_until: (!first_start).then_some(now + WINDOW),
      suspected: (!first_start).then_some(suspicion),
      ..Self::default()
    }
  }

  /// Suspects a restart of the upstream that records up to `known` may not show.
  pub fn suspect_restart(&mut self, now: Instant, known: Revision) {
    self.suspected = Some(Suspicion {
      known: known.max(self.last_revision),
      since: now,
    });
  }

  /// When the next flow leaves the window; none unless the limit is used up.
  pub fn deadline(&self, now: Instant, warmup: Option<Warmup>) -> Option<Instant> {
    if self.room(now, warmup) != Some(0) {
      return None;
    }
    let limit = usize::from(self.limit(now, warmup?));
    let oldest = self.opens.len().checked_sub(limit)?;
    self.opens.get(oldest).map(|at| *at + WINDOW)
  }

  /// Counts a flow that the upstream is given to open.
  pub fn record_open(&mut self, now: Instant) {
    let is_old = |at: &Instant| now.saturating_duration_since(*at) >= WINDOW;
    while self.opens.len() >= KEPT_MAX || self.opens.front().is_some_and(is_old) {
      self.opens.pop_front();
    }
    self.opens.push_back(now);
  }

  /// Lets only records later than `known`, the revision of the first target list, settle a
  /// suspected restart: the list may have been written before it.
  pub fn extend_suspicion(&mut self, known: Revision) {
    if let Some(suspicion) = &mut self.suspected {
      suspicion.known = known.max(suspicion.known);
    }
  }

  /// Sets how much of the warm-up is left by the platform's record at `revision`, unless a record
  /// of that or a later revision has come.
  pub fn set_warmup_left(&mut self, now: Instant, revision: Revision, left: Duration) {
    if revision <= self.last_revision {
      return;
    }
    self.last_revision = revision;
    let settles = self
      .suspected
      .is_some_and(|suspicion| revision > suspicion.known);
    if !left.is_zero() || settles {
      self.warm_at = Some(now + left);
    } else {
      self.warm_at = self.warm_at.map(|until| until.min(now));
    }
    if settles {
      self.suspected = None;
    }
  }

  /// Suspects a restart if the data centre was opened to new flows at a later `revision` than
  /// before: the upstream may have restarted just before that.
  pub fn suspect_reopened(&mut self, now: Instant, revision: Revision) {
    if revision > self.last_reopened {
      self.last_reopened = revision;
      self.suspect_restart(now, revision);
    }
  }

  /// How many new flows the upstream may be given now; none where they are not limited. `warmup` is
  /// the operator's limit for its service.
  pub fn room(&self, now: Instant, warmup: Option<Warmup>) -> Option<u16> {
    let warmup = warmup?;
    // A window that begins during the warm-up is limited as a whole.
    let lasts = warmup.lasts.saturating_add(WINDOW);
    let is_suspected = self
      .suspected
      .is_some_and(|suspicion| now.saturating_duration_since(suspicion.since) < lasts);
    let is_cold = is_suspected || self.warm_at.is_some_and(|until| now < until + WINDOW);
    if !is_cold {
      return None;
    }
    let recent = self.opens.iter().rev();
    let recent = recent.take_while(|at| now.saturating_duration_since(**at) < WINDOW);
    let limit = self.limit(now, warmup);
    let opened = recent.take(limit.into()).count();
    Some(limit - opened as u16)
  }

  /// How many flows may be opened in a window. It is half as many in the first window, since the
  /// agent's previous incarnation may have opened as many as are allowed just before it ended.
  fn limit(&self, now: Instant, warmup: Warmup) -> u16 {
    if self.shared_until.is_some_and(|until| now < until) {
      return warmup.per_second.div_ceil(2);
    }
    warmup.per_second
  }
}
