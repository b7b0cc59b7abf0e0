//! What an agent does with the packets of its upstream.

use {
  super::{
    delivery::found,
    held::{Held, State},
    machine::Machine,
  },
  crate::{
    Code,
    datagram::{Codec, Flow, Frame, Head, Outbox, Via, frame::Refusal},
  },
  std::{net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// A packet came from the upstream.
  pub(super) fn take_packet(
    &mut self,
    now: Instant,
    packet: &mut [u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let head = self.codec.read_from_upstream(packet)?;
    if head.returned {
      self.codec.restore(packet);
      self.returned(now, &head, packet, out);
      return Ok(());
    }
    self.heard(now);
    if head.resets && self.is_tested(&head.flow) {
      self.denied(now, head.flow, out);
      return Ok(());
    }
    self.answered(now, &head, packet.len(), out);
    let to = SocketAddrV4::new(*head.flow.caller.ip(), self.port);
    out.packet(Via::Callers, to, packet);
    Ok(())
  }

  /// Whether a flow is only being tried at the upstream.
  fn is_tested(&self, flow: &Flow) -> bool {
    let entry = self.flows.get(flow);
    entry.is_some_and(|entry| matches!(entry.state, State::Tested { .. }))
  }

  /// The upstream resets a flow that was only tried there: it is not here. Passed on, the reset would end a
  /// flow that is open at another target.
  fn denied(&mut self, now: Instant, flow: Flow, out: &mut Outbox) {
    log::info!(flow:% = flow; "agent: upstream resets a tested flow.");
    let entry = self.flows.get(&flow).copied();
    self.forget_work(entry);
    self.deny(now, flow, entry, &[], out);
  }

  /// The upstream said something. After a silence it may have been started again.
  fn heard(&mut self, now: Instant) {
    if self.work.heard(now) {
      self.doubt(now);
    }
  }

  /// Learns from a packet on its way to a caller.
  pub(super) fn answered(&mut self, now: Instant, head: &Head, length: usize, out: &mut Outbox) {
    let flow = head.flow;
    self.work.forget(now);
    let load = self.load(now);
    let entry = self
      .flows
      .entry(flow)
      .or_insert(Held::new(now, State::Open, None));
    entry.seen = now;
    entry.bytes = entry.bytes.saturating_add(length as u32);
    if head.opens {
      entry.take_answer(head.sequence);
      if let Some(balancer) = entry.balancer {
        out.frame(balancer, &Frame::Opened(flow, load), &[]);
      }
      return;
    }
    if let (State::Tested { .. }, Some(balancer)) = (entry.state, entry.balancer) {
      out.frame(balancer, &found(flow, &self.upstream), &[]);
    }
    if !matches!(entry.state, State::Opening) {
      entry.state = State::Open;
    }
    if head.data == 0 && !head.resets && !head.ends {
      return;
    }
    if let Some(since) = entry.waits.take() {
      if head.data > 0 {
        self.work.moved(f64::from(entry.bytes));
        entry.bytes = 0;
        let time = now.saturating_duration_since(since);
        self.counter.observe("answer", time);
        // The upstream works on a request once it is whole.
        let whole = entry.newest.map_or(since, |(at, _)| at.max(since));
        let time = now.saturating_duration_since(whole);
        self.work.answered(now, time, entry.ahead, self.slots);
      } else if head.resets {
        self.work.broken_off(now);
      } else {
        self.work.ended();
      }
    }
  }

  /// The upstream sent a packet back.
  pub(super) fn returned(&mut self, now: Instant, head: &Head, packet: &[u8], out: &mut Outbox) {
    let flow = head.flow;
    self.heard(now);
    let entry = self.flows.get(&flow).copied();
    if !head.opens && entry.is_some_and(|entry| entry.state == State::Open) {
      // It has forgotten what it had.
      self.doubt(now);
    }
    if let (true, Some(taken)) = (head.opens, entry.filter(Held::is_taken)) {
      // A late copy: what the upstream took before stays there.
      if let Some(balancer) = taken.balancer {
        out.frame(balancer, &Frame::Opened(flow, self.load(now)), &[]);
      }
      return;
    }
    self.forget_work(entry);
    log::info!(
      flow:% = flow, opens = head.opens, known = matches!(entry.map(|entry| entry.state), Some(State::Open)), to:? = entry.and_then(|entry| entry.balancer);
      "agent: upstream does not hold the flow."
    );
    if head.opens {
      self.flows.remove(&flow);
      if let Some(balancer) = entry.and_then(|entry| entry.balancer) {
        let frame = Frame::Refused(flow, Refusal::Full, self.load(now));
        out.frame(balancer, &frame, &[]);
      }
      return;
    }
    let wanted = !matches!(
      entry.map(|entry| entry.state),
      Some(State::Tested { wanted: false, .. })
    );
    let packet = if wanted { packet } else { &[] };
    self.deny(now, flow, entry, packet, out);
  }

  /// A flow is not at the upstream, whatever its entry said: its balancer is told, with a caller's packet
  /// that goes elsewhere.
  fn deny(
    &mut self,
    now: Instant,
    flow: Flow,
    entry: Option<Held>,
    packet: &[u8],
    out: &mut Outbox,
  ) {
    let balancer = entry.and_then(|entry| entry.balancer);
    self
      .flows
      .insert(flow, Held::new(now, State::Absent, balancer));
    if let Some(balancer) = balancer {
      let frame = Frame::Absent {
        flows: vec![flow],
        known: self.known(now, entry.map(|entry| entry.asker).unwrap_or_default()),
        lost: entry.is_some_and(|entry| entry.state == State::Open && entry.proved),
      };
      out.frame(balancer, &frame, packet);
    }
  }

  /// What an entry counted as work ends with it.
  fn forget_work(&mut self, entry: Option<Held>) {
    if entry.is_some_and(|entry| entry.waits.is_some() || entry.expected) {
      self.work.ended();
    }
  }
}
