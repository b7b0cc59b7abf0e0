//! How a balancer ends flows that are nowhere.

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

/// The service of a flow that nobody has.
const NOWHERE: Digest = Digest(0);

impl<C: Codec> Machine<C> {
  /// Flows were open at an agent's upstream, which has forgotten them. Nobody else can have them, so that
  /// their callers are told without a search.
  pub(super) fn lost(
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
      let search = self.end_search(flow).map(|search| search.acknowledges);
      let sent = head.filter(|head| head.flow == *flow);
      let acknowledges = sent.map(|head| head.acknowledges).or(search);
      log::info!(flow:% = flow, from:% = from; "balancer: flow is lost and is reset.");
      match acknowledges {
        Some(acknowledges) => self.bury(now, *flow, acknowledges, out),
        // Its caller's next packet is searched for.
        None => {
          self.flows.remove(flow);
        }
      }
    }
  }

  /// A flow is nowhere: its caller is told, now and with each packet that still comes.
  pub(super) fn bury(&mut self, now: Instant, flow: Flow, acknowledges: u32, out: &mut Outbox) {
    self.counter.count(Code::FlowUnknown);
    let place = Place {
      agent: self.spread.address(),
      seen: now,
      service: NOWHERE,
      state: State::Dead,
    };
    self.flows.insert(flow, place);
    self.reset(&flow, acknowledges, out);
  }
}
