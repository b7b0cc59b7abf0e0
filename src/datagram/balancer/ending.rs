//! Resets flows that no agent owns.

use {
  super::{
    machine::Machine,
    place::{Place, State},
  },
  crate::{
    Code,
    datagram::{Codec, Flow, Outbox, service::Digest},
  },
  std::{net::SocketAddrV4, time::Instant},
};

/// Placeholder for the service of a flow that no agent owns.
pub(super) const NO_SERVICE: Digest = Digest(0);

impl<C: Codec> Machine<C> {
  /// Resets flows that an agent's upstream has lost, except those that are known to be at another
  /// agent. No search is needed: the agent is certain that it owned them.
  pub(super) fn reset_lost_flows(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flows: &[Flow],
    packet: &[u8],
    out: &mut Outbox,
  ) {
    let head = self.codec.read_from_caller(packet).ok();
    for flow in flows {
      let elsewhere = |place: &Place| place.agent != from && !matches!(place.state, State::Dead);
      if self.flows.get(flow).is_some_and(elsewhere) {
        continue;
      }
      let from_search = self.end_search(flow).map(|search| search.acknowledges);
      let returned = head.filter(|head| head.flow == *flow);
      let acknowledges = returned.map(|head| head.acknowledges).or(from_search);
      log::info!(
        flow:% = flow, from:% = from;
        "balancer: upstream has lost the flow."
      );
      match acknowledges {
        Some(acknowledges) => self.mark_dead(now, *flow, acknowledges, out),
        // A reset needs what the caller last acknowledged. The next packet starts a search.
        None => {
          self.flows.remove(flow);
        }
      }
    }
  }

  /// Resets a lost flow, and marks it as dead so that each further packet is answered by a reset.
  pub(super) fn mark_dead(
    &mut self,
    now: Instant,
    flow: Flow,
    acknowledges: u32,
    out: &mut Outbox,
  ) {
    self.counter.count(Code::FlowUnknown);
    let place = Place {
      agent: self.gossip.address(),
      last_packet: now,
      service: NO_SERVICE,
      state: State::Dead,
    };
    self.flows.insert(flow, place);
    self.reset(&flow, acknowledges, out);
  }
}
