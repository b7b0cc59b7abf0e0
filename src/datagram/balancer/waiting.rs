//! Queues new flows until a target can take them.

use {
  super::{
    choosing::Choice,
    ending::NO_SERVICE,
    machine::Machine,
    outcome::{self, Outcome},
    place::{Opening, Place, State, Tried},
    queue::{FlowClass, Queued},
    reason::Reason,
    verdict::Verdict,
    waitlist::Newcomer,
  },
  crate::{
    Code,
    datagram::{Codec, Flow, Outbox, Service},
  },
  std::time::{Duration, Instant},
};

/// The longest time that a target's answer takes to reach the caller if neither is busy.
const ANSWER_LATENCY_MAX: Duration = Duration::from_millis(20);

impl<C: Codec> Machine<C> {
  /// Queues an opening packet, or gives it up if the queue is full. A flow whose place it takes is
  /// given up too.
  pub(super) fn enqueue(
    &mut self,
    now: Instant,
    flow: Flow,
    service: &Service,
    opening: Opening,
    choice: Option<Choice>,
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let class = self.class(&flow, service);
    Outcome::Arrived.count(&self.counter, &class);
    match self.admit(now, &class, (opening.first, flow)) {
      Verdict::Rejected(reason) => {
        log::info!(
          flow:% = flow, service:% = service, at:? = choice.map(|choice| choice.agent),
          wait_ms:? = choice.map(|choice| choice.wait_ms),
          age_ms:? = choice.and_then(|choice| self.targets.age_ms(now, choice.agent)),
          version:% = self.gossip.catalog().version(), queued = self.queue.len(service);
          "balancer: admission queue is full."
        );
        Outcome::Rejected.count(&self.counter, &class);
        self.give_up(now, &flow, &opening, reason, out);
        return Err(Code::QueueFull);
      }
      Verdict::Displaces(other, displaced) => {
        self.queue.remove(&other, displaced);
        self.reject_queued(now, &other, displaced, Reason::Displaced, out);
      }
      Verdict::Waits => {}
    }
    log::info!(
      flow:% = flow, service:% = service, wait_ms:? = choice.map(|choice| choice.wait_ms),
      ahead = self.queue.len(service);
      "balancer: flow is queued until a target can take it."
    );
    self.queue.enqueue(now, &class, (opening.first, flow));
    let place = Place {
      agent: self.gossip.address(),
      last_packet: now,
      service: service.digest(),
      state: State::Queued(class, opening),
    };
    self.flows.insert(flow, place);
    Ok(())
  }

  /// Queues an opening packet that no target takes now, or rejects it if it is known that none will.
  pub(super) fn queue_or_reject(
    &mut self,
    now: Instant,
    flow: Flow,
    service: &Service,
    opening: Opening,
    choice: Option<Choice>,
    out: &mut Outbox,
  ) -> Result<(), Code> {
    if let Some(reason) = self.unservable(now, service) {
      self.give_up(now, &flow, &opening, reason, out);
      return Err(Code::PacketUnroutable);
    }
    self.enqueue(now, flow, service, opening, choice, out)
  }

  /// Why no target of a service can take new flows; none if one may.
  fn unservable(&self, now: Instant, service: &Service) -> Option<Reason> {
    if self.targets.all_closed(now, service) {
      return Some(Reason::Closed);
    }
    // A target that is not known yet may take them.
    let is_known = self.is_confirmed(now) && !self.targets.is_undecided(service);
    (is_known && !self.targets.accepts(now, service)).then_some(Reason::NoTarget)
  }

  /// Decides whether a flow may be queued.
  fn admit(&mut self, now: Instant, class: &FlowClass, queued: Queued) -> Verdict {
    let service = &class.service;
    if !self.tuning.overload.enabled {
      let capacity = self.queue_capacity(now, service);
      let is_full = capacity.is_some_and(|capacity| self.queue.len(service) as f64 >= capacity);
      return if is_full {
        Verdict::Rejected(Reason::Full)
      } else {
        Verdict::Waits
      };
    }
    let (_, flow) = queued;
    let route = self.gossip.catalog().route(&flow.route);
    let objective = route.map_or(Duration::ZERO, |route| route.objective);
    self.update_capacity(now, service);
    let newcomer = Newcomer { objective, queued };
    self.shedding.admit(now, class, &newcomer)
  }

