//! How new flows wait in a balancer until a target can take them.

use {
  super::{
    choosing::Choice,
    machine::Machine,
    parking::{Lane, Parked},
    place::{Opening, Place, State, Tried},
  },
  crate::{
    Code,
    datagram::{Codec, Flow, Frame, Load, Outbox, Service},
  },
  std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// What a target's answer to an opening packet takes to reach the caller at most, where neither is
/// busy.
const ANSWER: Duration = Duration::from_millis(20);

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
    if (self.parking.len(service) as f64) < self.room(now, service) {
      log::info!(
        flow:% = flow, service:% = service, wait_ms:? = choice.map(|choice| choice.wait_ms),
        before = self.parking.len(service);
        "balancer: flow waits for a target."
      );
      let lane = self.lane(&flow, service);
      self.parking.park(now, &lane, (opening.first, flow));
      let place = Place {
        agent: self.spread.address(),
        seen: now,
        service: service.digest(),
        state: State::Parked(lane, opening),
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

  /// How many flows of a service may wait: as many as its targets answer while their callers wait.
  /// One more would wait in vain and is told at once. Callers do not come to all balancers alike, so
  /// each may fill the room alone: with an equal share for each, 123 of 155 failed requests were of
  /// callers of a data centre with one balancer of five.
  fn room(&self, now: Instant, service: &Service) -> f64 {
    self.targets.rate(now, service) * C::PATIENCE.as_secs_f64()
  }

  /// Forgets a flow that no target was given, as far as this process knows, and tells its caller;
  /// but not where a copy that did not come here may have had it opened by another balancer.
  pub(super) fn give_up(&mut self, now: Instant, flow: &Flow, opening: &Opening, out: &mut Outbox) {
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

  /// Sends parked flows to targets that can take them, those of the highest priority first.
  pub(super) fn release(&mut self, now: Instant, out: &mut Outbox) {
    for lane in self.parking.due(now) {
      self.expire_parked(now, &lane, out);
      while let Some((parked, choice)) = self.next_parked(now, &lane) {
        let _ = self.send_parked(now, &lane, parked, choice, out);
      }
      self.announce(now, &lane.service, out);
    }
  }

  /// The next flow of a lane for a target that is not busy, as far as known here, and the target.
  fn next_parked(&self, now: Instant, lane: &Lane) -> Option<(Parked, Choice)> {
    let (_, newest) = self.parking.newest(lane)?;
    let choice = self.choose(now, &newest, &lane.service, &Tried::new())?;
    let parked = self.most_urgent(now, lane, &choice)?;
    let (first, flow) = parked;
    let waited_ms = now.saturating_duration_since(first).as_secs_f64() * 1000.0;
    let fits =
      choice.is_free || !self.is_too_long(&flow, &lane.service, choice.wait_ms + waited_ms);
    fits.then_some((parked, choice))
  }

  /// The flow of a lane that gains the most by going to a target: the newest, if it is answered in
  /// time there. If not, all are late, and the first goes first whose caller is still there for
  /// certain: a third of the flows placed from the oldest on were of callers who had gone, and kept
  /// their places until it showed.
  fn most_urgent(&self, now: Instant, lane: &Lane, choice: &Choice) -> Option<Parked> {
    let newest = self.parking.newest(lane)?;
    if self.is_in_time(now, newest, choice) {
      return Some(newest);
    }
    let heard = now.checked_sub(C::heard()).unwrap_or(now);
    self.parking.oldest_since(lane, heard).or(Some(newest))
  }

  /// Whether a flow is answered within its route's objective at a target, counted from the first
  /// copy of its opening packet.
  fn is_in_time(&self, now: Instant, (first, flow): Parked, choice: &Choice) -> bool {
    let Some(route) = self.spread.catalog().route(&flow.route) else {
      return false;
    };
    let wait = Duration::from_secs_f64(choice.wait_ms / 1000.0);
    now.saturating_duration_since(first) + wait <= route.objective
  }

  /// Sends a flow that waited to a target; false where its route no longer leads to the service: it is
  /// placed as a new one, if the route is still there.
  fn send_parked(
    &mut self,
    now: Instant,
    lane: &Lane,
    parked: Parked,
    choice: Choice,
    out: &mut Outbox,
  ) -> bool {
    let (_, flow) = parked;
    self.parking.take(lane, parked);
    let Some(opening) = self.parked(&flow).cloned() else {
      return false;
    };
    let Some(route) = self.spread.catalog().route(&flow.route) else {
      self.give_up(now, &flow, &opening, out);
      return false;
    };
    if !route.backends.takes(&lane.service) {
      if let Err(code) = self.place(now, flow, opening, out) {
        self.counter.count(code);
      }
      return false;
    }
    let waited = now.saturating_duration_since(opening.began);
    self.counter.observe("wait", waited);
    self.send_to(now, flow, &lane.service, opening, choice, out);
    true
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
    let choice = Choice {
      is_granted: true,
      ..choice
    };
    for lane in self.parking.lanes(service) {
      self.expire_parked(now, &lane, out);
      while let Some(parked) = self.most_urgent(now, &lane, &choice) {
        if self.send_parked(now, &lane, parked, choice, out) {
          return true;
        }
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

  /// The opening packet of a flow that waits.
  fn parked(&self, flow: &Flow) -> Option<&Opening> {
    match &self.flows.get(flow)?.state {
      State::Parked(_, opening) => Some(opening),
      _ => None,
    }
  }

  /// A flow no longer waits: a target has it that was asked before.
  pub(super) fn unpark(&mut self, flow: &Flow) {
    if let Some(Place {
      state: State::Parked(lane, opening),
      ..
    }) = self.flows.get(flow)
    {
      self.parking.take(lane, (opening.first, *flow));
    }
  }

  /// Gives up flows whose callers do so themselves before a target's answer could reach them, and all
  /// where no target may be given any.
  fn expire_parked(&mut self, now: Instant, lane: &Lane, out: &mut Outbox) {
    let life = if self.targets.is_shut(now, &lane.service) {
      Duration::ZERO
    } else {
      C::PATIENCE.saturating_sub(ANSWER)
    };
    while let Some(parked) = self.parking.oldest(lane) {
      let (first, flow) = parked;
      if now < first + life {
        return;
      }
      self.parking.take(lane, parked);
      let Some(opening) = self.parked(&flow).cloned() else {
        continue;
      };
      self.counter.count(Code::QueueFull);
      self.give_up(now, &flow, &opening, out);
    }
  }
}
