//! How a balancer opens flows.

use {
  super::{
    machine::{Machine, TRIES_MAX},
    parking::Lane,
    place::{Opening, Place, State, Tried},
    targets::Choice,
  },
  crate::{
    Code,
    datagram::{
      Codec, Flow, Head, Outbox, Service,
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
    service: &Service,
    packet: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let mut opening = Opening::new(now, head, packet);
    opening.may_be_open |= now < self.unsure_until;
    self.end_search(&head.flow);
    if let Some(place) = self.flows.get_mut(&head.flow) {
      let agent = place.agent;
      match &mut place.state {
        State::Dead => {}
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
    self.place(now, head.flow, service, opening, out)
  }

  /// Sends an opening packet to the best target that was not tried, else to the best.
  pub(super) fn place(
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
      return Err(Code::PacketUnroutable);
    };
    let first = self.parking.goes_before(&self.lane(&flow, service));
    if first || self.is_too_long(&flow, choice.wait_ms) {
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
    let Choice { agent, wait_ms, .. } = choice;
    log::info!(
      flow:% = flow, service:% = service, to:% = agent, before = opening.tried.len(),
      wait_ms = wait_ms, version:% = self.spread.catalog().version();
      "balancer: flow is placed."
    );
    opening.tried.push(agent);
    opening.sent = now;
    opening.deadline = now + self.patience.wait();
    self.targets.placed(agent);
    self.openings.insert((opening.deadline, flow));
    self.carry(agent, Purpose::Open, service, &opening.packet, out);
    let place = Place {
      agent,
      seen: now,
      state: State::Opening(opening),
    };
    self.flows.insert(flow, place);
  }

  /// Whether a new flow would wait so long that it is better told at once: what waits in vain
  /// makes all others wait.
  pub(super) fn is_too_long(&self, flow: &Flow, wait_ms: f64) -> bool {
    wait_ms > self.limit_ms(flow)
  }

  /// How long a new flow may wait for its answer, in milliseconds; longer where others of its
  /// service matter less, so that it is not they who make it wait in vain.
  fn limit_ms(&self, flow: &Flow) -> f64 {
    let Some(route) = self.spread.catalog().route(&flow.route) else {
      return f64::MAX;
    };
    let lowest = self.lowest.get(&route.service);
    let part = if lowest.is_some_and(|lowest| route.priority < *lowest) {
      self.tuning.wait_part_first
    } else {
      self.tuning.wait_part
    };
    route.objective.as_secs_f64() * 1000.0 * part
  }

  /// Where a flow waits.
  fn lane(&self, flow: &Flow, service: &Service) -> Lane {
    let route = self.spread.catalog().route(&flow.route);
    Lane {
      priority: route.map_or(u8::MAX, |route| route.priority),
      service: service.clone(),
    }
  }

  fn choose(&self, now: Instant, flow: &Flow, service: &Service, tried: &Tried) -> Option<Choice> {
    let limit_ms = self.limit_ms(flow);
    self.targets.choose(now, service, tried, limit_ms)
  }

  /// Keeps an opening packet until a target can take it, if there is hope for it; its caller is
  /// told at once if there is none.
  fn park(
    &mut self,
    now: Instant,
    flow: Flow,
    service: &Service,
    opening: Opening,
    choice: Option<Choice>,
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let balancers = self.spread.balancers(now).len() + 1;
    let rate = self.targets.rate(service) / balancers as f64;
    let room = rate * self.tuning.park_room.as_secs_f64();
    if (self.parking.len(service) as f64) < room {
      log::info!(
        flow:% = flow, service:% = service, wait_ms:? = choice.map(|choice| choice.wait_ms),
        before = self.parking.len(service);
        "balancer: flow waits for a target."
      );
      self.parking.push(now, &self.lane(&flow, service), flow);
      let place = Place {
        agent: self.spread.address(),
        seen: now,
        state: State::Parked(now, opening),
      };
      self.flows.insert(flow, place);
      return Ok(());
    }
    log::info!(
      flow:% = flow, service:% = service, at:? = choice.map(|choice| choice.agent),
      wait_ms:? = choice.map(|choice| choice.wait_ms),
      age_ms:? = choice.and_then(|choice| self.targets.age_ms(now, choice.agent)),
      version:% = self.spread.catalog().version(), parked = self.parking.len(service);
      "balancer: wait is too long."
    );
    self.give_up(now, &flow, &opening, out);
    Err(Code::QueueFull)
  }

  /// Forgets a flow that no target was given, as far as this process knows, and tells its caller;
  /// but not where a copy that did not come here may have had it opened by another balancer.
  fn give_up(&mut self, now: Instant, flow: &Flow, opening: &Opening, out: &mut Outbox) {
    let age = now.saturating_duration_since(opening.began);
    // Half a gap for the time that packets take.
    let missed = opening.copy + 1 < C::COPIES && age >= C::GAP / 2;
    let told = !opening.may_be_open && !missed;
    log::info!(
      flow:% = flow, age:? = age, copy = opening.copy, told = told; "balancer: flow is given up."
    );
    self.flows.remove(flow);
    if told {
      self.reset(flow, 0, out);
    }
  }

  /// Sends parked flows to targets that can take them: those of the highest priority first, and of
  /// one priority the newest, which may still be answered in time; whoever is late is so anyway.
  pub(super) fn release(&mut self, now: Instant, out: &mut Outbox) {
    for lane in self.parking.due(now) {
      self.expire_parked(now, &lane, out);
      let service = &lane.service;
      while let Some((since, flow)) = self.parking.pop_newest(&lane) {
        let Some(opening) = self.parked(since, &flow) else {
          continue;
        };
        let opening = opening.clone();
        let choice = self.choose(now, &flow, service, &Tried::new());
        let choice = choice.filter(|choice| self.fits(now, since, &flow, choice));
        let Some(choice) = choice else {
          self.parking.put_back(&lane, (since, flow));
          break;
        };
        if self.spread.catalog().service(&flow.route) != Some(service) {
          self.give_up(now, &flow, &opening, out);
          continue;
        }
        self.send_to(now, flow, service, opening, choice, out);
      }
    }
  }

  /// The opening packet of a flow that has been parked since then.
  fn parked(&self, since: Instant, flow: &Flow) -> Option<&Opening> {
    match &self.flows.get(flow)?.state {
      State::Parked(at, opening) if *at == since => Some(opening),
      _ => None,
    }
  }

  /// Whether a parked flow may go to a target: it is answered in time there, or keeps nobody
  /// waiting who may be.
  fn fits(&self, now: Instant, since: Instant, flow: &Flow, choice: &Choice) -> bool {
    let age_ms = now.saturating_duration_since(since).as_secs_f64() * 1000.0;
    choice.is_free || !self.is_too_long(flow, choice.wait_ms + age_ms)
  }

  fn expire_parked(&mut self, now: Instant, lane: &Lane, out: &mut Outbox) {
    let Some(limit) = now.checked_sub(self.tuning.park) else {
      return;
    };
    while let Some((since, flow)) = self.parking.pop_oldest(lane, limit) {
      let Some(opening) = self.parked(since, &flow) else {
        continue;
      };
      let opening = opening.clone();
      self.counter.count(Code::QueueFull);
      self.give_up(now, &flow, &opening, out);
    }
  }

  /// An opening packet goes on to the next target.
  pub(super) fn place_next(&mut self, now: Instant, flow: Flow, answered: bool, out: &mut Outbox) {
    let service = self.spread.catalog().service(&flow.route).cloned();
    let Some(Place {
      state: State::Opening(opening),
      ..
    }) = self.flows.get(&flow)
    else {
      return;
    };
    let Some(service) = service else {
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
    if let Err(code) = self.place(now, flow, &service, opening, out) {
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
    let Some(place) = self.flows.get_mut(&flow) else {
      return;
    };
    if let State::Parked(..) = place.state {
      // One that was asked before it was parked.
      place.agent = from;
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
    if !matches!(refusal, Refusal::Busy | Refusal::Leaving) {
      self.targets.unanswered(now, from);
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
