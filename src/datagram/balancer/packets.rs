//! Handles packets of callers.

use {
  super::{egress::QueuedPacket, machine::Machine, place::State},
  crate::{
    Code,
    datagram::{Codec, Flow, Frame, Head, Outbox, Via, frame::Handling, service::Digest},
  },
  std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// How recent the platform's last confirmation must be for an unknown route to count as removed, and
/// for a service without targets to have none.
const CONFIRMATION_AGE_MAX: Duration = Duration::from_millis(2500);

impl<C: Codec> Machine<C> {
  pub(super) fn take_packet(
    &mut self,
    now: Instant,
    packet: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    self.note_stall(now);
    let head = self.codec.read_from_caller(packet)?;
    if self.gossip.catalog().route(&head.flow.route).is_none() {
      return self.reject_unroutable(now, &head, out);
    }
    if head.opens {
      return self.open(now, &head, packet, out);
    }
    if self.egress.must_queue(now, &head) {
      let is_queued = self.egress.push(head, packet);
      return if is_queued {
        Ok(())
      } else {
        Err(Code::QueueFull)
      };
    }
    self.forward(now, &head, packet, out);
    Ok(())
  }

  /// Sends a packet of an open flow to the agent that owns it, or searches for that agent.
  pub(super) fn forward(&mut self, now: Instant, head: &Head, packet: &[u8], out: &mut Outbox) {
    match self.flows.get_mut(&head.flow) {
      Some(place) if matches!(place.state, State::Dead) => {
        self.reset(&head.flow, head.acknowledges, out);
      }
      Some(place) if matches!(place.state, State::Queued(..) | State::Rejected(_)) => {
        // The flow was opened by another balancer.
        self.dequeue(&head.flow);
        self.flows.remove(&head.flow);
        self.search(now, head, packet, None);
      }
      Some(place) => {
        // The caller has received an answer, so that the flow is open. If another agent owns it, this
        // one denies it.
        place.state = State::Open;
        place.last_packet = now;
        let (agent, service) = (place.agent, place.service);
        let is_restarting = self.restarts.is_restarting(now, agent);
        if !is_restarting || !self.restarts.buffer(agent, *head, packet) {
          self.carry(agent, Handling::Deliver, service, packet, out);
        }
      }
      None => self.search(now, head, packet, None),
    }
  }

  /// Sends queued packets as far as the link has capacity.
  pub(super) fn drain_egress(&mut self, now: Instant, out: &mut Outbox) {
    while let Some(QueuedPacket { head, packet }) = self.egress.pop(now) {
      let before = out.size();
      if self.gossip.catalog().route(&head.flow.route).is_some() {
        self.forward(now, &head, &packet, out);
      }
      self.charge_link(now, before, out);
    }
  }

  /// Rejects a packet whose address has no route. The first transmission of an opening packet is
  /// answered by a reset, unless the route may merely not be known here yet. An open flow is never
  /// reset: its route may come back.
  pub(super) fn reject_unroutable(
    &mut self,
    now: Instant,
    head: &Head,
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let age = self.gossip.confirmed(now);
    if self.gossip.catalog().configuration().is_none() || !self.is_confirmed(now) {
      return Err(Code::NotReady);
    }
    if head.opens && head.acknowledges == 0 {
      log::info!(
        flow:% = head.flow, version:% = self.gossip.catalog().version(), age:? = age;
        "balancer: flow has no route and is reset."
      );
      self.reset(&head.flow, 0, out);
    }
    Err(Code::PacketUnroutable)
  }

  /// Whether the platform has confirmed recently that the catalog is complete.
  pub(super) fn is_confirmed(&self, now: Instant) -> bool {
    let age = self.gossip.confirmed(now);
    age.is_some_and(|age| age < CONFIRMATION_AGE_MAX)
  }

  /// Resets a flow whose caller last acknowledged `acknowledges`.
  pub(super) fn reset(&self, flow: &Flow, acknowledges: u32, out: &mut Outbox) {
    let to = SocketAddrV4::new(*flow.caller.ip(), self.port);
    out.write(Via::Callers, to, |bytes| {
      self.codec.write_reset(flow, acknowledges, bytes);
    });
  }

  /// Sends a caller's packet to an agent.
  pub(super) fn carry(
    &self,
    agent: SocketAddrV4,
    handling: Handling,
    service: Digest,
    packet: &[u8],
    out: &mut Outbox,
  ) {
    let frame = Frame::Carry {
      synced: self.gossip.catalog().synced(),
      handling,
      service,
      version: self.gossip.catalog().version(),
    };
    out.frame(agent, &frame, packet);
  }
}
