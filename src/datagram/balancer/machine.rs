use {
  super::{
    announced::Announced,
    egress::Egress,
    patience::Patience,
    place::{Place, State},
    queries::Queries,
    queue::Queue,
    restarts::Restarts,
    search::Search,
    shedding::Shedding,
    targets::Targets,
    testing::TEST_EVERY,
  },
  crate::{
    Code,
    counter::Counter,
    datagram::{
      Codec, Flow, Gossip, Handover, Origin, Outbox, Service, Settings, Size, Timeout, Tuning,
      Update, event, frame::Role,
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

/// At most how many targets a transmission of an opening packet is sent to, one after another.
pub(super) const TARGETS_MAX: usize = 4;

const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);

/// A timer that fires this late shows that the process was paused. Longer than the 50 ms for which
/// received packets may delay a timer.
const STALL: Duration = Duration::from_millis(150);

/// How long the handover of a stopped agent is kept for its next incarnation.
const HANDOVER_TTL: Duration = Duration::from_secs(30);

/// The state of a balancer, without I/O or clock of its own.
pub struct Machine<C> {
  pub(super) announced: Announced,
  /// The bytes of packets that are buffered while their flows are searched for.
  pub(super) buffered_bytes: usize,
  pub(super) codec: C,
  pub(super) counter: Arc<Counter>,
  /// Flows that all queried agents have denied while this process may not know all targets yet.
  pub(super) denied: BTreeSet<Flow>,
  pub(super) egress: Egress,
  /// The fraction of the evacuation period after which this balancer sends no more new flows to a
  /// closed data centre. It differs between balancers, so that the other data centres don't get all
  /// the load at once: under load, 1.0% of the requests in long flows were late then instead of 0.2%.
  pub(super) evacuation_fraction: f64,
  pub(super) flows: HashMap<Flow, Place>,
  /// Flows of agents that have stopped gracefully, by agent.
  pub(super) handovers: HashMap<SocketAddrV4, Handover>,
  /// Whether timers have run before: if the first run is late, that is a slow start and not a
  /// stall.
  pub(super) has_run: bool,
  pub(super) last_expiry: Instant,
  /// When a packet of each flow was last sent to an agent as a test.
  pub(super) last_tested: HashMap<Flow, Instant>,
  /// The lowest priority among each service's routes; 0 is the highest priority.
  pub(super) lowest_priorities: HashMap<Service, u8>,
  pub(super) open_timeout: Timeout,
  /// When opening packets that are not answered time out.
  pub(super) opening_deadlines: BTreeSet<(Instant, Flow)>,
  pub(super) port: u16,
  pub(super) queries: Queries,
  pub(super) queue: Queue,
  pub(super) restarts: Restarts,
  /// When searches that are not answered time out.
  pub(super) search_deadlines: BTreeSet<(Instant, Flow)>,
  pub(super) searches: HashMap<Flow, Search>,
  pub(super) shedding: Shedding,
  pub(super) gossip: Gossip,
  /// Until when opening packets may be older than they seem, after a stall of this process.
  pub(super) stale_until: Instant,
  pub(super) targets: Targets,
  pub(super) tuning: Tuning,
  /// Flows that all queried agents have denied, and that others may own, until more is known.
  pub(super) unproven: BTreeSet<Flow>,
}

impl<C: Codec> Machine<C> {
  /// Creates the state of a balancer that has just started and knows no target. `incarnation` must
  /// differ from those of its previous incarnations.
  pub fn new(
    now: Instant,
    settings: &Settings,
    tuning: Tuning,
    codec: C,
    incarnation: u32,
    counter: Arc<Counter>,
  ) -> Self {
    let gossip = Gossip::new(now, settings, true, incarnation, tuning);
    Self {
      announced: Announced::default(),
      buffered_bytes: 0,
      codec,
      counter,
      denied: BTreeSet::new(),
      egress: Egress::new(now, settings.link),
      evacuation_fraction: f64::from(incarnation % 1000) / 1000.0,
      flows: HashMap::new(),
      handovers: HashMap::new(),
      has_run: false,
      last_expiry: now,
      last_tested: HashMap::new(),
      lowest_priorities: HashMap::new(),
      open_timeout: Timeout::new(tuning.open_wait, tuning.open_wait),
      opening_deadlines: BTreeSet::new(),
      port: settings.callers.port(),
      queries: Queries::new(now, settings.link),
      queue: Queue::new(now),
      restarts: Restarts::default(),
      search_deadlines: BTreeSet::new(),
      searches: HashMap::new(),
      shedding: Shedding::new(Patience::of::<C>()),
      gossip,
      stale_until: now,
      targets: Targets::new(now, settings.data_centre.clone(), settings.peers, &tuning),
      tuning,
      unproven: BTreeSet::new(),
    }
  }

  /// Checks whether the process was paused. If it was, packets in its sockets may be old, and their
  /// callers may have retransmitted to other balancers meanwhile.
  pub(super) fn note_stall(&mut self, now: Instant) {
    let delay = now.saturating_duration_since(self.next_deadline());
    if delay < STALL || !self.has_run {
      return;
    }
    if now >= self.stale_until {
      log::info!(delay:? = delay; "balancer: process was paused.");
    }
    self.stale_until = now + C::CONNECT_TIMEOUT;
    self.shedding.restart(now);
  }

  /// Accounts for the datagrams that an event has added to `out`, whose size was `before`.
  pub(super) fn charge_link(&mut self, now: Instant, before: Size, out: &Outbox) {
    let size = out.size();
    let datagrams = size.datagrams - before.datagrams;
    self
      .egress
      .charge(now, datagrams, size.bytes - before.bytes);
  }

  fn next_deadline(&self) -> Instant {
    let opening = self
      .opening_deadlines
      .first()
      .map(|(deadline, _)| *deadline);
    let search = self.search_deadlines.first().map(|(deadline, _)| *deadline);
    let status = self.gossip.deadline();
    let queued = self.queue.deadline();
    let egress = self.egress.deadline();
    let restart = self.restarts.deadline();
    [
      egress,
      opening,
      queued,
      restart,
      search,
      self.queries.deadline(),
    ]
    .into_iter()
    .flatten()
    .fold(status, Instant::min)
  }

  /// Runs all timers that are due.
  pub(super) fn run_due(&mut self, now: Instant, out: &mut Outbox) {
    self.note_stall(now);
    self.has_run = true;
    while let Some((deadline, flow)) = self.opening_deadlines.first().copied() {
      if deadline > now {
        break;
      }
      self.opening_deadlines.pop_first();
      self.time_out_opening(now, deadline, flow, out);
    }
    self.request_missing_history(now, out);
    self.conclude_denied(now, out);
    while let Some((deadline, flow)) = self.search_deadlines.first().copied() {
      if deadline > now {
        break;
      }
      self.search_deadlines.pop_first();
      self.retry_search(now, flow, out);
    }
    self.place_queued(now, out);
    self.poll_restarts(now, out);
    let synced = self.gossip.catalog().synced();
    self.queries.send(now, synced, out);
    if now >= self.last_expiry + EXPIRY_INTERVAL {
      self.last_expiry = now;
      self.expire(now);
    }
    if now >= self.gossip.deadline() {
      let agents = self.gossip.take_due_agents(now, &self.targets.agents(now));
      self.gossip.tick(now, Role::Balancer, &agents, out);
      self.targets.note_contacted(now, &agents);
    }
  }

  pub(super) fn expire(&mut self, now: Instant) {
    let idle = self.gossip.idle();
    let dead_ttl = self.tuning.dead;
    self.flows.retain(|_, place| {
      let ttl = match place.state {
        State::Dead => dead_ttl,
        State::Rejected(_) => C::CONNECT_TIMEOUT,
        _ => idle,
      };
      now.saturating_duration_since(place.last_packet) < ttl
    });
    let recent = |at: &mut Instant| now.saturating_duration_since(*at) < TEST_EVERY;
    self.last_tested.retain(|_, at| recent(at));
    self
      .handovers
      .retain(|_, handover| handover.age(now) < HANDOVER_TTL);
    self.gossip.expire(now);
    self.targets.expire(now);
    self.targets.update(self.gossip.catalog());
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
      "admission": self.dump_admission(now),
      "flows": self.flows.len(),
      "parked": self.queue.total(),
      "waiting": self.egress.len(),
      "searches": self.searches.len(),
      "spread": self.gossip.dump(now),
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
    let result = self.take_frame(now, from, bytes, out);
    self.charge_link(now, before, out);
    self.drain_egress(now, out);
    result
  }

  /// Always false: packets arrive until the fabric routes them to other balancers.
  fn is_idle(&self) -> bool {
    false
  }

  fn update(&mut self, now: Instant, origin: Origin, update: Update, out: &mut Outbox) {
    let before = out.size();
    self.take_update(now, origin, update, out);
    self.charge_link(now, before, out);
  }

  fn packet(&mut self, now: Instant, packet: &mut [u8], out: &mut Outbox) -> Result<(), Code> {
    let before = out.size();
    let result = self.take_packet(now, packet, out);
    self.charge_link(now, before, out);
    self.drain_egress(now, out);
    result
  }

  fn gossip(&mut self) -> &mut Gossip {
    &mut self.gossip
  }

  fn stop(&mut self, now: Instant, _: &mut Outbox) {
    self.gossip.stop(now);
  }

  fn tick(&mut self, now: Instant, out: &mut Outbox) {
    let before = out.size();
    self.run_due(now, out);
    self.charge_link(now, before, out);
    self.drain_egress(now, out);
  }
}