  /// How many flows of a service may be queued: as many as its targets can answer before callers
  /// give up; none if no target is known. Balancers don't divide this among themselves, since they may
  /// get very different shares of the callers: with equal shares, 123 of 155 failed requests were of
  /// the callers of a data centre with one of five balancers.
  fn queue_capacity(&self, now: Instant, service: &Service) -> Option<f64> {
    let capacity = self.targets.rate(now, service) * C::CONNECT_TIMEOUT.as_secs_f64();
    (capacity > 0.0).then_some(capacity)
  }

  /// Removes a flow that no target has opened, as far as this balancer knows. It is reset unless it
  /// may be open: at a target that did not answer, or through another balancer that received a
  /// transmission.
  pub(super) fn give_up(
    &mut self,
    now: Instant,
    flow: &Flow,
    opening: &Opening,
    reason: Reason,
    out: &mut Outbox,
  ) {
    let age = now.saturating_duration_since(opening.received);
    let (may_be_open, may_be_missing) = (opening.may_be_open(), opening.may_have_missed::<C>(now));
    let is_reset = !may_be_open && !may_be_missing;
    log::info!(
      flow:% = flow, age:? = age, attempt = opening.attempt, reset = is_reset,
      reason:% = reason, tried = opening.tried.len(), may_be_open = may_be_open,
      may_be_missing = may_be_missing;
      "balancer: flow is given up."
    );
    self.flows.remove(flow);
    if is_reset {
      self.reset(flow, 0, out);
    } else if !may_be_open {
      let place = Place {
        agent: self.gossip.address(),
        last_packet: now,
        service: NO_SERVICE,
        state: State::Rejected(opening.clone()),
      };
      self.flows.insert(*flow, place);
    }
  }

  /// Sends queued flows to targets that can take them, the highest priority first.
  pub(super) fn place_queued(&mut self, now: Instant, out: &mut Outbox) {
    for class in self.queue.due(now) {
      self.update_capacity(now, &class.service);
      self.expire_queued(now, &class, out);
      while !self.must_compete(now, &class.service)
        && let Some((queued, choice)) = self.next_queued(now, &class)
      {
        let _ = self.send_queued(now, &class, queued, choice, out);
      }
      self.announce(now, &class.service, out);
    }
    self.log_overload(now);
  }

  /// The next flow of a class to be sent, with its target; none if it would wait too long at every
  /// target.
  fn next_queued(&self, now: Instant, class: &FlowClass) -> Option<(Queued, Choice)> {
    let (_, newest) = self.queue.newest(class)?;
    let choice = self.choose(now, &newest, &class.service, &Tried::new())?;
    if self.targets.is_refusing(now, choice.agent) {
      return None;
    }
    let queued = self.most_urgent(now, class, &choice)?;
    let (first, flow) = queued;
    let waited_ms = now.saturating_duration_since(first).as_secs_f64() * 1000.0;
    let is_soon =
      choice.is_free || !self.is_too_long(&flow, &class.service, choice.wait_ms + waited_ms);
    is_soon.then_some((queued, choice))
  }

  /// The flow of a class to be sent to a target first: the newest if it is answered in time there.
  /// Otherwise all are late, and it is the oldest one whose caller is certain to be still waiting,
  /// or else the newest. Of flows placed from the oldest on, a third were of callers that had given up,
  /// and each took a slot until that showed.
  pub(super) fn most_urgent(
    &self,
    now: Instant,
    class: &FlowClass,
    choice: &Choice,
  ) -> Option<Queued> {
    if self.tuning.overload.enabled {
      let wait = Duration::from_secs_f64(choice.wait_ms / 1000.0);
      return self.shedding.next(now, class, wait);
    }
    let newest = self.queue.newest(class)?;
    if self.is_in_time(now, newest, choice) {
      return Some(newest);
    }
    let since = now.checked_sub(C::last_attempt_until()).unwrap_or(now);
    self.queue.oldest_since(class, since).or(Some(newest))
  }

  /// Whether a flow would be answered within its route's objective, counted from when the caller
  /// started.
  pub(super) fn is_in_time(&self, now: Instant, (first, flow): Queued, choice: &Choice) -> bool {
    let Some(route) = self.gossip.catalog().route(&flow.route) else {
      return false;
    };
    let wait = Duration::from_secs_f64(choice.wait_ms / 1000.0);
    now.saturating_duration_since(first) + wait <= route.objective
  }

