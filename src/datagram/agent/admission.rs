//! Whether an agent gives its upstream a new flow.

use {
  super::{cold, held::State, machine::Machine},
  crate::datagram::{Codec, Flow, Warmup, frame::Refusal},
  std::{net::SocketAddrV4, time::Instant},
};

/// How many times as long as balancers an agent goes on in a data centre that was closed: they heard of
/// it at other moments, and each takes its flows away at its own.
const GUARD: f64 = 1.5;

impl<C: Codec> Machine<C> {
  /// Why the upstream is not given a flow that a balancer wants opened; none where it is.
  pub(super) fn refusal(
    &mut self,
    now: Instant,
    flow: &Flow,
    balancer: SocketAddrV4,
  ) -> Option<Refusal> {
    if self.leaving {
      return Some(Refusal::Leaving);
    }
    if self.is_closed(now) {
      return Some(Refusal::Closed);
    }
    let known = self.has(flow);
    if !known && !self.work.admits(now) {
      return Some(Refusal::Down);
    }
    let granted = self.grants.take(balancer);
    if known {
      return None;
    }
    if self.room(now).is_some_and(|room| room == 0) {
      return Some(Refusal::Cold);
    }
    (!granted && self.is_too_long(flow)).then_some(Refusal::Busy)
  }

  /// Whether no new flow may come, since the data centre is closed.
  pub(super) fn is_closed(&self, now: Instant) -> bool {
    self.closed.is_some_and(|from| now >= from)
  }

  /// Whether the upstream was given a flow's opening packet before: another copy is no new flow.
  pub(super) fn has(&self, flow: &Flow) -> bool {
    let entry = self.flows.get(flow);
    entry.is_some_and(|entry| matches!(entry.state, State::Opening | State::Open))
  }

  /// How many new flows the upstream may be given now besides those that a place is kept for; none
  /// where nothing bounds that.
  pub(super) fn room(&self, now: Instant) -> Option<u16> {
    let room = self.cold.room(now, self.warmup())?;
    Some(room.saturating_sub(self.grants.kept()))
  }

  /// What counts as stated of a cold upstream.
  pub(super) fn warmup(&self) -> Option<Warmup> {
    let catalog = self.spread.catalog();
    match catalog.configuration() {
      None => Some(cold::UNKNOWN),
      Some(_) => catalog.warmup(&self.upstream.service),
    }
  }

  /// The upstream may have been started again without a word.
  pub(super) fn doubt(&mut self, now: Instant) {
    let known = self.spread.catalog().complete();
    self.cold.doubt(now, known);
  }

  /// Learns from the list whether the data centre is closed, and whether the upstream is cold.
  pub(super) fn reconsider(&mut self, now: Instant) {
    let closures = self.spread.catalog().closures();
    let closed = closures.is_closed(&self.data_centre);
    if closed != self.closed.is_some() {
      log::info!(
        data_centre:% = self.data_centre, closed = closed;
        "agent: the list says whether the data centre is closed."
      );
      let grace = self.spread.closing_left().mul_f64(GUARD);
      self.closed = closed.then_some(now + grace);
    }
    if let Some(opened) = closures.opened(&self.data_centre) {
      self.cold.opened(now, opened);
    }
    // What has left the list says nothing of the run that may follow.
    let entry = self.spread.catalog().at(self.upstream.address);
    if let Some((_, entry)) = entry.filter(|(_, entry)| entry.gone.is_none()) {
      self
        .cold
        .learn(now, entry.revision, entry.target.warmup_left);
    }
  }
}
