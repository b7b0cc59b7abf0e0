use {
  super::{
    place::{Opening, Place, State, Tried},
    search::Search,
    targets::{Choice, Targets},
  },
  crate::{
    Code,
    counter::Counter,
    datagram::{
      Codec, Event, Flow, Frame, Handover, Head, Outbox, Service, Settings, Spread, Tuning, Via,
      event,
      frame::{Known, Purpose, Refusal, Role, Status},
    },
  },
  serde_json::json,
  smallvec::SmallVec,
  std::{
    collections::{HashMap, VecDeque},
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// How many targets one copy of an opening packet is sent to at most, one after another.
const TRIES_MAX: usize = 4;

/// How often what is long past is forgotten.
const EXPIRE: Duration = Duration::from_secs(2);

/// How old the platform's last word may be for a route that is not known to count as dropped.
const ROUTE_FRESH: Duration = Duration::from_millis(2500);

/// How many flows one frame names.
const HELD_MAX: usize = 64;

/// How long the flows of an agent that has stopped are kept for its next run.
const HANDED_KEPT: Duration = Duration::from_secs(30);

/// Decides where a balancer sends the packets of callers.
pub struct Machine<C> {
  codec: C,
  counter: Arc<Counter>,
  expired: Instant,
  flows: HashMap<Flow, Place>,
  /// What agents that stopped had, and when they said so.
  handed: HashMap<SocketAddrV4, (Instant, Handover)>,
  openings: VecDeque<(Instant, Flow)>,
  port: u16,
  searches: HashMap<Flow, Search>,
  searching: VecDeque<(Instant, Flow)>,
  spread: Spread,
  targets: Targets,
  tuning: Tuning,
}

impl<C: Codec> Machine<C> {
  /// The machine of a balancer that has just started.
  pub fn new(
    now: Instant,
    settings: &Settings,
    tuning: Tuning,
    codec: C,
    incarnation: u32,
    counter: Arc<Counter>,
  ) -> Self {
    let spread = Spread::new(now, settings, true, incarnation, tuning);
    Self {
      codec,
      counter,
      expired: now,
      flows: HashMap::new(),
      handed: HashMap::new(),
      openings: VecDeque::new(),
      port: settings.callers.port(),
      searches: HashMap::new(),
      searching: VecDeque::new(),
      spread,
      targets: Targets::new(
        now,
        settings.data_centre.clone(),
        settings.peers.port(),
        tuning,
      ),
      tuning,
    }
  }

  fn packet(&mut self, now: Instant, packet: &[u8], out: &mut Outbox) -> Result<(), Code> {
    let head = self.codec.read_from_caller(packet)?;
    let Some(service) = self.spread.catalog().service(&head.flow.route).cloned() else {
      return self.without_route(now, &head, out);
    };
    if head.opens {
      return self.open(now, &head, &service, packet, out);
    }
    match self.flows.get_mut(&head.flow) {
      Some(place) if matches!(place.state, State::Dead) => {
        self.reset(&head.flow, head.acknowledges, out);
      }
      Some(place) => {
        // Its caller was answered; if not from there, the agent says so.
        place.state = State::Open;
        place.seen = now;
        let agent = place.agent;
        self.carry(agent, Purpose::Deliver, &service, packet, out);
      }
      None => self.search(now, &head, &service, packet, None, out),
    }
    Ok(())
  }

  /// Nothing may take the packet. The caller of a new flow is told at once, unless a route may have
  /// come that is not known here yet; an open flow may be of such a route.
  fn without_route(&mut self, now: Instant, head: &Head, out: &mut Outbox) -> Result<(), Code> {
    let age = self.spread.confirmed(now);
    let fresh = age.is_some_and(|age| age < ROUTE_FRESH);
    if self.spread.catalog().configuration().is_none() || !fresh {
      return Err(Code::NotReady);
    }
    if head.opens && head.acknowledges == 0 {
      log::info!(
        flow:% = head.flow, version:% = self.spread.catalog().version(), age:? = age;
        "balancer: flow has no route and is reset."
      );
      self.reset(&head.flow, 0, out);
    }
    Err(Code::PacketUnroutable)
  }

  fn open(
    &mut self,
    now: Instant,
    head: &Head,
    service: &Service,
    packet: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let mut opening = Opening {
      deadline: now,
      may_be_open: head.acknowledges > 0,
      packet: SmallVec::from_slice(packet),
      tried: Tried::new(),
    };
    match self.flows.get_mut(&head.flow) {
      Some(place) if matches!(place.state, State::Open) => {
        // The answer of its target was lost on the way, or is.
        place.seen = now;
        let agent = place.agent;
        self.carry(agent, Purpose::Open, service, packet, out);
        return Ok(());
      }
      Some(Place {
        state: State::Opening(before),
        ..
      }) => opening.tried = std::mem::take(&mut before.tried),
      _ => {}
    }
    if self.flows.len() >= self.tuning.flows_max {
      return Err(Code::QueueFull);
    }
    self.place(now, head.flow, service, opening, out)
  }

  /// Sends an opening packet to the best target that was not tried, else to the best.
  fn place(
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
      log::info!(flow:% = flow, wait_ms = wait_ms; "balancer: wait is too long and flow is reset.");
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
    opening.deadline = now + self.tuning.open_wait;
    self.targets.placed(agent);
    self.openings.push_back((opening.deadline, flow));
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
  fn is_too_long(&self, flow: &Flow, wait_ms: f64) -> bool {
    let route = self.spread.catalog().route(&flow.route);
    let objective = route.map_or(Duration::MAX, |route| route.objective);
    wait_ms > objective.as_secs_f64() * 1000.0 * self.tuning.wait_part
  }

  /// An opening packet goes on to the next target.
  fn place_next(&mut self, now: Instant, flow: Flow, answered: bool, out: &mut Outbox) {
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

  /// Asks all that may have a flow.
  fn search(
    &mut self,
    now: Instant,
    head: &Head,
    service: &Service,
    packet: &[u8],
    except: Option<SocketAddrV4>,
    out: &mut Outbox,
  ) {
    let holders = self.targets.holders(service).iter().copied();
    let asked = holders
      .filter(|agent| Some(*agent) != except)
      .collect::<SmallVec<[SocketAddrV4; 12]>>();
    if asked.is_empty() {
      // Nobody who could say no is no proof either.
      log::info!(flow:% = head.flow, service:% = service; "balancer: flow has nobody to be asked.");
      self.counter.count(Code::FlowUnknown);
      return;
    }
    let deadline = now + self.tuning.search;
    let searching = &mut self.searching;
    let search = self.searches.entry(head.flow).or_insert_with(|| {
      searching.push_back((deadline, head.flow));
      log::info!(flow:% = head.flow, asked = asked.len(); "balancer: flow is searched for.");
      Search {
        asked: asked.iter().copied().chain(except).collect(),
        acknowledges: head.acknowledges,
        deadline,
        packets: 0,
        waiting: asked.clone(),
      }
    });
    search.acknowledges = head.acknowledges;
    if search.packets >= self.tuning.search_packets {
      return;
    }
    search.packets += 1;
    for agent in asked {
      self.carry(agent, Purpose::Search, service, packet, out);
    }
  }

  /// An agent does not have a flow.
  fn absent(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flow: Flow,
    known: &Known,
    packet: &[u8],
    out: &mut Outbox,
  ) {
    let here = self.flows.get(&flow);
    let here = here.is_some_and(|place| place.agent == from && !matches!(place.state, State::Dead));
    if here {
      self.flows.remove(&flow);
    }
    let mut behind = self.spread.is_behind(now, from, known.complete);
    if let Some(service) = self.spread.catalog().service(&flow.route) {
      behind |= self.targets.learn(now, service, &known.past);
    }
    if let Some(search) = self.searches.get_mut(&flow) {
      search.waiting.retain(|agent| *agent != from);
      if behind {
        // A target that is not known here may have the flow.
        self.searches.remove(&flow);
      } else {
        self.conclude(now, flow, out);
      }
    }
    if packet.is_empty() {
      return;
    }
    log::info!(flow:% = flow, from:% = from; "balancer: flow is not where it was.");
    let Ok(head) = self.codec.read_from_caller(packet) else {
      self.counter.count(Code::PacketTooShort);
      return;
    };
    let service = self.spread.catalog().service(&flow.route).cloned();
    if let (Some(service), false) = (service, self.flows.contains_key(&flow)) {
      self.search(now, &head, &service, packet, Some(from), out);
    }
  }

  /// Ends a search that nobody is left to answer: the flow is nowhere, and its caller is told.
  fn conclude(&mut self, now: Instant, flow: Flow, out: &mut Outbox) {
    let Some(search) = self.searches.get(&flow) else {
      return;
    };
    if !search.waiting.is_empty() {
      return;
    }
    let service = self.spread.catalog().service(&flow.route);
    let holders = service.map_or(&[][..], |service| self.targets.holders(service));
    if !holders.iter().all(|holder| search.asked.contains(holder)) {
      // Somebody is known now who was not asked: the next packet of the flow asks again.
      self.searches.remove(&flow);
      return;
    }
    let acknowledges = search.acknowledges;
    self.searches.remove(&flow);
    if self.flows.contains_key(&flow) {
      return;
    }
    log::info!(flow:% = flow; "balancer: flow is nowhere and is reset.");
    self.counter.count(Code::FlowUnknown);
    self.flows.insert(
      flow,
      Place {
        agent: self.spread.address(),
        seen: now,
        state: State::Dead,
      },
    );
    self.reset(&flow, acknowledges, out);
  }

  fn reset(&self, flow: &Flow, acknowledges: u32, out: &mut Outbox) {
    let to = SocketAddrV4::new(*flow.caller.ip(), self.port);
    out.write(Via::Callers, to, |bytes| {
      self.codec.write_reset(flow, acknowledges, bytes);
    });
  }

  fn carry(
    &self,
    agent: SocketAddrV4,
    purpose: Purpose,
    service: &Service,
    packet: &[u8],
    out: &mut Outbox,
  ) {
    let frame = Frame::Carry {
      complete: self.spread.catalog().complete(),
      purpose,
      service: service.digest(),
      version: self.spread.catalog().version(),
    };
    out.frame(agent, &frame, packet);
  }

  fn frame(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    bytes: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let (frame, packet) = Frame::decode(bytes)?;
    match frame {
      Frame::Absent(flow, known) => self.absent(now, from, flow, &known, packet, out),
      Frame::Carry { .. } => return Err(Code::FrameWrongTarget),
      Frame::Found(flow) => self.found(now, from, flow),
      Frame::Held { flows, part, parts } => {
        let fresh = || (now, Handover::default());
        let (at, handed) = self.handed.entry(from).or_insert_with(fresh);
        *at = now;
        handed.take(part, parts, flows);
      }
      Frame::News(news) => {
        let change = self.spread.news(now, event::Origin::Peer(from), news, out);
        self.changed(&change);
      }
      Frame::Opened(flow, load) => self.opened(now, from, flow, load),
      Frame::Refused(flow, refusal, load) => {
        self.refused(now, from, flow, refusal, load, out);
      }
      Frame::Status(status) => self.status(now, from, &status, out),
    }
    Ok(())
  }

  fn found(&mut self, now: Instant, from: SocketAddrV4, flow: Flow) {
    if let Some(search) = self.searches.remove(&flow) {
      let began = search.deadline.checked_sub(self.tuning.search);
      let time = now.saturating_duration_since(began.unwrap_or(now));
      self.counter.observe("search", time);
      log::info!(flow:% = flow, at:% = from; "balancer: flow is found.");
    }
    self.flows.insert(
      flow,
      Place {
        agent: from,
        seen: now,
        state: State::Open,
      },
    );
  }

  fn opened(&mut self, now: Instant, from: SocketAddrV4, flow: Flow, load: crate::datagram::Load) {
    self.targets.loaded(now, from, load);
    self.targets.opened(from);
    if let Some(place) = self.flows.get_mut(&flow)
      && let State::Opening(opening) = &place.state
    {
      let asked = opening.deadline.checked_sub(self.tuning.open_wait);
      let time = now.saturating_duration_since(asked.unwrap_or(now));
      self.counter.observe("open", time);
      place.agent = from;
      place.state = State::Open;
    }
  }

  fn refused(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flow: Flow,
    refusal: Refusal,
    load: crate::datagram::Load,
    out: &mut Outbox,
  ) {
    log::info!(flow:% = flow, from:% = from, why:? = refusal; "balancer: flow is refused.");
    self.targets.loaded(now, from, load);
    if !matches!(refusal, Refusal::Busy | Refusal::Leaving) {
      self.targets.unanswered(now, from);
    }
    let here = self.flows.get(&flow);
    if here.is_some_and(|place| place.agent == from && matches!(place.state, State::Opening(_))) {
      self.place_next(now, flow, true, out);
    }
  }

  fn status(&mut self, now: Instant, from: SocketAddrV4, status: &Status, out: &mut Outbox) {
    self.spread.status(now, from, status);
    let Role::Agent(load) = status.role else {
      return;
    };
    if self.targets.status(now, from, status, load) {
      self.remind(from, out);
    }
  }

  /// An agent has started again: it is told which flows it had, by its own last word and as far
  /// as known here.
  fn remind(&mut self, agent: SocketAddrV4, out: &mut Outbox) {
    let there = self.flows.iter().filter(|(_, place)| place.is_at(agent));
    let mut known = there.map(|(flow, _)| *flow).collect::<Vec<_>>();
    // In one order, so that a run can be played again.
    known.sort_unstable();
    let handed = self.handed.remove(&agent);
    log::info!(
      agent:% = agent, flows = known.len(),
      whole = handed.as_ref().is_some_and(|(_, handed)| handed.is_whole());
      "balancer: agent has started again."
    );
    for part in known.chunks(HELD_MAX) {
      let frame = Frame::Held {
        flows: part.to_vec(),
        part: 0,
        parts: 0,
      };
      out.frame(agent, &frame, &[]);
    }
    if let Some((_, handed)) = handed {
      handed.send(agent, out);
    }
  }

  fn changed(&mut self, change: &crate::datagram::Change) {
    if !change.is_empty() {
      self.targets.update(self.spread.catalog());
    }
  }

  fn tick(&mut self, now: Instant, out: &mut Outbox) {
    while let Some((deadline, flow)) = self.openings.front().copied() {
      if deadline > now {
        break;
      }
      self.openings.pop_front();
      self.unanswered(now, deadline, flow, out);
    }
    while let Some((deadline, flow)) = self.searching.front().copied() {
      if deadline > now {
        break;
      }
      self.searching.pop_front();
      self.search_over(now, deadline, flow, out);
    }
    if now >= self.expired + EXPIRE {
      self.expired = now;
      self.expire(now);
    }
    if now >= self.spread.deadline() {
      let agents = self.targets.agents();
      self.spread.tick(now, Role::Balancer, &agents, out);
    }
  }

  fn unanswered(&mut self, now: Instant, deadline: Instant, flow: Flow, out: &mut Outbox) {
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
    log::info!(flow:% = flow, agent:% = agent; "balancer: opening packet is unanswered.");
    self.targets.unanswered(now, agent);
    self.place_next(now, flow, false, out);
  }

  fn search_over(&mut self, now: Instant, deadline: Instant, flow: Flow, out: &mut Outbox) {
    let search = self.searches.get(&flow);
    if search.is_none_or(|search| search.deadline != deadline) {
      return;
    }
    let targets = &self.targets;
    if let Some(search) = self.searches.get_mut(&flow) {
      search.waiting.retain(|agent| !targets.is_lost(now, *agent));
    }
    self.conclude(now, flow, out);
    if let Some(search) = self.searches.remove(&flow) {
      log::info!(flow:% = flow, silent:? = search.waiting; "balancer: search has no answer.");
    }
  }

  fn expire(&mut self, now: Instant) {
    let idle = self.spread.catalog().configuration();
    let idle = idle.map_or(self.tuning.idle, |held| {
      held.idle.max(Duration::from_secs(1))
    });
    let dead = self.tuning.dead;
    self.flows.retain(|_, place| {
      let kept = if matches!(place.state, State::Dead) {
        dead
      } else {
        idle
      };
      now.saturating_duration_since(place.seen) < kept
    });
    self.handed.retain(|_, (at, _)| {
      let age = now.saturating_duration_since(*at);
      age < HANDED_KEPT
    });
    self.spread.expire(now);
    self.targets.expire(now);
    self.targets.update(self.spread.catalog());
  }
}

impl<C: Codec> event::Machine for Machine<C> {
  fn step(&mut self, now: Instant, event: Event, out: &mut Outbox) {
    let result = match event {
      Event::Frame { from, bytes } => self.frame(now, from, bytes, out),
      Event::News(origin, news) => {
        let change = self.spread.news(now, origin, news, out);
        self.changed(&change);
        Ok(())
      }
      Event::Packet(packet) => self.packet(now, packet, out),
      Event::Stop => {
        self.spread.stop(now);
        Ok(())
      }
      Event::Tick => {
        self.tick(now, out);
        Ok(())
      }
      Event::Unreachable(peer) => {
        self.spread.unreachable(peer);
        Ok(())
      }
    };
    if let Err(code) = result {
      self.counter.count(code);
    }
  }

  fn deadline(&self) -> Instant {
    let opening = self.openings.front().map(|(deadline, _)| *deadline);
    let search = self.searching.front().map(|(deadline, _)| *deadline);
    let status = self.spread.deadline();
    [opening, search]
      .into_iter()
      .flatten()
      .fold(status, Instant::min)
  }

  fn dump(&self, now: Instant) -> serde_json::Value {
    json!({
      "flows": self.flows.len(),
      "searches": self.searches.len(),
      "spread": self.spread.dump(now),
      "targets": self.targets.dump(now),
    })
  }

  fn spread(&mut self) -> &mut Spread {
    &mut self.spread
  }
}
