//! Restores the flows of restarted agents, and sends packets that were buffered during a restart.

use {
  super::machine::Machine,
  crate::datagram::{Codec, Frame, Outbox, Service, frame::Role},
  std::{net::SocketAddrV4, time::Instant},
};

/// How many flows one frame names.
const FLOWS_PER_FRAME: usize = 64;

impl<C: Codec> Machine<C> {
  /// Sends an agent that has restarted the flows of its previous incarnation: from its handover,
  /// and those that this balancer knows.
  pub(super) fn restore_flows(&mut self, now: Instant, agent: SocketAddrV4, out: &mut Outbox) {
    let service = self.targets.service(agent).map(Service::digest);
    let known = self.flows.iter().filter(|(_, place)| {
      // The address may now be that of another service's upstream.
      place.is_open_at(agent) && service.is_none_or(|service| service == place.service)
    });
    let mut known = known.map(|(flow, _)| *flow).collect::<Vec<_>>();
    // In a fixed order, so that simulations are reproducible.
    known.sort_unstable();
    let handover = self.handovers.remove(&agent);
    log::info!(
      agent:% = agent, flows = known.len(),
      handover_complete = handover.as_ref().is_some_and(|handover| handover.is_complete_at(now));
      "balancer: agent has restarted."
    );
    for part in known.chunks(FLOWS_PER_FRAME) {
      let frame = Frame::Restore {
        flows: part.to_vec(),
      };
      out.frame(agent, &frame, &[]);
    }
    if let Some(handover) = handover {
      handover.send(now, true, agent, out);
    }
  }

  /// Sends the packets that were buffered for an agent which has restarted or did not come back in
  /// time.
  pub(super) fn release_buffered(&mut self, now: Instant, agent: SocketAddrV4, out: &mut Outbox) {
    let packets = self.restarts.finish(agent);
    if !packets.is_empty() {
      log::info!(
        agent:% = agent, packets = packets.len();
        "balancer: buffered packets are forwarded."
      );
    }
    for (head, packet) in packets {
      if self.egress.is_paced(&head) && self.egress.push(head, &packet) {
        continue;
      }
      if self.gossip.catalog().route(&head.flow.route).is_some() {
        self.forward(now, &head, &packet, out);
      }
    }
  }

  /// Sends a status to agents that packets are buffered for, and ends restarts that have timed out.
  pub(super) fn poll_restarts(&mut self, now: Instant, out: &mut Outbox) {
    for agent in self.restarts.take_due(now) {
      self.gossip.send_status(now, Role::Balancer, agent, out);
    }
    for agent in self.restarts.timed_out(now) {
      self.release_buffered(now, agent, out);
    }
  }
}
