//! What an agent leaves to its next run, what its run before has left, and what it forgets when its
//! upstream starts again.

use {
  super::{
    grants::Grants,
    held::{Held, State},
    machine::Machine,
    work::Work,
  },
  crate::datagram::{Codec, Flow, Handover, Outbox, handover::Passed},
  std::{collections::BTreeSet, net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// A balancer says which flows this agent had before it started again, as far as it knows.
  pub(super) fn reminded(&mut self, now: Instant, from: SocketAddrV4, flows: &[Flow]) {
    for flow in flows {
      let before = Held::new(now, State::Open, Some(from));
      self.flows.entry(*flow).or_insert(before);
    }
  }

  /// A balancer hands on which flows the run before had.
  pub(super) fn handed(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flows: Vec<Passed>,
    part: u16,
    parts: u16,
  ) {
    for passed in &flows {
      let fresh = || Held::new(now, State::Opening, Some(from));
      let entry = self.flows.entry(passed.flow).or_insert_with(fresh);
      entry.take_passed(passed);
    }
    if now < self.forgetful_until && self.handed.take(now, part, parts, flows) {
      log::info!(from:% = from, flows = self.flows.len(); "agent: all flows are known again.");
      self.forgetful_until = now;
    }
  }

  /// Takes no new flows; those that are here go on until the end.
  pub(super) fn stopped(&mut self, now: Instant) {
    self.spread.stop(now);
    self.leaving = true;
    self.stopping = true;
  }

  /// Hands the flows to balancers, for the next run. Nothing passes after this: a flow that were
  /// opened later would be missing from the list, and the next run would deny it.
  pub(super) fn hand_over(&mut self, now: Instant, out: &mut Outbox) {
    let held = self.flows.iter();
    let passed = held.filter_map(|(flow, entry)| entry.passed(*flow));
    let handover = Handover::new(passed.collect());
    let tested = |entry: &Held| matches!(entry.state, State::Tested { .. });
    let whole = now >= self.forgetful_until && !self.flows.values().any(tested);
    let mut balancers = BTreeSet::from_iter(self.spread.balancers(now));
    if !self.spread.knows_all() {
      // Those that do not keep in touch, and send packets of flows that are here.
      balancers.extend(self.flows.values().filter_map(|entry| entry.balancer));
    }
    log::info!(
      flows = self.flows.len(), whole = whole, balancers = balancers.len();
      "agent: flows are handed over."
    );
    for balancer in balancers {
      handover.send(now, whole, balancer, out);
    }
  }

  /// The upstream has started again: what was learnt of the run before says nothing of this one. Its
  /// flows show when their next packets are sent back; those that were opened since are not told
  /// from them.
  pub(super) fn reborn(&mut self) {
    log::info!(flows = self.flows.len(); "agent: upstream has started again.");
    self.work = Work::default();
    self.grants = Grants::default();
    self.expected.clear();
    for entry in self.flows.values_mut() {
      entry.expected = false;
      entry.waits = None;
    }
  }
}
