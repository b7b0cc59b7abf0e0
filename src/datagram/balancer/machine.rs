use {
  super::{
    absences::Absences,
    announced::Announced,
    egress::{Egress, Waiting},
    history::History,
    parking::Parking,
    place::{Place, State},
    questions::Questions,
    search::Search,
    searching::TRY_EVERY,
    targets::{Run, Targets},
  },
  crate::{
    Code,
    counter::Counter,
    datagram::{
      Codec, Flow, Frame, Handover, Head, News, Origin, Outbox, Patience, Service, Settings,
      Spread, Tuning, Via, event,
      frame::{Purpose, Role, Status},
    },
  },
  serde_json::json,
  std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// How many targets one copy of an opening packet is sent to at most, one after another.
pub(super) const TRIES_MAX: usize = 4;

/// How often what is long past is forgotten.
const EXPIRE: Duration = Duration::from_secs(2);

/// How old the platform's last word may be for a route that is not known to count as dropped.
const ROUTE_FRESH: Duration = Duration::from_millis(2500);

/// After so much delay of a deadline the process counts as having stood still: what has arrived
/// goes before a deadline by 50 ms at most.
const STILL: Duration = Duration::from_millis(150);

/// How long the flows of an agent that has stopped are kept for its next run.
const HANDED_KEPT: Duration = Duration::from_secs(30);

/// Decides where a balancer sends the packets of callers.
pub struct Machine<C> {
  pub(super) absences: Absences,
  pub(super) announced: Announced,
  /// Flows that all agents have said no of, before the list or the past was known.
  pub(super) answered: BTreeSet<Flow>,
  /// Whether it was told of the time once: what a start takes is no standstill.
  pub(super) begun: bool,
  /// The part of the time over which new flows are taken from a closed data centre after which this
  /// balancer does: each has its own. Where all do it at once while callers press, the other data
  /// centres fill up: 1.0% of feeds were late instead of 0.2% (by what callers saw).
  pub(super) closing_part: f64,
  pub(super) codec: C,
  pub(super) counter: Arc<Counter>,
  pub(super) egress: Egress,
  pub(super) expired: Instant,
  pub(super) flows: HashMap<Flow, Place>,
  /// What agents that stopped had, by their last word.
  pub(super) handed: HashMap<SocketAddrV4, Handover>,
  pub(super) history: History,
  /// How many bytes of packets wait for their flows to be found.
  pub(super) held_bytes: usize,
  /// The lowest priority of each service's routes; 0 is the highest.
  pub(super) lowest: HashMap<Service, u8>,
  /// The opening packets that wait for an answer, by their deadlines.
  pub(super) openings: BTreeSet<(Instant, Flow)>,
  pub(super) parking: Parking,
  pub(super) patience: Patience,
  pub(super) port: u16,
  /// What is to be asked of agents.
  pub(super) questions: Questions,
  pub(super) searches: HashMap<Flow, Search>,
  /// The searches by their deadlines.
  pub(super) searching: BTreeSet<(Instant, Flow)>,
  pub(super) spread: Spread,
  pub(super) targets: Targets,
  /// When a packet of a flow was last given to an agent to try.
  pub(super) tried: HashMap<Flow, Instant>,
  pub(super) tuning: Tuning,
  /// Until when opening packets may be older than they seem: the process stood still.
  pub(super) unsure_until: Instant,
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
      absences: Absences::default(),
      announced: Announced::default(),
      answered: BTreeSet::new(),
      begun: false,
      closing_part: f64::from(incarnation % 1000) / 1000.0,
      codec,
      counter,
      egress: Egress::new(now, settings.link),
      expired: now,
      flows: HashMap::new(),
      handed: HashMap::new(),
      history: History::new(now, settings.first_start),
      held_bytes: 0,
      lowest: HashMap::new(),
      openings: BTreeSet::new(),
      parking: Parking::new(now),
      patience: Patience::new(tuning.open_wait, tuning.open_wait),
      port: settings.callers.port(),
      questions: Questions::new(now, settings.link),
      searches: HashMap::new(),
      searching: BTreeSet::new(),
      spread,
      targets: Targets::new(
        now,
        settings.data_centre.clone(),
        settings.peers.port(),
        &tuning,
      ),
      tried: HashMap::new(),
      tuning,
      unsure_until: now,
    }
  }

  /// Notices that the process stood still: what waits in its sockets may be from before that, and
  /// a caller's next copies may have gone to other balancers meanwhile.
  fn wake(&mut self, now: Instant) {
    let late = now.saturating_duration_since(self.next_deadline());
    if late < STILL || !self.begun {
      return;
    }
    if now >= self.unsure_until {
      log::info!(late:? = late; "balancer: process stood still.");
    }
    self.unsure_until = now + C::PATIENCE;
  }

  pub(super) fn take_packet(
    &mut self,
    now: Instant,
    packet: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    self.wake(now);
    let head = self.codec.read_from_caller(packet)?;
    let Some(service) = self.spread.catalog().service(&head.flow.route).cloned() else {
      return self.without_route(now, &head, out);
    };
    if head.opens {
      return self.open(now, &head, &service, packet, out);
    }
    if self.egress.holds(now, &head) {
      let taken = self.egress.push(head, packet);
      return if taken { Ok(()) } else { Err(Code::QueueFull) };
    }
    self.forward(now, &head, &service, packet, out);
    Ok(())
  }

  /// Sends a packet of an open flow where the flow is.
  pub(super) fn forward(
    &mut self,
    now: Instant,
    head: &Head,
    service: &Service,
    packet: &[u8],
    out: &mut Outbox,
  ) {
    match self.flows.get_mut(&head.flow) {
      Some(place) if matches!(place.state, State::Dead) => {
        self.reset(&head.flow, head.acknowledges, out);
      }
      Some(place) if matches!(place.state, State::Parked(..)) => {
        // A target that another balancer had asked opened it.
        self.unpark(&head.flow);
        self.flows.remove(&head.flow);
        self.search(now, head, service, packet, None);
      }
      Some(place) => {
        // Its caller was answered; if not from there, the agent says so.
        place.state = State::Open;
        place.seen = now;
        let agent = place.agent;
        let away = self.absences.is_away(now, agent);
        if !away || !self.absences.hold(agent, *head, packet) {
          self.carry(agent, Purpose::Deliver, service, packet, out);
        }
      }
      None => self.search(now, head, service, packet, None),
    }
  }

  /// Sends what waited for the link, as far as that has room.
  fn send_waiting(&mut self, now: Instant, out: &mut Outbox) {
    while let Some(Waiting { head, packet }) = self.egress.pop(now) {
      let before = out.size();
      if let Some(service) = self.spread.catalog().service(&head.flow.route).cloned() {
        self.forward(now, &head, &service, &packet, out);
      }
      self.egress.charge(now, out.size() - before);
    }
  }

  /// Counts what an event has put into `out` on the link.
  fn charged(&mut self, now: Instant, before: usize, out: &Outbox) {
    self.egress.charge(now, out.size() - before);
  }

  /// Nothing may take the packet. The caller of a new flow is told at once, unless a route may have
  /// come that is not known here yet; an open flow may be of such a route.
  pub(super) fn without_route(
    &mut self,
    now: Instant,
    head: &Head,
    out: &mut Outbox,
  ) -> Result<(), Code> {
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

  pub(super) fn reset(&self, flow: &Flow, acknowledges: u32, out: &mut Outbox) {
    let to = SocketAddrV4::new(*flow.caller.ip(), self.port);
    out.write(Via::Callers, to, |bytes| {
      self.codec.write_reset(flow, acknowledges, bytes);
    });
  }

  pub(super) fn carry(
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

  pub(super) fn take_frame(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    bytes: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    self.wake(now);
    let (frame, packet) = Frame::decode(bytes)?;
    match frame {
      Frame::AskPast => self.tell_past(now, from, out),
      Frame::Absent { flows, known } => self.absent(now, from, &flows, &known, packet, out),
      Frame::Ask { .. } | Frame::Backlog { .. } | Frame::Carry { .. } | Frame::Held { .. } => {
        return Err(Code::FrameWrongTarget);
      }
      Frame::Found(flow) => self.found(now, from, flow, out),
      Frame::Grant(load) => self.granted(now, from, load, out),
      Frame::Handover { flows, part, parts } => {
        let handed = self.handed.entry(from).or_default();
        handed.take(now, part, parts, flows);
        self.absences.begin(now, from);
      }
      Frame::Past {
        known,
        part,
        parts,
        past,
      } => {
        self.targets.remember(now, &past);
        self.history.take(now, from, part, parts, known);
        self.conclude_answered(now, out);
      }
      Frame::News(news) => self.take_news(now, Origin::Peer(from), news, out),
      Frame::Opened(flow, load) => self.opened(now, from, flow, load),
      Frame::Refused(flow, refusal, load) => {
        self.refused(now, from, flow, refusal, load, out);
      }
      Frame::Status(status) => self.status(now, from, &status, out),
      Frame::Unsure(flows) => self.unsure(now, from, &flows, out),
    }
    Ok(())
  }

  pub(super) fn status(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    status: &Status,
    out: &mut Outbox,
  ) {
    self.spread.status(now, from, status);
    let Role::Agent(load) = status.role else {
      self.ask_past(now, from, out);
      return;
    };
    let run = self.targets.status(now, from, status, load);
    if run == Run::Next {
      self.remind(now, from, out);
    }
    if run != Run::Known {
      self.returned(now, from, out);
      self.ask_new(now, from);
    }
  }

  pub(super) fn take_news(&mut self, now: Instant, origin: Origin, news: News, out: &mut Outbox) {
    let change = self.spread.news(now, origin, news, out);
    self.changed(now, &change);
    self.conclude_answered(now, out);
  }

  pub(super) fn changed(&mut self, now: Instant, change: &crate::datagram::Change) {
    if change.closures {
      let listed = self.spread.catalog().closures();
      let from = now + self.spread.closing_left().mul_f64(self.closing_part);
      self.targets.closures.update(listed, from);
    }
    if !change.is_empty() {
      self.targets.update(self.spread.catalog());
    }
    if change.configuration {
      self.rank_routes();
    }
  }

  fn next_deadline(&self) -> Instant {
    let opening = self.openings.first().map(|(deadline, _)| *deadline);
    let search = self.searching.first().map(|(deadline, _)| *deadline);
    let status = self.spread.deadline();
    let parked = self.parking.deadline();
    let egress = self.egress.deadline();
    let absent = self.absences.deadline();
    [
      absent,
      egress,
      opening,
      parked,
      search,
      self.questions.deadline(),
    ]
    .into_iter()
    .flatten()
    .fold(status, Instant::min)
  }

  fn rank_routes(&mut self) {
    self.lowest.clear();
    let configuration = self.spread.catalog().configuration();
    for route in configuration
      .into_iter()
      .flat_map(|held| held.routes.values())
    {
      let lowest = self.lowest.entry(route.service.clone()).or_default();
      *lowest = route.priority.max(*lowest);
    }
  }

  pub(super) fn look(&mut self, now: Instant, out: &mut Outbox) {
    self.wake(now);
    self.begun = true;
    while let Some((deadline, flow)) = self.openings.first().copied() {
      if deadline > now {
        break;
      }
      self.openings.pop_first();
      self.unanswered(now, deadline, flow, out);
    }
    self.ask_all_past(now, out);
    self.conclude_answered(now, out);
    while let Some((deadline, flow)) = self.searching.first().copied() {
      if deadline > now {
        break;
      }
      self.searching.pop_first();
      self.search_over(now, flow, out);
    }
    self.release(now, out);
    self.await_absent(now, out);
    let complete = self.spread.catalog().complete();
    self.questions.send(now, complete, out);
    if now >= self.expired + EXPIRE {
      self.expired = now;
      self.expire(now);
    }
    if now >= self.spread.deadline() {
      let agents = self.targets.agents();
      self.spread.tick(now, Role::Balancer, &agents, out);
    }
  }

  pub(super) fn expire(&mut self, now: Instant) {
    let idle = self.spread.idle();
    let dead = self.tuning.dead;
    self.flows.retain(|_, place| {
      let kept = if matches!(place.state, State::Dead) {
        dead
      } else {
        idle
      };
      now.saturating_duration_since(place.seen) < kept
    });
    let recent = |at: &mut Instant| now.saturating_duration_since(*at) < TRY_EVERY;
    self.tried.retain(|_, at| recent(at));
    self
      .handed
      .retain(|_, handed| handed.age(now) < HANDED_KEPT);
    self.spread.expire(now);
    self.history.expire(now, self.tuning.amnesia);
    self.targets.expire(now);
    self.targets.update(self.spread.catalog());
  }
}

impl<C: Codec> event::Machine for Machine<C> {
  fn counter(&self) -> &Counter {
    &self.counter
  }

  fn deadline(&self) -> Instant {
    self.next_deadline()
  }

  fn dump(&self, now: Instant) -> serde_json::Value {
    json!({
      "flows": self.flows.len(),
      "parked": self.parking.total(),
      "waiting": self.egress.len(),
      "searches": self.searches.len(),
      "spread": self.spread.dump(now),
      "targets": self.targets.dump(now),
    })
  }

  fn end(&mut self, _: Instant, _: &mut Outbox) {}

  fn frame(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    bytes: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let before = out.size();
    let taken = self.take_frame(now, from, bytes, out);
    self.charged(now, before, out);
    self.send_waiting(now, out);
    taken
  }

  /// Callers' packets come until the fabric leads them elsewhere.
  fn is_quiet(&self) -> bool {
    false
  }

  fn news(&mut self, now: Instant, origin: Origin, news: News, out: &mut Outbox) {
    let before = out.size();
    self.take_news(now, origin, news, out);
    self.charged(now, before, out);
  }

  fn packet(&mut self, now: Instant, packet: &mut [u8], out: &mut Outbox) -> Result<(), Code> {
    let before = out.size();
    let taken = self.take_packet(now, packet, out);
    self.charged(now, before, out);
    self.send_waiting(now, out);
    taken
  }

  fn spread(&mut self) -> &mut Spread {
    &mut self.spread
  }

  fn stop(&mut self, now: Instant, _: &mut Outbox) {
    self.spread.stop(now);
  }

  fn tick(&mut self, now: Instant, out: &mut Outbox) {
    let before = out.size();
    self.look(now, out);
    self.charged(now, before, out);
    self.send_waiting(now, out);
  }
}
