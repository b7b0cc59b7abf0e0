//! What a balancer does with the packets of callers.

use {
  super::{egress::Waiting, machine::Machine, place::State},
  crate::{
    Code,
    datagram::{Codec, Flow, Frame, Head, Outbox, Via, frame::Purpose, service::Digest},
  },
  std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// How old the platform's last word may be for a route that is not known to count as dropped.
const ROUTE_FRESH: Duration = Duration::from_millis(2500);

impl<C: Codec> Machine<C> {
  pub(super) fn take_packet(
    &mut self,
    now: Instant,
    packet: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    self.wake(now);
    let head = self.codec.read_from_caller(packet)?;
    if self.spread.catalog().route(&head.flow.route).is_none() {
      return self.without_route(now, &head, out);
    }
    if head.opens {
      return self.open(now, &head, packet, out);
    }
    if self.egress.holds(now, &head) {
      let taken = self.egress.push(head, packet);
      return if taken { Ok(()) } else { Err(Code::QueueFull) };
    }
    self.forward(now, &head, packet, out);
    Ok(())
  }

  /// Sends a packet of an open flow where the flow is.
  pub(super) fn forward(&mut self, now: Instant, head: &Head, packet: &[u8], out: &mut Outbox) {
    match self.flows.get_mut(&head.flow) {
      Some(place) if matches!(place.state, State::Dead) => {
        self.reset(&head.flow, head.acknowledges, out);
      }
      Some(place) if matches!(place.state, State::Parked(..)) => {
        // A target that another balancer had asked opened it.
        self.unpark(&head.flow);
        self.flows.remove(&head.flow);
        self.search(now, head, packet, None);
      }
      Some(place) => {
        // Its caller was answered; if not from there, the agent says so.
        place.state = State::Open;
        place.seen = now;
        let (agent, service) = (place.agent, place.service);
        let away = self.absences.is_away(now, agent);
        if !away || !self.absences.hold(agent, *head, packet) {
          self.carry(agent, Purpose::Deliver, service, packet, out);
        }
      }
      None => self.search(now, head, packet, None),
    }
  }

  /// Sends what waited for the link, as far as that has room.
  pub(super) fn send_waiting(&mut self, now: Instant, out: &mut Outbox) {
    while let Some(Waiting { head, packet }) = self.egress.pop(now) {
      let before = out.size();
      if self.spread.catalog().route(&head.flow.route).is_some() {
        self.forward(now, &head, &packet, out);
      }
      self.egress.charge(now, out.size() - before);
    }
  }

  /// Nothing may take the packet. The caller of a new flow is told at once, unless a route may have
  /// come that is not known here yet; an open flow may be of such a route.
  pub(super) fn without_route(
    &mut self,
    now: Instant,
    head: &Head,
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let age = self.spread.confirmed(now);
    let fresh = age.is_some_and(|age| age < ROUTE_FRESH);
    if self.spread.catalog().configuration().is_none() || !fresh {
      return Err(Code::NotReady);
    }
    if head.opens && head.acknowledges == 0 {
      log::info!(
        flow:% = head.flow, version:% = self.spread.catalog().version(), age:? = age;
        "balancer: flow has no route and is reset."
      );
      self.reset(&head.flow, 0, out);
    }
    Err(Code::PacketUnroutable)
  }

  pub(super) fn reset(&self, flow: &Flow, acknowledges: u32, out: &mut Outbox) {
    let to = SocketAddrV4::new(*flow.caller.ip(), self.port);
    out.write(Via::Callers, to, |bytes| {
      self.codec.write_reset(flow, acknowledges, bytes);
    });
  }

  pub(super) fn carry(
    &self,
    agent: SocketAddrV4,
    purpose: Purpose,
    service: Digest,
    packet: &[u8],
    out: &mut Outbox,
  ) {
    let frame = Frame::Carry {
      complete: self.spread.catalog().complete(),
      purpose,
      service,
      version: self.spread.catalog().version(),
    };
    out.frame(agent, &frame, packet);
  }
}
