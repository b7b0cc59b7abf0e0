use {
  crate::{Revision, datagram::Warmup},
  std::{
    collections::VecDeque,
    time::{Duration, Instant},
  },
};

/// The span in which a cold upstream may be given so many new flows, wherever it begins.
const SPAN: Duration = Duration::from_secs(1);

/// What counts as stated until an agent that has just started has heard the configuration: fewer than
/// an operator would state, and enough for the moment that it lasts.
pub const UNKNOWN: Warmup = Warmup {
  lasts: Duration::MAX,
  per_second: 8,
};

/// How many entries of the window are kept at most.
const KEPT_MAX: usize = u16::MAX as usize;

/// Whether the upstream is cold, and what it was given in the last second. The platform's word of
/// it is as old as a heartbeat, and an upstream may have turned cold without a word; it is then taken
/// for cold until a newer word says otherwise, or for as long as being cold lasts.
#[derive(Debug, Default)]
pub struct Cold {
  /// Since when the upstream may have turned cold without a word: what the platform wrote up to this
  /// revision says nothing of it.
  doubted: Option<(Instant, Revision)>,
  /// When its data centre was last opened to new flows.
  opened: Revision,
  /// When it was given new flows, in the last span.
  given: VecDeque<Instant>,
  /// The last word of the platform.
  heard: Revision,
  /// Until when a run before this one may have given it flows in the same span.
  shared_until: Option<Instant>,
  /// Until when it is cold, or was, by the platform's word.
  until: Option<Instant>,
}

impl Cold {
  /// What an agent that has just started knows of its upstream: it was started before, unless the whole
  /// system starts for the first time.
  pub fn new(now: Instant, first_start: bool) -> Self {
    Self {
      doubted: (!first_start).then_some((now, Revision::default())),
      shared_until: (!first_start).then_some(now + SPAN),
      ..Self::default()
    }
  }

  /// The upstream may have turned cold: nothing that the platform wrote up to `known` tells.
  pub fn doubt(&mut self, now: Instant, known: Revision) {
    self.doubted = Some((now, known.max(self.heard)));
  }

  /// When room that is used up comes back, where that is to be waited for.
  pub fn deadline(&self, now: Instant, warmup: Option<Warmup>) -> Option<Instant> {
    if self.room(now, warmup) != Some(0) {
      return None;
    }
    let limit = usize::from(self.limit(now, warmup?));
    let oldest = self.given.len().checked_sub(limit)?;
    self.given.get(oldest).map(|at| *at + SPAN)
  }

  /// The upstream is given a new flow.
  pub fn give(&mut self, now: Instant) {
    let old = |at: &Instant| now.saturating_duration_since(*at) >= SPAN;
    while self.given.len() >= KEPT_MAX || self.given.front().is_some_and(old) {
      self.given.pop_front();
    }
    self.given.push_back(now);
  }

  /// The first list came, as of a revision: a doubt from before it stays.
  pub fn list(&mut self, known: Revision) {
    if let Some((_, before)) = &mut self.doubted {
      *before = known.max(*before);
    }
  }

  /// The platform's word at a revision: how much longer the upstream is cold.
  pub fn learn(&mut self, now: Instant, revision: Revision, left: Duration) {
    if revision <= self.heard {
      return;
    }
    self.heard = revision;
    let answered = self.doubted.is_some_and(|(_, known)| revision > known);
    if !left.is_zero() || answered {
      self.until = Some(now + left);
    } else {
      self.until = self.until.map(|until| until.min(now));
    }
    if answered {
      self.doubted = None;
    }
  }

  /// Its data centre is open to new flows, since a revision: it may have turned cold just before.
  pub fn opened(&mut self, now: Instant, revision: Revision) {
    if revision > self.opened {
      self.opened = revision;
      self.doubt(now, revision);
    }
  }

  /// How many new flows the upstream may be given now: fewer than any second that it is cold in may
  /// have; none where nothing bounds that. `warmup` is what the operator states of its service.
  pub fn room(&self, now: Instant, warmup: Option<Warmup>) -> Option<u16> {
    let warmup = warmup?;
    // A span that begins while the upstream is cold counts to its end.
    let lasts = warmup.lasts.saturating_add(SPAN);
    let doubted = self
      .doubted
      .is_some_and(|(since, _)| now.saturating_duration_since(since) < lasts);
    let cold = doubted || self.until.is_some_and(|until| now < until + SPAN);
    if !cold {
      return None;
    }
    let recent = self.given.iter().rev();
    let recent = recent.take_while(|at| now.saturating_duration_since(**at) < SPAN);
    let limit = self.limit(now, warmup);
    let given = recent.take(limit.into()).count();
    Some(limit - given as u16)
  }

  /// How many new flows the upstream may be given in a span. The run before may have given it all that
  /// is stated just before it ended, so that this one gives half as many in its first span.
  fn limit(&self, now: Instant, warmup: Warmup) -> u16 {
    if self.shared_until.is_some_and(|until| now < until) {
      return warmup.per_second.div_ceil(2);
    }
    warmup.per_second
  }
}
