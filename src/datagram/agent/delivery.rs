//! What an agent does with the packets of callers.

use {
  super::{
    held::{Held, State},
    machine::{Carried, Machine, PAST_MAX},
  },
  crate::{
    Code, Revision,
    datagram::{
      Codec, Flow, Frame, Outbox, Upstream, Via,
      frame::{Known, Purpose, Refusal},
      service::Digest,
    },
  },
  std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

impl<C: Codec> Machine<C> {
  pub(super) fn carry(
    &mut self,
    now: Instant,
    carried: &Carried,
    service: Digest,
    out: &mut Outbox,
  ) -> Result<(), Code> {
    self.spread.heard(now, carried.from, true);
    if service != self.upstream.service.digest() {
      self.turn_away(now, carried, Refusal::Service, out);
      return Err(Code::FrameWrongService);
    }
    if carried.head.opens {
      self.open(now, carried, out);
    } else {
      self.deliver(now, carried, out);
    }
    Ok(())
  }

  pub(super) fn open(&mut self, now: Instant, carried: &Carried, out: &mut Outbox) {
    let version = carried.version;
    let flow = carried.head.flow;
    let catalog = self.spread.catalog();
    let route = catalog.route(&flow.route);
    let takes = route.is_some_and(|route| route.backends.takes(&self.upstream.service));
    if catalog.version() > version && !takes {
      log::info!(
        flow:% = flow, version:% = catalog.version(), sender:% = version;
        "agent: opening packet is for a dropped route."
      );
      self.counter.count(Code::PacketUnroutable);
      return;
    }
    if let Some(refusal) = self.refusal(now, &flow, carried.from) {
      self.turn_away(now, carried, refusal, out);
      return;
    }
    if !self.has(&flow) {
      self.cold.give(now);
    }
    let entry = self
      .flows
      .entry(flow)
      .or_insert(Held::new(now, State::Opening, None));
    if matches!(entry.state, State::Absent | State::Tested { .. }) {
      entry.state = State::Opening;
    }
    entry.balancer = Some(carried.from);
    entry.seen = now;
    if !entry.expected && entry.waits.is_none() {
      entry.expected = true;
      entry.opened = Some(now);
      self.work.begun();
      self.expected.insert((now + self.arrival.wait(), flow));
    }
    self.work.asked(now);
    out.packet(Via::Upstream, self.upstream.address, carried.packet);
  }

  /// Takes a packet of a flow that is not being opened.
  pub(super) fn deliver(&mut self, now: Instant, carried: &Carried, out: &mut Outbox) {
    let flow = carried.head.flow;
    let forgetful = now < self.forgetful_until;
    let Some(entry) = self.flows.get_mut(&flow) else {
      if forgetful {
        self.test(now, carried, out);
      } else {
        absent(carried, self.known(now, carried.complete), out);
      }
      return;
    };
    match entry.state {
      State::Opening if entry.is_answered(carried.head.acknowledges) => {
        entry.proved = true;
        entry.state = State::Open;
      }
      // An opening packet that came late may be of a flow that the run before had opened.
      State::Opening if forgetful => {
        self.test(now, carried, out);
        return;
      }
      State::Opening | State::Absent => {
        absent(carried, self.known(now, carried.complete), out);
        return;
      }
      State::Open | State::Tested { .. } => {}
    }
    entry.seen = now;
    entry.asker = carried.complete;
    entry.balancer = Some(carried.from);
    let tested = matches!(entry.state, State::Tested { .. });
    if tested && carried.purpose == Purpose::Test {
      // One packet is enough to try.
      return;
    }
    entry.bytes = entry.bytes.saturating_add(carried.packet.len() as u32);
    let newer = carried.head.data > 0 && entry.take_data(now, carried.head.sequence);
    if newer && let Some(opened) = entry.opened.take() {
      self.arrival.observe(now.saturating_duration_since(opened));
    }
    if newer && entry.waits.is_none() {
      entry.waits = Some(now);
      if !std::mem::take(&mut entry.expected) {
        self.work.begun();
      }
      entry.ahead = self.work.under_way() - 1;
    }
    if carried.purpose == Purpose::Test {
      out.frame(carried.from, &found(flow, &self.upstream), &[]);
    }
    out.packet(Via::Upstream, self.upstream.address, carried.packet);
  }

  /// Says which flows are here, as far as this run knows.
  pub(super) fn asked(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flows: &[(Flow, u32)],
    services: &[Digest],
    complete: Revision,
    out: &mut Outbox,
  ) -> Result<(), Code> {
    self.spread.heard(now, from, true);
    if !services.contains(&self.upstream.service.digest()) {
      let known = self.known(now, complete);
      let flows = flows.iter().map(|(flow, _)| *flow).collect();
      let lost = false;
      out.frame(from, &Frame::Absent { flows, known, lost }, &[]);
      return Err(Code::FrameWrongService);
    }
    let (mut absent, mut unsure) = (Vec::new(), Vec::new());
    for (flow, acknowledges) in flows {
      match self.holds(now, from, flow, *acknowledges) {
        Holds::Yes => out.frame(from, &found(*flow, &self.upstream), &[]),
        Holds::No => absent.push(*flow),
        Holds::Tested => {}
        Holds::Unknown => unsure.push(*flow),
      }
    }
    if !unsure.is_empty() {
      let frame = Frame::Unsure {
        flows: unsure,
        service: self.upstream.service.digest(),
      };
      out.frame(from, &frame, &[]);
    }
    if !absent.is_empty() {
      let known = self.known(now, complete);
      let (flows, lost) = (absent, false);
      out.frame(from, &Frame::Absent { flows, known, lost }, &[]);
    }
    Ok(())
  }

  /// Whether a flow is here whose caller last acknowledged `acknowledges`; who asks is told later
  /// where that is being tried.
  fn holds(&mut self, now: Instant, asker: SocketAddrV4, flow: &Flow, acknowledges: u32) -> Holds {
    let forgetful = now < self.forgetful_until;
    let unknown = if forgetful { Holds::Unknown } else { Holds::No };
    let Some(entry) = self.flows.get_mut(flow) else {
      return unknown;
    };
    match entry.state {
      State::Open => Holds::Yes,
      State::Opening if entry.is_answered(acknowledges) => Holds::Yes,
      State::Opening => unknown,
      State::Absent => Holds::No,
      State::Tested { .. } => {
        entry.balancer = Some(asker);
        Holds::Tested
      }
    }
  }

  /// This run does not know the flow, but its upstream may: it is given the packet and sends it
  /// back if it does not.
  pub(super) fn test(&mut self, now: Instant, carried: &Carried, out: &mut Outbox) {
    let flow = carried.head.flow;
    log::info!(flow:% = flow, from:% = carried.from; "agent: flow is unknown and tested.");
    let deadline = now + self.tuning.test;
    self.tests.push_back((deadline, flow));
    let state = State::Tested {
      deadline,
      wanted: carried.purpose == Purpose::Deliver,
    };
    let entry = self
      .flows
      .entry(flow)
      .or_insert(Held::new(now, state, None));
    entry.asker = carried.complete;
    entry.balancer = Some(carried.from);
    entry.seen = now;
    entry.state = state;
    out.packet(Via::Upstream, self.upstream.address, carried.packet);
  }

  /// The upstream did not send a tested packet back: it has the flow.
  pub(super) fn kept(&mut self, flow: Flow, deadline: Instant, out: &mut Outbox) {
    let Some(entry) = self.flows.get_mut(&flow) else {
      return;
    };
    if !matches!(entry.state, State::Tested { deadline: own, .. } if own == deadline) {
      return;
    }
    entry.state = State::Open;
    log::info!(flow:% = flow; "agent: tested flow was not sent back.");
    if let Some(balancer) = entry.balancer {
      out.frame(balancer, &found(flow, &self.upstream), &[]);
    }
  }

  pub(super) fn turn_away(
    &mut self,
    now: Instant,
    carried: &Carried,
    refusal: Refusal,
    out: &mut Outbox,
  ) {
    let flow = carried.head.flow;
    if carried.purpose == Purpose::Open {
      let load = self.load(now);
      log::info!(
        flow:% = flow, why:? = refusal, work = load.work, service_ms = load.service_ms,
        slots = self.slots(), complete:% = self.spread.catalog().complete();
        "agent: flow is not opened."
      );
      let frame = Frame::Refused(flow, refusal, load);
      out.frame(carried.from, &frame, &[]);
    } else {
      absent(carried, self.known(now, carried.complete), out);
    }
  }

  /// Whether a new flow's request would be answered too late. Which routes go first is the
  /// balancers' to decide: they look at the stricter limit.
  pub(super) fn is_too_long(&self, flow: &Flow) -> bool {
    let Some(route) = self.spread.catalog().route(&flow.route) else {
      return false;
    };
    let objective_ms = route.objective.as_secs_f64() * 1000.0;
    self.work.wait_ms(self.slots()) > objective_ms * self.tuning.wait_part_first
  }

  /// What is known here of where else a flow of this service may be, besides what the asker knows,
  /// who knows the list up to a revision. Where all of that is named, the asker need not know more of
  /// the list for its proof: after a loss of power the list changed for 2 s, and callers of 174 dead
  /// flows had gone before they were told.
  pub(super) fn known(&self, now: Instant, asker: Revision) -> Known {
    let complete = self.spread.catalog().complete();
    let entries = self.spread.catalog().entries();
    let past = entries.filter_map(|(_, entry)| {
      let age = match entry.gone {
        Some(gone) => now.saturating_duration_since(gone),
        None if entry.revision <= asker => return None,
        None => Duration::ZERO,
      };
      let target = &entry.target;
      let counts =
        target.service == self.upstream.service && target.address != self.upstream.address;
      counts.then_some((target.address, age.as_millis() as u32))
    });
    let past = past.take(PAST_MAX).collect::<Vec<_>>();
    let all = past.len() < PAST_MAX;
    Known {
      complete: if all { complete.min(asker) } else { complete },
      past,
    }
  }
}

/// Whether a flow is at an agent's upstream.
enum Holds {
  Yes,
  No,
  /// The upstream was given a packet of it, and the answer is out.
  Tested,
  /// This run has not seen it, but has not seen all.
  Unknown,
}

/// The word that a flow is at an upstream.
pub(super) fn found(flow: Flow, upstream: &Upstream) -> Frame {
  Frame::Found {
    flow,
    service: upstream.service.digest(),
  }
}

/// Tells a balancer that a flow is not here.
fn absent(carried: &Carried, known: Known, out: &mut Outbox) {
  let packet = match carried.purpose {
    Purpose::Deliver => carried.packet,
    Purpose::Open | Purpose::Test => &[],
  };
  let frame = Frame::Absent {
    flows: vec![carried.head.flow],
    known,
    lost: false,
  };
  out.frame(carried.from, &frame, packet);
}