  /// Sends a queued flow to a target; false if its route no longer includes the service. It is then
  /// placed anew, or given up if its route was removed.
  pub(super) fn send_queued(
    &mut self,
    now: Instant,
    class: &FlowClass,
    queued: Queued,
    choice: Choice,
    out: &mut Outbox,
  ) -> bool {
    let (_, flow) = queued;
    self.queue.remove(class, queued);
    self.shedding.remove(class, queued);
    let Some(opening) = self.queued_opening(&flow).cloned() else {
      return false;
    };
    let Some(route) = self.gossip.catalog().route(&flow.route) else {
      Outcome::Rejected.count(&self.counter, class);
      self.give_up(now, &flow, &opening, Reason::RouteRemoved, out);
      return false;
    };
    if !route.backends.takes(&class.service) {
      if let Err(code) = self.place(now, flow, opening, out) {
        self.counter.count(code);
      }
      return false;
    }
    let waited = now.saturating_duration_since(opening.received);
    self.counter.observe("wait", waited);
    self.counter.observe(outcome::wait_name(class), waited);
    Outcome::Placed.count(&self.counter, class);
    if choice.is_granted {
      Outcome::Granted.count(&self.counter, class);
    }
    self.send_to(now, flow, &class.service, opening, choice, out);
    true
  }

  /// The opening packet of a queued flow; none if it is not queued.
  pub(super) fn queued_opening(&self, flow: &Flow) -> Option<&Opening> {
    match &self.flows.get(flow)?.state {
      State::Queued(_, opening) => Some(opening),
      _ => None,
    }
  }

  /// Removes a flow from the queue.
  pub(super) fn dequeue(&mut self, flow: &Flow) {
    if let Some(Place {
      state: State::Queued(class, opening),
      ..
    }) = self.flows.get(flow)
    {
      let queued = (opening.first, *flow);
      self.queue.remove(class, queued);
      self.shedding.remove(class, queued);
    }
  }

  /// Gives up flows whose callers would give up before an answer reached them, all flows of a service
  /// that no target serves, and flows that are known not to be served.
  pub(super) fn expire_queued(&mut self, now: Instant, class: &FlowClass, out: &mut Outbox) {
    let (ttl, reason) = if let Some(reason) = self.unservable(now, &class.service) {
      (Duration::ZERO, reason)
    } else {
      let ttl = C::CONNECT_TIMEOUT.saturating_sub(ANSWER_LATENCY_MAX);
      (ttl, Reason::Expired)
    };
    while let Some(queued) = self.queue.oldest(class) {
      let (first, _) = queued;
      if now < first + ttl {
        break;
      }
      self.queue.remove(class, queued);
      if reason == Reason::Expired {
        self.shedding.expire(now, class, queued);
      } else {
        self.shedding.remove(class, queued);
        if self.place_at_other_service(now, class, queued, out) {
          continue;
        }
      }
      self.reject_queued(now, class, queued, reason, out);
    }
    for queued in self.shedding.shed(now, class) {
      self.queue.remove(class, queued);
      self.reject_queued(now, class, queued, Reason::Late, out);
    }
  }

  /// Places a flow that was removed from the queue at another service of its route; false if none has
  /// a target that accepts new flows.
  fn place_at_other_service(
    &mut self,
    now: Instant,
    class: &FlowClass,
    (_, flow): Queued,
    out: &mut Outbox,
  ) -> bool {
    let Some(opening) = self.queued_opening(&flow).cloned() else {
      return false;
    };
    let other = self.destination(now, &flow);
    if other.is_none_or(|other| other == class.service || !self.targets.accepts(now, &other)) {
      return false;
    }
    if let Err(code) = self.place(now, flow, opening, out) {
      self.counter.count(code);
    }
    true
  }

  /// Gives up a flow that was removed from the queue.
  fn reject_queued(
    &mut self,
    now: Instant,
    class: &FlowClass,
    (_, flow): Queued,
    reason: Reason,
    out: &mut Outbox,
  ) {
    let Some(opening) = self.queued_opening(&flow).cloned() else {
      return;
    };
    let outcome = match reason {
      Reason::Displaced => Outcome::Displaced,
      Reason::Expired => Outcome::Expired,
      _ => Outcome::Rejected,
    };
    outcome.count(&self.counter, class);
    let code = match reason {
      Reason::Closed | Reason::NoTarget => Code::PacketUnroutable,
      _ => Code::QueueFull,
    };
    self.counter.count(code);
    self.give_up(now, &flow, &opening, reason, out);
  }
}
