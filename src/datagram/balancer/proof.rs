//! Decides whether the denials of agents prove that a flow is lost.

use {
  super::{
    machine::Machine,
    targets::{TargetState, Targets},
  },
  crate::datagram::{Codec, Flow, Service},
  std::{net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// Whether a flow that all queried agents have denied is lost.
  ///
  /// While no process knows to which services the flow's address was routed before, its owner may be
  /// of any service. Agents that know all flows of their upstreams are queried then. Others cannot
  /// tell: no packet of the flow may reach their upstreams as a test.
  pub(super) fn is_proven_lost(&mut self, now: Instant, flow: Flow) -> bool {
    if self.gossip.is_history_known() {
      return true;
    }
    let Some(search) = self.searches.get(&flow) else {
      return false;
    };
    let mut foreign = search.foreign.iter().map(|(agent, _)| *agent);
    if foreign.any(|agent| self.targets.may_hold_former(agent)) {
      return false;
    }
    let services = self.gossip.catalog().services(&flow.route);
    let mut unasked = Vec::new();
    for (agent, is_alive) in self.targets.other_holders(now, &services) {
      // One that has not answered is not reachable.
      let is_reachable = is_alive || self.gossip.has_sent_history(agent);
      if !is_reachable || search.queried.contains(&agent) {
        continue;
      }
      if self.gossip.lacks_flows(agent) {
        return false;
      }
      unasked.push(agent);
    }
    let acknowledges = search.acknowledges;
    let Some(search) = self.searches.get_mut(&flow) else {
      return false;
    };
    let queried = search.add_queried(unasked.into_iter());
    self.query(now, flow, acknowledges, &queried);
    queried.is_empty()
  }
}

impl Targets {
  /// The agents of other services whose upstreams may have flows from before anything that this process
  /// knows, and whether each has sent a status lately.
  fn other_holders(
    &self,
    now: Instant,
    services: &[Service],
  ) -> impl Iterator<Item = (SocketAddrV4, bool)> {
    let others = self.by_agent.iter().filter(move |(_, target)| {
      self.may_hold_former_of(target) && !services.contains(&target.service)
    });
    others.map(move |(agent, target)| (*agent, self.is_alive(now, target)))
  }

  /// Whether the target at an agent may have flows from before what this process knows.
  fn may_hold_former(&self, agent: SocketAddrV4) -> bool {
    let target = self.by_agent.get(&agent);
    target.is_some_and(|target| self.may_hold_former_of(target))
  }

  /// Whether a target may have flows from before what this process knows. One that has left the target
  /// list counts as gone: after a loss of power nothing else tells that it is.
  fn may_hold_former_of(&self, target: &TargetState) -> bool {
    let is_newer = target.started > self.routes_known_from && self.routes_known_from.is_some();
    target.removed.is_none() && !is_newer
  }
}
