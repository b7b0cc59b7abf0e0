//! Delivers callers' packets to the upstream, tests flows there and answers balancers' queries.

use {
  super::{
    flow_entry::{FlowEntry, FlowState},
    machine::{CallerPacket, KNOWN_MAX, Machine},
  },
  crate::{
    Code, Revision,
    datagram::{
      Codec, Flow, Frame, Outbox, Upstream, Via,
      frame::{Handling, Known, Refusal},
      service::Digest,
    },
  },
  std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

impl<C: Codec> Machine<C> {
  /// Opens a flow with a caller's packet, or delivers the packet to the upstream.
  ///
  /// # Errors
  ///
  /// `Code::FrameWrongService` where the packet is meant for another service than the upstream's.
  pub(super) fn take_caller_packet(
    &mut self,
    now: Instant,
    packet: &CallerPacket,
    service: Digest,
    out: &mut Outbox,
  ) -> Result<(), Code> {
    self.gossip.note_heard(now, packet.balancer, true);
    if service != self.upstream.service.digest() {
      self.refuse(now, packet, Refusal::Service, out);
      return Err(Code::FrameWrongService);
    }
    if packet.head.opens {
      self.open(now, packet, out);
    } else {
      self.deliver(now, packet, out);
    }
    Ok(())
  }

  /// Gives the upstream an opening packet, unless the flow is refused. The packet is dropped where
  /// the balancer has an older configuration and the flow's route no longer has this service.
  pub(super) fn open(&mut self, now: Instant, packet: &CallerPacket, out: &mut Outbox) {
    let version = packet.version;
    let flow = packet.head.flow;
    let catalog = self.gossip.catalog();
    let route = catalog.route(&flow.route);
    let takes = route.is_some_and(|route| route.backends.takes(&self.upstream.service));
    if catalog.version() > version && !takes {
      log::info!(
        flow:% = flow, version:% = catalog.version(), sender_version:% = version;
        "agent: dropped an opening packet for a route that no longer has this service."
      );
      self.counter.count(Code::PacketUnroutable);
      return;
    }
    if let Some(refusal) = self.refusal(now, packet) {
      self.refuse(now, packet, refusal, out);
      return;
    }
    if !self.has_flow(&flow) {
      self.cold.record_open(now);
    }
    let entry = self
      .flows
      .entry(flow)
      .or_insert(FlowEntry::new(now, FlowState::Opening, None));
    if matches!(entry.state, FlowState::Absent | FlowState::Tested { .. }) {
      entry.state = FlowState::Opening;
    }
    entry.balancer = Some(packet.balancer);
    entry.last_packet = now;
    if !entry.awaits_request && entry.unanswered_since.is_none() {
      entry.awaits_request = true;
      entry.opened_at = Some(now);
      self.work.begin();
      self
        .awaiting_request
        .insert((now + self.first_request_timeout.wait(), flow));
    }
    self.work.await_answer(now);
    out.packet(Via::Upstream, self.upstream.address, packet.bytes);
  }

  /// Delivers a packet of a flow that the upstream owns. An unknown flow is tested if a previous
  /// incarnation may have opened it, and reported absent otherwise.
  pub(super) fn deliver(&mut self, now: Instant, packet: &CallerPacket, out: &mut Outbox) {
    let flow = packet.head.flow;
    let recovering = now < self.recovering_until;
    let Some(entry) = self.flows.get_mut(&flow) else {
      if recovering {
        self.start_test(now, packet, out);
      } else {
        send_absent(packet, self.known_targets(now, packet.synced), out);
      }
      return;
    };
    match entry.state {
      FlowState::Opening if entry.is_answered(packet.head.acknowledges) => {
        entry.confirmed = true;
        entry.state = FlowState::Open;
      }
      // A late opening packet may belong to a flow that the previous incarnation had opened.
      FlowState::Opening if recovering => {
        self.start_test(now, packet, out);
        return;
      }
      FlowState::Opening | FlowState::Absent => {
        send_absent(packet, self.known_targets(now, packet.synced), out);
        return;
      }
      FlowState::Open | FlowState::Tested { .. } => {}
    }
    entry.last_packet = now;
    entry.asker_revision = packet.synced;
    entry.balancer = Some(packet.balancer);
    let is_tested = matches!(entry.state, FlowState::Tested { .. });
    if is_tested && packet.handling == Handling::Test {
      // One packet is enough for a test.
      return;
    }
    entry.bytes = entry.bytes.saturating_add(packet.bytes.len() as u32);
    let is_newer = packet.head.data > 0 && entry.record_data(now, packet.head.sequence);
    let opened = entry.opened_at.filter(|_| is_newer);
    if let Some(opened) = opened {
      entry.opened_at = None;
      self
        .first_request_timeout
        .observe(now.saturating_duration_since(opened));
    }
    if is_newer && entry.unanswered_since.is_none() {
      entry.unanswered_since = Some(now);
      if !std::mem::take(&mut entry.awaits_request) {
        self.work.begin();
      }
      entry.requests_ahead = self.work.in_flight() - 1;
      self.work.count_request(now, &flow, opened.is_some());
    }
    if is_newer {
      self.work.receive(now, flow, entry.requests_ahead);
    }
    if packet.handling == Handling::Test {
      out.frame(packet.balancer, &found_frame(flow, &self.upstream), &[]);
    }
    out.packet(Via::Upstream, self.upstream.address, packet.bytes);
  }

  /// Answers a balancer that queries `flows`, each with the sequence number that its caller last
  /// acknowledged: found, absent, or unsure where a packet is needed for a test. A flow under test
  /// is answered later.
  ///
  /// The balancer may not know all `services` that a flow's address was routed to. A flow of another
  /// service is answered too if this agent knows that the address was routed to its own; otherwise
  /// only if it is certainly absent, since no packet of it may reach the upstream.
  ///
  /// # Errors
  ///
  /// `Code::FrameWrongService` where the upstream's service is none that a flow may belong to.
  pub(super) fn answer_query(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flows: &[(Flow, u32)],
    services: &[Digest],
    synced: Revision,
    out: &mut Outbox,
  ) -> Result<(), Code> {
    self.gossip.note_heard(now, from, true);
    let service = self.upstream.service.digest();
    let is_named = services.contains(&service);
    let (mut absent, mut foreign, mut unsure) = (Vec::new(), Vec::new(), Vec::new());
    for (flow, acknowledges) in flows {
      let may_own = is_named || self.was_routed_here(flow);
      match self.ownership(now, from, flow, *acknowledges) {
        Ownership::NotOwned => absent.push(*flow),
        _ if !may_own => foreign.push(*flow),
        Ownership::Owned => out.frame(from, &found_frame(*flow, &self.upstream), &[]),
        Ownership::Testing => {}
        Ownership::Unknown => unsure.push(*flow),
      }
    }
    if !unsure.is_empty() {
      let flows = unsure;
      out.frame(from, &Frame::Unsure { flows, service }, &[]);
    }
    if !absent.is_empty() {
      let known = self.known_targets(now, synced);
      let (flows, lost) = (absent, false);
      out.frame(from, &Frame::Absent { flows, known, lost }, &[]);
    }
    if foreign.is_empty() {
      return Ok(());
    }
    let flows = foreign;
    out.frame(from, &Frame::Foreign { flows, service }, &[]);
    Err(Code::FrameWrongService)
  }

  /// Whether the flow's address is, or was within a flow's lifetime, routed to the upstream's
  /// service.
  fn was_routed_here(&self, flow: &Flow) -> bool {
    let services = self.gossip.catalog().services(&flow.route);
    services.contains(&self.upstream.service)
  }

  /// Whether the upstream owns a flow whose caller last acknowledged `acknowledges`. The outcome of
  /// a pending test will be sent to `asker`.
  fn ownership(
    &mut self,
    now: Instant,
    asker: SocketAddrV4,
    flow: &Flow,
    acknowledges: u32,
  ) -> Ownership {
    let recovering = now < self.recovering_until;
    let unknown = if recovering {
      Ownership::Unknown
    } else {
      Ownership::NotOwned
    };
    let Some(entry) = self.flows.get_mut(flow) else {
      return unknown;
    };
    match entry.state {
      FlowState::Open => Ownership::Owned,
      FlowState::Opening if entry.is_answered(acknowledges) => Ownership::Owned,
      FlowState::Opening => unknown,
      FlowState::Absent => Ownership::NotOwned,
      FlowState::Tested { .. } => {
        entry.balancer = Some(asker);
        Ownership::Testing
      }
    }
  }

  /// Tests whether the upstream owns a flow that a previous incarnation may have opened: the
  /// upstream is given the packet and bounces it if it does not own the flow.
  pub(super) fn start_test(&mut self, now: Instant, packet: &CallerPacket, out: &mut Outbox) {
    let flow = packet.head.flow;
    log::info!(flow:% = flow, balancer:% = packet.balancer; "agent: testing an unknown flow.");
    let deadline = now + self.tuning.test;
    self.tests.push_back((deadline, flow));
    let state = FlowState::Tested {
      deadline,
      returns_packet: packet.handling == Handling::Deliver,
    };
    let entry = self
      .flows
      .entry(flow)
      .or_insert(FlowEntry::new(now, state, None));
    entry.asker_revision = packet.synced;
    entry.balancer = Some(packet.balancer);
    entry.last_packet = now;
    entry.state = state;
    out.packet(Via::Upstream, self.upstream.address, packet.bytes);
  }

  /// Ends the test whose deadline has passed: the upstream owns the flow, since it has not bounced
  /// the packet. Does nothing where the test has ended before.
  pub(super) fn conclude_test(&mut self, flow: Flow, deadline: Instant, out: &mut Outbox) {
    let Some(entry) = self.flows.get_mut(&flow) else {
      return;
    };
    if !matches!(entry.state, FlowState::Tested { deadline: own, .. } if own == deadline) {
      return;
    }
    entry.state = FlowState::Open;
    log::info!(flow:% = flow; "agent: upstream did not bounce the tested packet.");
    if let Some(balancer) = entry.balancer {
      out.frame(balancer, &found_frame(flow, &self.upstream), &[]);
    }
  }

  /// Reports to the balancer that a flow is refused; for a packet that was not forwarded to open
  /// the flow, that it is absent.
  pub(super) fn refuse(
    &mut self,
    now: Instant,
    packet: &CallerPacket,
    refusal: Refusal,
    out: &mut Outbox,
  ) {
    let flow = packet.head.flow;
    if packet.handling.opens() {
      let load = self.load(now);
      log::info!(
        flow:% = flow, reason:? = refusal, work = load.work, service_ms = load.service_ms,
        slots = self.slots(), synced:% = self.gossip.catalog().synced();
        "agent: refused to open a flow."
      );
      let frame = Frame::Refused(flow, refusal, load);
      out.frame(packet.balancer, &frame, &[]);
    } else {
      send_absent(packet, self.known_targets(now, packet.synced), out);
    }
  }

  /// Whether the first request of a new flow would be answered too late for its route's objective.
  /// The agent applies the limit of routes with priority to all routes; balancers apply a stricter
  /// one to routes without.
  pub(super) fn would_miss_objective(&self, flow: &Flow) -> bool {
    let Some(route) = self.gossip.catalog().route(&flow.route) else {
      return false;
    };
    let objective_ms = route.objective.as_secs_f64() * 1000.0;
    self.work.wait_ms(self.slots()) > objective_ms * self.tuning.wait_part_first
  }

  /// The other targets that may own a flow of this service: tombstones, and targets that are newer
  /// than the revision up to which the asker knows the target list. Where all of these are named,
  /// the asker needs no later list to conclude that a flow is lost, even while the list keeps
  /// changing. It needs the configuration in force, which names the services.
  pub(super) fn known_targets(&self, now: Instant, asker: Revision) -> Known {
    let synced = self.gossip.catalog().synced();
    let entries = self.gossip.catalog().entries();
    let tombstones = entries.filter_map(|(_, entry)| {
      let age = match entry.removed {
        Some(removed) => now.saturating_duration_since(removed),
        None if entry.revision <= asker => return None,
        None => Duration::ZERO,
      };
      let target = &entry.target;
      let may_own =
        target.service == self.upstream.service && target.address != self.upstream.address;
      may_own.then_some((target.address, age.as_millis() as u32))
    });
    let former = self.gossip.catalog().former_targets().all();
    let former = former.filter(|(_, service, _)| **service == self.upstream.service);
    let former = former.map(|(instance, _, removed)| {
      let age = now.saturating_duration_since(removed);
      (SocketAddrV4::new(instance, 0), age.as_millis() as u32)
    });
    let tombstones = tombstones.chain(former);
    let tombstones = tombstones.take(KNOWN_MAX).collect::<Vec<_>>();
    let all_named = tombstones.len() < KNOWN_MAX;
    // A later configuration may have added services that the asker does not know.
    let configured = self.gossip.catalog().configured();
    Known {
      synced: if all_named {
        synced.min(asker).max(configured)
      } else {
        synced
      },
      service: self.upstream.service.clone(),
      tombstones,
    }
  }
}

/// Whether an agent's upstream owns a flow.
enum Ownership {
  Owned,
  NotOwned,
  /// A flow test is pending.
  Testing,
  /// This incarnation does not know the flow, but a previous one may have opened it.
  Unknown,
}

/// The frame by which a balancer learns that the upstream owns a flow.
pub(super) fn found_frame(flow: Flow, upstream: &Upstream) -> Frame {
  Frame::Found {
    flow,
    service: upstream.service.digest(),
  }
}

/// Reports to the balancer that the upstream does not own a flow. A packet that was to be delivered
/// is returned with the report.
fn send_absent(packet: &CallerPacket, known: Known, out: &mut Outbox) {
  let returned = match packet.handling {
    Handling::Deliver => packet.bytes,
    Handling::Open | Handling::OpenUngranted | Handling::Test => &[],
  };
  let frame = Frame::Absent {
    flows: vec![packet.head.flow],
    known,
    lost: false,
  };
  out.frame(packet.balancer, &frame, returned);
}
