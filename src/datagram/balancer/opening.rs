//! Opens flows: sends opening packets to targets and handles their answers.

use {
  super::{
    choosing::Choice,
    machine::{Machine, TARGETS_MAX},
    place::{Opening, Place, State, Tried},
    queue::FlowClass,
    reason::Reason,
  },
  crate::{
    Code,
    datagram::{
      Codec, Flow, Head, Outbox, Service, Weight,
      frame::{Handling, Refusal},
    },
  },
  std::{net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// Handles an opening packet: places a new flow, or sends a retransmission to the target that was
  /// sent the packet before. If that target has timed out or the address was routed to another
  /// service, the flow is placed again, as is one that was rejected. If the flow is queued, it stays
  /// in the queue.
  pub(super) fn open(
    &mut self,
    now: Instant,
    head: &Head,
    packet: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let mut opening = Opening::new::<C>(now, head, packet);
    let is_stale = now < self.stale_until;
    opening.may_be_open_elsewhere |= is_stale;
    self.end_search(&head.flow);
    let route = self.gossip.catalog().route(&head.flow.route);
    let is_routed_to = |service| route.is_some_and(|route| route.backends.takes_digest(service));
    if let Some(place) = self.flows.get_mut(&head.flow) {
      let (agent, service) = (place.agent, place.service);
      match &mut place.state {
        State::Dead => {}
        State::Open | State::Opening(_) if !is_routed_to(service) => {
          // The address was routed to another service meanwhile.
          opening.may_be_open_elsewhere = true;
        }
        State::Open => {
          // The target's answer to the caller was lost or is still on its way.
          place.last_packet = now;
          self.carry(agent, Handling::Open, service, packet, out);
          return Ok(());
        }
        State::Opening(before) if now < before.deadline => {
          // The target may still answer, or its answer to the caller was lost.
          before.record_retransmission(&opening, is_stale);
          before.record_unanswered(agent);
          let handling = before.handling;
          self.carry(agent, handling, service, packet, out);
          return Ok(());
        }
        State::Opening(before) | State::Rejected(before) => {
          before.record_retransmission(&opening, is_stale);
          opening = before.clone();
        }
        State::Queued(_, before) => {
          before.record_retransmission(&opening, is_stale);
          return Ok(());
        }
      }
    }
    if self.flows.len() >= self.tuning.flows_max {
      return Err(Code::QueueFull);
    }
    self.place(now, head.flow, opening, out)
  }

  /// The service of a new flow: drawn by the weights of its address, among the services that have a
  /// target which accepts new flows. A service whose targets are merely busy keeps its share.
  pub(super) fn destination(&self, now: Instant, flow: &Flow) -> Option<Service> {
    let route = self.gossip.catalog().route(&flow.route)?;
    let ranked = route.backends.ranked(flow);
    let first = *ranked.first()?;
    if ranked.len() == 1 {
      return Some(first.service.clone());
    }
    let mut ranked = ranked.into_iter();
    let accepting = ranked.find(|backend| self.targets.accepts(now, &backend.service));
    Some(accepting.unwrap_or(first).service.clone())
  }

  /// Sends an opening packet to a target of the service that its flow belongs to.
  pub(super) fn place(
    &mut self,
    now: Instant,
    flow: Flow,
    opening: Opening,
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let Some(service) = self.destination(now, &flow) else {
      log::info!(flow:% = flow; "balancer: no service of the route accepts new flows.");
      self.give_up(now, &flow, &opening, Reason::Unroutable, out);
      return Err(Code::PacketUnroutable);
    };
    self.place_at(now, flow, &service, opening, out)
  }

  /// Sends an opening packet to the best target of a service that it was not sent to yet, or queues
  /// it. If it was sent to all targets already, starts again with all.
  fn place_at(
    &mut self,
    now: Instant,
    flow: Flow,
    service: &Service,
    mut opening: Opening,
    out: &mut Outbox,
  ) -> Result<(), Code> {
    self.targets.refresh(now, service);
    let mut choice = self.choose(now, &flow, service, &opening.tried);
    if choice.is_none() && !opening.tried.is_empty() {
      opening.tried.clear();
      choice = self.choose(now, &flow, service, &opening.tried);
    }
    let Some(choice) = choice else {
      log::info!(
        flow:% = flow, service:% = service;
        "balancer: no target of the service accepts new flows."
      );
      return self.queue_or_reject(now, flow, service, opening, None, out);
    };
    // While flows are queued, known loads are out of date, and targets would refuse a new flow (up to
    // 110 of 225 in 0.2 s): it joins the queue.
    if self.queue.has_flows(service)
      || self.must_compete(now, service)
      || self.is_too_long(&flow, service, choice.wait_ms)
    {
      return self.enqueue(now, flow, service, opening, Some(choice), out);
    }
    self.send_to(now, flow, service, opening, choice, out);
    Ok(())
  }

  pub(super) fn send_to(
    &mut self,
    now: Instant,
    flow: Flow,
    service: &Service,
    mut opening: Opening,
    choice: Choice,
    out: &mut Outbox,
  ) {
    let Choice {
      agent,
      is_granted,
      wait_ms,
      ..
    } = choice;
    log::info!(
      flow:% = flow, service:% = service, to:% = agent, tried = opening.tried.len(),
      age:? = now.saturating_duration_since(opening.first), granted = is_granted,
      wait_ms = wait_ms, version:% = self.gossip.catalog().version(),
      weight:% = self.weight(&flow, service);
      "balancer: flow is placed."
    );
    self.record_placement(now, (opening.first, flow), service, &choice);
    opening.tried.push(agent);
    opening.sent = now;
    opening.deadline = now + self.open_timeout.wait();
    self.targets.count_opening(agent, &flow);
    self.opening_deadlines.insert((opening.deadline, flow));
    opening.handling = self.opening_handling(now, service, is_granted);
    let handling = opening.handling;
    let service = service.digest();
    self.carry(agent, handling, service, &opening.packet, out);
    let place = Place {
      agent,
      last_packet: now,
      service,
      state: State::Opening(opening),
    };
    self.flows.insert(flow, place);
  }

  /// The weight of a service among those of an address, for the log.
  fn weight(&self, flow: &Flow, service: &Service) -> Weight {
    let route = self.gossip.catalog().route(&flow.route);
    let weight = route.map(|route| route.backends.weight(service));
    weight.unwrap_or_default()
  }

  /// Whether a new flow would wait so long for its answer that it is queued instead of being sent to
  /// the target.
  pub(super) fn is_too_long(&self, flow: &Flow, service: &Service, wait_ms: f64) -> bool {
    wait_ms > self.limit_ms(flow, service)
  }

  /// The longest that a new flow may wait for its answer, in milliseconds; longer if the service
  /// also has routes of a lower priority, so that flows of those are queued first.
  fn limit_ms(&self, flow: &Flow, service: &Service) -> f64 {
    let Some(route) = self.gossip.catalog().route(&flow.route) else {
      return f64::MAX;
    };
    let lowest_priority = self.lowest_priorities.get(service);
    let factor = if lowest_priority.is_some_and(|lowest| route.priority < *lowest) {
      self.tuning.wait_part_first
    } else {
      self.tuning.wait_part
    };
    route.objective.as_secs_f64() * 1000.0 * factor
  }

  /// The class that a flow of this service is queued in.
  pub(super) fn class(&self, flow: &Flow, service: &Service) -> FlowClass {
    let route = self.gossip.catalog().route(&flow.route);
    FlowClass {
      priority: route.map_or(u8::MAX, |route| route.priority),
      service: service.clone(),
    }
  }

  pub(super) fn choose(
    &self,
    now: Instant,
    flow: &Flow,
    service: &Service,
    tried: &Tried,
  ) -> Option<Choice> {
    let limit_ms = self.limit_ms(flow, service);
    self.targets.choose(now, flow, service, tried, limit_ms)
  }

  /// Sends an opening packet to the next target. If `refused` is set, the last one has refused it,
  /// and so certainly did not open the flow; the packet is then queued if no target is left.
  pub(super) fn place_next(&mut self, now: Instant, flow: Flow, refused: bool, out: &mut Outbox) {
    let Some(Place {
      agent,
      state: State::Opening(opening),
      ..
    }) = self.flows.get_mut(&flow)
    else {
      return;
    };
    if !refused {
      opening.record_unanswered(*agent);
    }
    let opening = opening.clone();
    let Some(service) = self.destination(now, &flow) else {
      if refused {
        self.give_up(now, &flow, &opening, Reason::RouteRemoved, out);
      }
      return;
    };
    self.retract_placement(&flow);
    let next = self.choose(now, &flow, &service, &opening.tried);
    if opening.tried.len() >= TARGETS_MAX || next.is_none() {
      // If targets do not answer, the caller's next retransmission is placed anew.
      if refused && let Err(code) = self.queue_or_reject(now, flow, &service, opening, next, out) {
        self.counter.count(code);
      }
      return;
    }
    if let Err(code) = self.place_at(now, flow, &service, opening, out) {
      self.counter.count(code);
    }
  }

  /// Marks a flow as open at the agent that has accepted its opening packet.
  pub(super) fn complete_opening(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flow: Flow,
    load: crate::datagram::Load,
  ) {
    self.targets.record_load(now, from, load);
    self.targets.clear_failure(from);
    self.dequeue(&flow);
    let service = self.targets.service(from).map(Service::digest);
    let Some(place) = self.flows.get_mut(&flow) else {
      return;
    };
    if let State::Queued(..) | State::Rejected(_) = place.state {
      // The target was sent the packet before the flow was queued or rejected.
      place.agent = from;
      place.service = service.unwrap_or(place.service);
      place.state = State::Open;
    }
    if let State::Opening(opening) = &place.state {
      let sent = if place.agent == from {
        opening.sent
      } else {
        opening.received
      };
      let time = now.saturating_duration_since(sent);
      self.counter.observe("open", time);
      self.open_timeout.observe(time);
      self.opening_deadlines.remove(&(opening.deadline, flow));
      place.service = if place.agent == from {
        place.service
      } else {
        service.unwrap_or(place.service)
      };
      place.agent = from;
      place.state = State::Open;
    }
  }

  /// Records why an agent refused an opening packet, and sends the packet to the next target.
  pub(super) fn retry_refused(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flow: Flow,
    refusal: Refusal,
    load: crate::datagram::Load,
    out: &mut Outbox,
  ) {
    log::info!(
      flow:% = flow, from:% = from, refusal:? = refusal, work = load.work,
      service_ms = load.service_ms;
      "balancer: flow was refused by the agent."
    );
    self.targets.record_load(now, from, load);
    self.record_answer(from);
    self.targets.record_refusal(now, from, refusal);
    if refusal == Refusal::Leaving {
      // An agent that is leaving does not refuse a flow that it has opened.
      self.record_denial(&flow, from);
    }
    let place = self.flows.get(&flow);
    if place.is_some_and(|place| place.agent == from && matches!(place.state, State::Opening(_))) {
      self.place_next(now, flow, true, out);
    }
  }

  /// Records that an agent has not opened a flow, whatever it was sent.
  fn record_denial(&mut self, flow: &Flow, agent: SocketAddrV4) {
    let place = self.flows.get_mut(flow);
    if let Some(opening) = place.and_then(|place| place.state.opening_mut()) {
      opening.record_denial(agent);
    }
  }

  /// Sends an opening packet to the next target, unless it was answered or sent to another target
  /// meanwhile.
  pub(super) fn time_out_opening(
    &mut self,
    now: Instant,
    deadline: Instant,
    flow: Flow,
    out: &mut Outbox,
  ) {
    let Some(place) = self.flows.get(&flow) else {
      return;
    };
    let State::Opening(opening) = &place.state else {
      return;
    };
    if opening.deadline != deadline {
      return;
    }
    let agent = place.agent;
    log::info!(
      flow:% = flow, agent:% = agent, age_ms:? = self.targets.age_ms(now, agent);
      "balancer: opening packet timed out."
    );
    self.targets.record_failure(now, agent);
    self.place_next(now, flow, false, out);
  }
}
