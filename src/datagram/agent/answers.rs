//! Handles packets of the upstream: forwards them to callers and tracks its flows and requests.

use {
  super::{
    delivery::found_frame,
    flow_entry::{FlowEntry, FlowState},
    machine::Machine,
  },
  crate::{
    Code,
    datagram::{Codec, Flow, Frame, Head, Outbox, Via, frame::Refusal},
  },
  std::{net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// Forwards a packet of the upstream to its caller. Two kinds are reported to the balancer
  /// instead: a bounced packet, and the reset of a flow while the agent tests whether the upstream
  /// owns it.
  ///
  /// # Errors
  ///
  /// A code where the packet can't be read.
  pub(super) fn take_packet(
    &mut self,
    now: Instant,
    packet: &mut [u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let head = self.codec.read_from_upstream(packet)?;
    if head.returned {
      self.codec.restore(packet);
      self.take_bounced(now, &head, packet, out);
      return Ok(());
    }
    self.note_upstream_alive(now);
    if head.resets && self.is_under_test(&head.flow) {
      self.fail_test(now, head.flow, out);
      return Ok(());
    }
    self.record_answer(now, &head, packet.len(), out);
    let to = SocketAddrV4::new(*head.flow.caller.ip(), self.callers_port);
    out.packet(Via::Callers, to, packet);
    Ok(())
  }

  /// Whether the outcome of a flow test is pending.
  fn is_under_test(&self, flow: &Flow) -> bool {
    let entry = self.flows.get(flow);
    entry.is_some_and(|entry| matches!(entry.state, FlowState::Tested { .. }))
  }

  /// Ends the test of a flow that the upstream has reset: it does not own the flow. The reset is
  /// not forwarded, since the flow may be open at another target.
  fn fail_test(&mut self, now: Instant, flow: Flow, out: &mut Outbox) {
    log::info!(flow:% = flow; "agent: upstream reset a flow under test.");
    let entry = self.flows.get(&flow).copied();
    self.end_work(&flow, entry);
    self.report_absent(now, flow, entry, &[], out);
  }

  /// Records that the upstream has sent a packet. If it was down until then, it may have restarted.
  fn note_upstream_alive(&mut self, now: Instant) {
    if self.work.note_heard(now) {
      self.suspect_restart(now);
    }
  }

  /// Updates a flow and its request from a packet to its caller, and reports an answered opening
  /// packet or a successful test to the balancer.
  pub(super) fn record_answer(
    &mut self,
    now: Instant,
    head: &Head,
    length: usize,
    out: &mut Outbox,
  ) {
    let flow = head.flow;
    self.work.expire_measurements(now);
    let load = self.load(now);
    let entry = self
      .flows
      .entry(flow)
      .or_insert(FlowEntry::new(now, FlowState::Open, None));
    entry.last_packet = now;
    entry.bytes = entry.bytes.saturating_add(length as u32);
    if head.opens {
      entry.set_answer(head.sequence);
      if let Some(balancer) = entry.balancer {
        out.frame(balancer, &Frame::Opened(flow, load), &[]);
      }
      return;
    }
    if let (FlowState::Tested { .. }, Some(balancer)) = (entry.state, entry.balancer) {
      out.frame(balancer, &found_frame(flow, &self.upstream), &[]);
    }
    if !matches!(entry.state, FlowState::Opening) {
      entry.state = FlowState::Open;
    }
    if head.data == 0 && !head.resets && !head.ends {
      return;
    }
    if let Some(since) = entry.unanswered_since.take() {
      self.work.forget(&flow);
      if head.data > 0 {
        self.work.record_bytes(f64::from(entry.bytes));
        entry.bytes = 0;
        let time = now.saturating_duration_since(since);
        self.counter.observe("answer", time);
        // The upstream works on a request once all of it has arrived.
        let received = entry.newest_data.map_or(since, |data| data.at.max(since));
        let time = now.saturating_duration_since(received);
        self
          .work
          .record_answer(now, &flow, time, entry.requests_ahead, self.slots);
      } else if head.resets {
        self.work.record_reset(now);
      } else {
        self.work.end();
      }
    }
  }

  /// Handles a packet that the upstream bounced since it does not own its flow. A bounced opening
  /// packet of a flow that the upstream has accepted changes nothing; any other packet ends the
  /// flow here, which is reported to its balancer.
  pub(super) fn take_bounced(
    &mut self,
    now: Instant,
    head: &Head,
    packet: &[u8],
    out: &mut Outbox,
  ) {
    let flow = head.flow;
    self.note_upstream_alive(now);
    let entry = self.flows.get(&flow).copied();
    if !head.opens && entry.is_some_and(|entry| entry.state == FlowState::Open) {
      // The upstream has lost a flow that it owned.
      self.suspect_restart(now);
    }
    if let (true, Some(accepted)) = (head.opens, entry.filter(FlowEntry::is_accepted)) {
      // A late retransmission: the upstream keeps the flow that it has accepted.
      if let Some(balancer) = accepted.balancer {
        out.frame(balancer, &Frame::Opened(flow, self.load(now)), &[]);
      }
      return;
    }
    self.end_work(&flow, entry);
    log::info!(
      flow:% = flow, opens = head.opens,
      owned = matches!(entry.map(|entry| entry.state), Some(FlowState::Open)),
      balancer:? = entry.and_then(|entry| entry.balancer);
      "agent: upstream does not own the flow."
    );
    if head.opens {
      self.flows.remove(&flow);
      if let Some(balancer) = entry.and_then(|entry| entry.balancer) {
        let frame = Frame::Refused(flow, Refusal::Full, self.load(now));
        out.frame(balancer, &frame, &[]);
      }
      return;
    }
    let returns_packet = !matches!(
      entry.map(|entry| entry.state),
      Some(FlowState::Tested {
        returns_packet: false,
        ..
      })
    );
    let packet = if returns_packet { packet } else { &[] };
    self.report_absent(now, flow, entry, packet, out);
  }

  /// Marks a flow as absent and reports that to its balancer, with `packet` for another target
  /// unless it is empty.
  fn report_absent(
    &mut self,
    now: Instant,
    flow: Flow,
    entry: Option<FlowEntry>,
    packet: &[u8],
    out: &mut Outbox,
  ) {
    let balancer = entry.and_then(|entry| entry.balancer);
    self
      .flows
      .insert(flow, FlowEntry::new(now, FlowState::Absent, balancer));
    if let Some(balancer) = balancer {
      let frame = Frame::Absent {
        flows: vec![flow],
        known: self.known_targets(
          now,
          entry.map(|entry| entry.asker_revision).unwrap_or_default(),
        ),
        lost: entry.is_some_and(|entry| entry.state == FlowState::Open && entry.confirmed),
      };
      out.frame(balancer, &frame, packet);
    }
  }

  /// Ends the request that the entry counts as in flight, if there is one.
  fn end_work(&mut self, flow: &Flow, entry: Option<FlowEntry>) {
    self.work.forget(flow);
    if entry.is_some_and(|entry| entry.unanswered_since.is_some() || entry.awaits_request) {
      self.work.end();
    }
  }
}
