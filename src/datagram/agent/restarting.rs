//! Hands the flows over to the agent's next incarnation, restores those of the previous one, and
//! discards what is outdated when the upstream restarts.

use {
  super::{
    flow_entry::{FlowEntry, FlowState},
    grants::Grants,
    machine::Machine,
    work::Work,
  },
  crate::datagram::{Codec, Flow, Handover, Outbox, handover::FlowRecord},
  std::{collections::BTreeSet, net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// Restores flows that a balancer knows to be at this agent.
  pub(super) fn restore_flows(&mut self, now: Instant, from: SocketAddrV4, flows: &[Flow]) {
    for flow in flows {
      let restored = FlowEntry::new(now, FlowState::Open, Some(from));
      self.flows.entry(*flow).or_insert(restored);
    }
  }

  /// Restores flows from a part of the previous incarnation's handover. Once all parts have come,
  /// no flow is unknown any more.
  pub(super) fn take_handover(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flows: Vec<FlowRecord>,
    part: u16,
    parts: u16,
  ) {
    for record in &flows {
      let fresh = || FlowEntry::new(now, FlowState::Opening, Some(from));
      let entry = self.flows.entry(record.flow).or_insert_with(fresh);
      entry.restore(record);
    }
    if now < self.recovering_until && self.handover.add_part(now, part, parts, flows) {
      log::info!(
        from:% = from, flows = self.flows.len();
        "agent: received all flows of the previous incarnation."
      );
      self.recovering_until = now;
    }
  }

  /// Begins a graceful shutdown: new flows are refused, known flows are served until the end.
  pub(super) fn begin_shutdown(&mut self, now: Instant) {
    self.gossip.stop(now);
    self.leaving = true;
    self.stopping = true;
  }

  /// Sends the flows to balancers, which keep them for the next incarnation. No packet may be
  /// forwarded after this: a flow opened later would be missing from the handover, and the next
  /// incarnation would report it absent.
  pub(super) fn hand_over(&mut self, now: Instant, out: &mut Outbox) {
    let entries = self.flows.iter();
    let records = entries.filter_map(|(flow, entry)| entry.flow_record(*flow));
    let handover = Handover::new(records.collect());
    let is_tested = |entry: &FlowEntry| matches!(entry.state, FlowState::Tested { .. });
    let whole = now >= self.recovering_until && !self.flows.values().any(is_tested);
    let mut balancers = BTreeSet::from_iter(self.gossip.balancers(now));
    if !self.gossip.is_full_mesh() {
      // Balancers that exchange no heartbeats with this agent, but forward packets to it.
      balancers.extend(self.flows.values().filter_map(|entry| entry.balancer));
    }
    log::info!(
      flows = self.flows.len(), whole = whole, balancers = balancers.len();
      "agent: sending the handover to balancers."
    );
    for balancer in balancers {
      handover.send(now, whole, balancer, out);
    }
  }

  /// Discards what was learnt from the upstream's previous incarnation, as the upstream has
  /// restarted. The flows stay until the upstream bounces their packets, since some may have been
  /// opened after the restart.
  pub(super) fn upstream_restarted(&mut self) {
    log::info!(flows = self.flows.len(); "agent: upstream has restarted.");
    self.work = Work::new(self.tuning.overload);
    self.grants = Grants::new(self.tuning.overload.enabled);
    self.awaiting_request.clear();
    for entry in self.flows.values_mut() {
      entry.awaits_request = false;
      entry.unanswered_since = None;
    }
  }
}
