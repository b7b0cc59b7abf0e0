//! How a balancer opens flows.

use {
  super::{
    machine::{Machine, TRIES_MAX},
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
  smallvec::SmallVec,
  std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

impl<C: Codec> Machine<C> {
  pub(super) fn open(
    &mut self,
    now: Instant,
    head: &Head,
    service: &Service,
    packet: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let mut opening = Opening {
      began: now,
      deadline: now,
      may_be_open: head.acknowledges > 0,
      packet: SmallVec::from_slice(packet),
      sent: now,
      tried: Tried::new(),
    };
    self.end_search(&head.flow);
    match self.flows.get_mut(&head.flow) {
      Some(place) if matches!(place.state, State::Open) => {
        // The answer of its target was lost on the way, or is.
        place.seen = now;
        let agent = place.agent;
        self.carry(agent, Purpose::Open, service, packet, out);
        return Ok(());
      }
      Some(Place {
        agent,
        state: State::Opening(before),
        ..
      }) => {
        if now < before.deadline {
          // Whoever was asked may still answer; its answer to the caller may have been lost.
          before.may_be_open = true;
          let agent = *agent;
          self.carry(agent, Purpose::Open, service, packet, out);
          return Ok(());
        }
        opening.tried = std::mem::take(&mut before.tried);
      }
      _ => {}
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
    let mut choice = self.targets.choose(now, service, &opening.tried);
    if choice.is_none() && !opening.tried.is_empty() {
      opening.tried.clear();
      choice = self.targets.choose(now, service, &opening.tried);
    }
    let Some(Choice { agent, wait_ms }) = choice else {
      log::info!(flow:% = flow, service:% = service; "balancer: flow has no target.");
      return Err(Code::PacketUnroutable);
    };
    if !opening.may_be_open && self.is_too_long(&flow, wait_ms) {
      log::info!(
        flow:% = flow, service:% = service, at:% = agent, wait_ms = wait_ms,
        age_ms:? = self.targets.age_ms(now, agent), version:% = self.spread.catalog().version();
        "balancer: wait is too long and flow is reset."
      );
      self.flows.remove(&flow);
      self.reset(&flow, 0, out);
      return Err(Code::QueueFull);
    }
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
    Ok(())
  }

  /// Whether a new flow would wait so long that it is better told at once: what waits in vain
  /// makes all others wait.
  pub(super) fn is_too_long(&self, flow: &Flow, wait_ms: f64) -> bool {
    let route = self.spread.catalog().route(&flow.route);
    let objective = route.map_or(Duration::MAX, |route| route.objective);
    wait_ms > objective.as_secs_f64() * 1000.0 * self.tuning.wait_part
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
    if opening.tried.len() >= TRIES_MAX {
      return;
    }
    let mut opening = opening.clone();
    opening.may_be_open |= !answered;
    // The next copy of its caller tries again where nothing is left now.
    let next = self.targets.choose(now, &service, &opening.tried);
    if next.is_none() {
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
    if let Some(place) = self.flows.get_mut(&flow)
      && let State::Opening(opening) = &place.state
    {
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
