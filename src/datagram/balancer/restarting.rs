//! What a balancer does for agents that stop as planned and start again.

use {
  super::machine::Machine,
  crate::datagram::{Codec, Frame, Outbox, Service, frame::Role},
  std::{net::SocketAddrV4, time::Instant},
};

/// How many flows one frame names.
const HELD_MAX: usize = 64;

impl<C: Codec> Machine<C> {
  /// An agent has started again: it is told which flows it had, by its own last word and as far
  /// as known here.
  pub(super) fn remind(&mut self, now: Instant, agent: SocketAddrV4, out: &mut Outbox) {
    let service = self.targets.service(agent).map(Service::digest);
    let there = self.flows.iter().filter(|(_, place)| {
      // The address may have gone to an upstream of another service.
      place.is_at(agent) && service.is_none_or(|service| service == place.service)
    });
    let mut known = there.map(|(flow, _)| *flow).collect::<Vec<_>>();
    // In one order, so that a run can be played again.
    known.sort_unstable();
    let handed = self.handed.remove(&agent);
    log::info!(
      agent:% = agent, flows = known.len(),
      whole = handed.as_ref().is_some_and(|handed| handed.is_whole_at(now));
      "balancer: agent has started again."
    );
    for part in known.chunks(HELD_MAX) {
      let frame = Frame::Held {
        flows: part.to_vec(),
      };
      out.frame(agent, &frame, &[]);
    }
    if let Some(handed) = handed {
      handed.send(now, true, agent, out);
    }
  }

  /// An agent is back, or is waited for no longer: what was held for it goes on.
  pub(super) fn returned(&mut self, now: Instant, agent: SocketAddrV4, out: &mut Outbox) {
    let packets = self.absences.end(agent);
    if !packets.is_empty() {
      log::info!(agent:% = agent, packets = packets.len(); "balancer: held packets go on.");
    }
    for (head, packet) in packets {
      if self.egress.paces(&head) && self.egress.push(head, &packet) {
        continue;
      }
      if self.spread.catalog().route(&head.flow.route).is_some() {
        self.forward(now, &head, &packet, out);
      }
    }
  }

  /// Greets agents that packets are held for, and gives up those that are not back in time.
  pub(super) fn await_absent(&mut self, now: Instant, out: &mut Outbox) {
    for agent in self.absences.take_due(now) {
      self.spread.greet(now, Role::Balancer, agent, out);
    }
    for agent in self.absences.lost(now) {
      self.returned(now, agent, out);
    }
  }
}
