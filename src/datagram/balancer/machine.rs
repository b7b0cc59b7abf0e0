use {
  super::{
    absences::Absences,
    announced::Announced,
    egress::Egress,
    history::History,
    parking::Parking,
    place::{Place, State},
    questions::Questions,
    search::Search,
    targets::Targets,
    trying::TRY_EVERY,
  },
  crate::{
    Code,
    counter::Counter,
    datagram::{
      Codec, Flow, Handover, News, Origin, Outbox, Patience, Service, Settings, Spread, Tuning,
      event, frame::Role,
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
  pub(super) fn wake(&mut self, now: Instant) {
    let late = now.saturating_duration_since(self.next_deadline());
    if late < STILL || !self.begun {
      return;
    }
    if now >= self.unsure_until {
      log::info!(late:? = late; "balancer: process stood still.");
    }
    self.unsure_until = now + C::PATIENCE;
  }

  /// Counts what an event has put into `out` on the link.
  fn charged(&mut self, now: Instant, before: usize, out: &Outbox) {
    self.egress.charge(now, out.size() - before);
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
