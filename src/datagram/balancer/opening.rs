//! How a balancer opens flows.

use {
  super::{
    choosing::Choice,
    machine::{Machine, TRIES_MAX},
    parking::Lane,
    place::{Opening, Place, State, Tried},
  },
  crate::{
    Code,
    datagram::{
      Codec, Flow, Head, Outbox, Service, Weight,
      frame::{Purpose, Refusal},
    },
  },
  std::{net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// An opening packet came.
  pub(super) fn open(
    &mut self,
    now: Instant,
    head: &Head,
    packet: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let mut opening = Opening::new::<C>(now, head, packet);
    opening.may_be_open |= now < self.unsure_until;
    self.end_search(&head.flow);
    let route = self.spread.catalog().route(&head.flow.route);
    let takes = |service| route.is_some_and(|route| route.backends.takes_digest(service));
    if let Some(place) = self.flows.get_mut(&head.flow) {
      let (agent, service) = (place.agent, place.service);
      match &mut place.state {
        State::Dead => {}
        State::Open | State::Opening(_) if !takes(service) => {
          // A configuration has led the address elsewhere since.
          opening.may_be_open = true;
        }
        State::Open => {
          // The answer of its target was lost on the way, or is.
          place.seen = now;
          self.carry(agent, Purpose::Open, service, packet, out);
          return Ok(());
        }
        State::Opening(before) if now < before.deadline => {
          // Whoever was asked may still answer; its answer to the caller may have been lost.
          before.may_be_open = true;
          self.carry(agent, Purpose::Open, service, packet, out);
          return Ok(());
        }
        State::Opening(before) => opening.tried = std::mem::take(&mut before.tried),
        State::Parked(_, before) => {
          before.take_copy(head.acknowledges, opening.packet);
          return Ok(());
        }
      }
    }
    if self.flows.len() >= self.tuning.flows_max {
      return Err(Code::QueueFull);
    }
    self.place(now, head.flow, opening, out)
  }

  /// The service that a new flow belongs to: by the weights of its address, of those that have a target
  /// which may take it, so that no caller is turned away while others of the set serve. One whose
  /// targets are only busy keeps its share.
  fn destination(&self, now: Instant, flow: &Flow) -> Option<Service> {
    let route = self.spread.catalog().route(&flow.route)?;
    let ranked = route.backends.ranked(flow);
    let first = *ranked.first()?;
    if ranked.len() == 1 {
      return Some(first.service.clone());
    }
    let mut ranked = ranked.into_iter();
    let taking = ranked.find(|backend| self.targets.takes(now, &backend.service));
    Some(taking.unwrap_or(first).service.clone())
  }

  /// Sends an opening packet to its service.
  pub(super) fn place(
    &mut self,
    now: Instant,
    flow: Flow,
    opening: Opening,
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let Some(service) = self.destination(now, &flow) else {
      log::info!(flow:% = flow; "balancer: no service takes new flows of the route.");
      self.give_up(now, &flow, &opening, out);
      return Err(Code::PacketUnroutable);
    };
    self.place_at(now, flow, &service, opening, out)
  }

  /// Sends an opening packet to the best target of a service that was not tried, else to the best.
  fn place_at(
    &mut self,
    now: Instant,
    flow: Flow,
    service: &Service,
    mut opening: Opening,
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let mut choice = self.choose(now, &flow, service, &opening.tried);
    if choice.is_none() && !opening.tried.is_empty() {
      opening.tried.clear();
      choice = self.choose(now, &flow, service, &opening.tried);
    }
    let Some(choice) = choice else {
      log::info!(flow:% = flow, service:% = service; "balancer: flow has no target.");
      if self.targets.is_shut(now, service) {
        self.give_up(now, &flow, &opening, out);
      }
      return Err(Code::PacketUnroutable);
    };
    // Where some wait, the loads known here are too old: up to 110 of 225 flows in 0.2 s were turned
    // away by targets (by the logs). A new one goes first with the next place that is granted.
    if self.parking.waits(service) || self.is_too_long(&flow, service, choice.wait_ms) {
      return self.park(now, flow, service, opening, Some(choice), out);
    }
    self.send_to(now, flow, service, opening, choice, out);
    Ok(())
  }

  /// Sends an opening packet to a target.
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
      flow:% = flow, service:% = service, to:% = agent, before = opening.tried.len(),
      age:? = now.saturating_duration_since(opening.first), granted = is_granted,
      wait_ms = wait_ms, version:% = self.spread.catalog().version(),
      weight:% = self.weight(&flow, service);
      "balancer: flow is placed."
    );
    opening.tried.push(agent);
    opening.sent = now;
    opening.deadline = now + self.patience.wait();
    self.targets.placed(agent);
    self.openings.insert((opening.deadline, flow));
    let service = service.digest();
    self.carry(agent, Purpose::Open, service, &opening.packet, out);
    let place = Place {
      agent,
      seen: now,
      service,
      state: State::Opening(opening),
    };
    self.flows.insert(flow, place);
  }

  /// What a service takes of the new flows to an address, for the log.
  fn weight(&self, flow: &Flow, service: &Service) -> Weight {
    let route = self.spread.catalog().route(&flow.route);
    let weight = route.map(|route| route.backends.weight(service));
    weight.unwrap_or_default()
  }

  /// Whether a new flow would wait so long that it is better told at once: what waits in vain
  /// makes all others wait.
  pub(super) fn is_too_long(&self, flow: &Flow, service: &Service, wait_ms: f64) -> bool {
    wait_ms > self.limit_ms(flow, service)
  }

  /// How long a new flow may wait for its answer, in milliseconds; longer where others of its
  /// service matter less, so that it is not they who make it wait in vain.
  fn limit_ms(&self, flow: &Flow, service: &Service) -> f64 {
    let Some(route) = self.spread.catalog().route(&flow.route) else {
      return f64::MAX;
    };
    let lowest = self.lowest.get(service);
    let part = if lowest.is_some_and(|lowest| route.priority < *lowest) {
      self.tuning.wait_part_first
    } else {
      self.tuning.wait_part
    };
    route.objective.as_secs_f64() * 1000.0 * part
  }

  /// Where a flow waits.
  pub(super) fn lane(&self, flow: &Flow, service: &Service) -> Lane {
    let route = self.spread.catalog().route(&flow.route);
    Lane {
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

  /// An opening packet goes on to the next target.
  pub(super) fn place_next(&mut self, now: Instant, flow: Flow, answered: bool, out: &mut Outbox) {
    let Some(Place {
      state: State::Opening(opening),
      ..
    }) = self.flows.get(&flow)
    else {
      return;
    };
    let Some(service) = self.destination(now, &flow) else {
      return;
    };
    let mut opening = opening.clone();
    opening.may_be_open |= !answered;
    let next = self.choose(now, &flow, &service, &opening.tried);
    if opening.tried.len() >= TRIES_MAX || next.is_none() {
      // Where targets are silent, the next copy of its caller tries again.
      if answered && let Err(code) = self.park(now, flow, &service, opening, next, out) {
        self.counter.count(code);
      }
      return;
    }
    if let Err(code) = self.place_at(now, flow, &service, opening, out) {
      self.counter.count(code);
    }
  }

  pub(super) fn opened(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flow: Flow,
    load: crate::datagram::Load,
  ) {
    self.targets.loaded(now, from, load);
    self.targets.opened(from);
    self.unpark(&flow);
    let service = self.targets.service(from).map(Service::digest);
    let Some(place) = self.flows.get_mut(&flow) else {
      return;
    };
    if let State::Parked(..) = place.state {
      // One that was asked before it was parked.
      place.agent = from;
      place.service = service.unwrap_or(place.service);
      place.state = State::Open;
    }
    if let State::Opening(opening) = &place.state {
      let asked = if place.agent == from {
        opening.sent
      } else {
        opening.began
      };
      let time = now.saturating_duration_since(asked);
      self.counter.observe("open", time);
      self.patience.observe(time);
      self.openings.remove(&(opening.deadline, flow));
      place.service = if place.agent == from {
        place.service
      } else {
        service.unwrap_or(place.service)
      };
      place.agent = from;
      place.state = State::Open;
    }
  }

  pub(super) fn refused(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flow: Flow,
    refusal: Refusal,
    load: crate::datagram::Load,
    out: &mut Outbox,
  ) {
    log::info!(
      flow:% = flow, from:% = from, why:? = refusal, work = load.work, service_ms = load.service_ms;
      "balancer: flow is refused."
    );
    self.targets.loaded(now, from, load);
    match refusal {
      Refusal::Busy | Refusal::Cold | Refusal::Leaving => {}
      Refusal::Closed => self.targets.closed(now, from),
      Refusal::Down | Refusal::Full | Refusal::Service => self.targets.unanswered(now, from),
    }
    let here = self.flows.get(&flow);
    if here.is_some_and(|place| place.agent == from && matches!(place.state, State::Opening(_))) {
      self.place_next(now, flow, true, out);
    }
  }

  pub(super) fn unanswered(
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
      "balancer: opening packet is unanswered."
    );
    self.targets.unanswered(now, agent);
    self.place_next(now, flow, false, out);
  }
}
