//! Decides whether the agent lets its upstream open a new flow.

use {
  super::{
    cold,
    flow_entry::FlowState,
    machine::{CallerPacket, Machine},
  },
  crate::{
    Revision,
    datagram::{
      Codec, Flow, Warmup,
      frame::{Handling, Refusal},
    },
  },
  std::time::Instant,
};

/// In a closed data centre, an agent refuses new flows after this many times the time within which
/// balancers stop sending them: a balancer may receive the order later than the agent.
const CLOSE_DELAY_FACTOR: f64 = 1.5;

impl<C: Codec> Machine<C> {
  /// Why a flow that a balancer wants opened is refused; none where it is admitted. Uses a slot
  /// that is reserved for the balancer, if there is one.
  pub(super) fn refusal(&mut self, now: Instant, packet: &CallerPacket) -> Option<Refusal> {
    let flow = &packet.head.flow;
    let known = self.has_flow(flow);
    if self.leaving && !known && !self.is_newly_listed(packet.synced) {
      return Some(Refusal::Leaving);
    }
    if self.is_closed(now) {
      return Some(Refusal::Closed);
    }
    if !known && !self.work.allows(now) {
      return Some(Refusal::Down);
    }
    if known && self.tuning.overload.enabled {
      // A retransmission uses no slot that is reserved for another flow.
      return None;
    }
    let granted = self
      .grants
      .redeem(now, packet.balancer, self.priority(flow));
    if known {
      return None;
    }
    if self.room(now).is_some_and(|room| room == 0) {
      return Some(Refusal::Cold);
    }
    let waits_for_grant = packet.handling != Handling::OpenUngranted && self.grants_only(now);
    let is_busy = waits_for_grant || self.would_miss_objective(flow);
    (!granted && is_busy).then_some(Refusal::Busy)
  }

  /// Whether a balancer that knows the target list up to `synced` may know the upstream from an entry
  /// that this agent has not received yet.
  fn is_newly_listed(&self, synced: Revision) -> bool {
    !self.stopping && !self.is_listed() && synced > self.gossip.catalog().synced()
  }

  /// The priority of a flow's route; the lowest where it has none.
  fn priority(&self, flow: &Flow) -> u8 {
    let route = self.gossip.catalog().route(&flow.route);
    route.map_or(u8::MAX, |route| route.priority)
  }

  /// Whether new flows are refused because the data centre is closed.
  pub(super) fn is_closed(&self, now: Instant) -> bool {
    self.closed_from.is_some_and(|from| now >= from)
  }

  /// Whether the upstream already has the flow's opening packet, so that another one is a
  /// retransmission.
  pub(super) fn has_flow(&self, flow: &Flow) -> bool {
    let entry = self.flows.get(flow);
    entry.is_some_and(|entry| matches!(entry.state, FlowState::Opening | FlowState::Open))
  }

  /// How many new flows the warm-up allows now, besides those that slots are reserved for; none
  /// where they are not limited.
  pub(super) fn room(&self, now: Instant) -> Option<u16> {
    let room = self.cold.room(now, self.warmup())?;
    Some(room.saturating_sub(self.grants.reserved()))
  }

  /// The operator's limit for a warm-up, if any; the default until the configuration has come.
  pub(super) fn warmup(&self) -> Option<Warmup> {
    let catalog = self.gossip.catalog();
    match catalog.configuration() {
      None => Some(cold::DEFAULT_WARMUP),
      Some(_) => catalog.warmup(&self.upstream.service),
    }
  }

  /// Limits new flows as during a warm-up, since the upstream may have restarted unnoticed.
  pub(super) fn suspect_restart(&mut self, now: Instant) {
    let known = self.gossip.catalog().synced();
    self.cold.suspect_restart(now, known);
  }

  /// Takes from the catalog whether the data centre is closed and how much of the warm-up is left.
  pub(super) fn update_admission(&mut self, now: Instant) {
    let evacuations = self.gossip.catalog().evacuations();
    let closed = evacuations.is_closed(&self.data_centre);
    if closed != self.closed_from.is_some() {
      log::info!(
        data_centre:% = self.data_centre, closed = closed;
        "agent: data centre was closed or opened to new flows."
      );
      let delay = self.gossip.evacuation_left().mul_f64(CLOSE_DELAY_FACTOR);
      self.closed_from = closed.then_some(now + delay);
    }
    if let Some(opened) = evacuations.opened(&self.data_centre) {
      self.cold.suspect_reopened(now, opened);
    }
    // A tombstone does not apply to the upstream's next incarnation.
    let entry = self.gossip.catalog().entry_of(&self.upstream);
    if let Some(entry) = entry.filter(|entry| entry.removed.is_none()) {
      self
        .cold
        .set_warmup_left(now, entry.revision, entry.target.warmup_left);
    }
  }
}
