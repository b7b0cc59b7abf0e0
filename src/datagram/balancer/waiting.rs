//! How new flows wait in a balancer until a target can take them.

use {
  super::{
    machine::Machine,
    parking::Lane,
    place::{Opening, Place, State, Tried},
    targets::Choice,
  },
  crate::{
    Code,
    datagram::{Codec, Flow, Frame, Load, Outbox, Service},
  },
  std::{net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// Keeps an opening packet until a target can take it, if there is hope for it; its caller is
  /// told at once if there is none.
  pub(super) fn park(
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
      self.announce(now, service, out);
    }
  }

  /// An agent keeps a place for one of the flows that wait for its target.
  pub(super) fn granted(&mut self, now: Instant, from: SocketAddrV4, load: Load, out: &mut Outbox) {
    self.targets.loaded(now, from, load);
    let Some(service) = self.targets.service(from).cloned() else {
      return;
    };
    if self.targets.serves(now, from) && self.use_grant(now, from, &service, out) {
      return;
    }
    let frame = Frame::Backlog {
      flows: 0,
      service: service.digest(),
    };
    out.frame(from, &frame, &[]);
  }

  /// Sends a flow that waits to the target that has a place for it; false where none waits.
  fn use_grant(
    &mut self,
    now: Instant,
    agent: SocketAddrV4,
    service: &Service,
    out: &mut Outbox,
  ) -> bool {
    let Some(choice) = self.targets.choice(agent) else {
      return false;
    };
    for lane in self.parking.lanes(service) {
      self.expire_parked(now, &lane, out);
      while let Some((since, flow)) = self.parking.pop_newest(&lane) {
        let Some(opening) = self.parked(since, &flow) else {
          continue;
        };
        let opening = opening.clone();
        if self.spread.catalog().service(&flow.route) != Some(service) {
          self.give_up(now, &flow, &opening, out);
          continue;
        }
        self.send_to(now, flow, service, opening, choice, out);
        return true;
      }
    }
    false
  }

  /// Tells agents how many flows wait for their targets, so that they grant places.
  fn announce(&mut self, now: Instant, service: &Service, out: &mut Outbox) {
    let flows = self.parking.len(service);
    if flows == 0 {
      self.announced.forget(service);
      return;
    }
    if !self.announced.is_due(now, service, flows) {
      return;
    }
    let frame = Frame::Backlog {
      flows: flows.min(usize::from(u16::MAX)) as u16,
      service: service.digest(),
    };
    for agent in self.targets.serving(now, service) {
      out.frame(agent, &frame, &[]);
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
}
