use {
  super::{
    cold::Cold,
    flow_entry::{FlowEntry, FlowState},
    grants::Grants,
    work::Work,
  },
  crate::{
    Code, Revision,
    config::Presence,
    counter::Counter,
    datagram::{
      Change, Codec, Flow, Frame, Gossip, Handover, Head, Load, Origin, Outbox, Settings, Timeout,
      Tuning, Update, Upstream, Version, event,
      frame::{Handling, Role},
      target::StartTime,
    },
  },
  serde_json::json,
  std::{
    collections::{BTreeSet, HashMap, VecDeque},
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// How often idle flows are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);

/// How long a flow that the upstream bounced is remembered as absent. Meanwhile the upstream is
/// given none of the flow's packets, since it would count each as a stray packet.
const ABSENT_TTL: Duration = Duration::from_secs(5);

/// A request that is unanswered for so long no longer counts as in flight.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The most targets that one answer names as possible owners of a flow.
pub(super) const KNOWN_MAX: usize = 64;

/// A caller's packet that a balancer has forwarded.
pub(super) struct CallerPacket<'a> {
  /// The balancer that the outcome is reported to.
  pub(super) balancer: SocketAddrV4,
  pub(super) bytes: &'a [u8],
  /// The revision up to which the balancer knows the target list.
  pub(super) synced: Revision,
  pub(super) head: Head,
  /// What the agent is to do with the packet.
  pub(super) handling: Handling,
  /// The version of the balancer's configuration.
  pub(super) version: Version,
}

/// An agent as a state machine without I/O: delivers callers' packets to its upstream and the
/// upstream's packets to callers.
pub struct Machine<C> {
  /// Opened flows whose first request is expected, with the time until which each counts as a
  /// request in flight.
  pub(super) awaiting_request: BTreeSet<(Instant, Flow)>,
  /// The start time of the upstream's incarnation; none where the target list states none.
  pub(super) start_time: Option<StartTime>,
  /// The UDP port at which callers receive packets.
  pub(super) callers_port: u16,
  /// From when on new flows are refused since the data centre is closed; none while it is open.
  pub(super) closed_from: Option<Instant>,
  pub(super) codec: C,
  pub(super) cold: Cold,
  pub(super) counter: Arc<Counter>,
  pub(super) data_centre: String,
  /// Adaptive timeout from a flow's opening packet to its first request.
  pub(super) first_request_timeout: Timeout,
  pub(super) flows: HashMap<Flow, FlowEntry>,
  pub(super) grants: Grants,
  /// The parts of the previous incarnation's handover that have come.
  pub(super) handover: Handover,
  pub(super) last_expiry: Instant,
  pub(super) last_report: Instant,
  /// When due work was last done.
  pub(super) last_run: Instant,
  /// Whether the upstream is draining: it takes no new flows and keeps its old ones.
  pub(super) leaving: bool,
  /// Until when flows of a previous incarnation may appear that this one does not know.
  pub(super) recovering_until: Instant,
  /// The load that was last sent to balancers.
  pub(super) reported_load: Load,
  /// How many requests the upstream works on at once; none before the target list has come.
  pub(super) slots: Option<u16>,
  /// Whether the process is shutting down.
  pub(super) stopping: bool,
  pub(super) gossip: Gossip,
  /// Flow tests by their deadlines, the earliest first; some may have ended before.
  pub(super) tests: VecDeque<(Instant, Flow)>,
  pub(super) tuning: Tuning,
  pub(super) upstream: Upstream,
  pub(super) work: Work,
}

impl<C: Codec> Machine<C> {
  /// The state of an agent that has just started on the same instance as `upstream`.
  pub fn new(
    now: Instant,
    settings: &Settings,
    upstream: Upstream,
    tuning: Tuning,
    codec: C,
    incarnation: u32,
    counter: Arc<Counter>,
  ) -> Self {
    let gossip = Gossip::new(now, settings, false, incarnation, tuning);
    let recovering = if settings.first_start {
      Duration::ZERO
    } else {
      tuning.flow_lifetime
    };
    Self {
      awaiting_request: BTreeSet::new(),
      start_time: None,
      callers_port: settings.callers.port(),
      closed_from: None,
      codec,
      cold: Cold::new(now, settings.first_start),
      counter,
      data_centre: settings.data_centre.clone(),
      first_request_timeout: Timeout::new(tuning.arrival_min, tuning.arrival_initial),
      flows: HashMap::new(),
      grants: Grants::new(tuning.overload.enabled),
      handover: Handover::default(),
      last_expiry: now,
      last_report: now,
      last_run: now,
      leaving: false,
      recovering_until: now + recovering,
      reported_load: Load::default(),
      slots: None,
      stopping: false,
      gossip,
      tests: VecDeque::new(),
      tuning,
      upstream,
      work: Work::new(tuning.overload),
    }
  }

  /// Takes a frame of another process and sends the answers to it.
  ///
  /// # Errors
  ///
  /// A code where the frame or the packet in it can't be read, or is meant for another target.
  pub(super) fn take_frame(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    bytes: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let (frame, packet) = Frame::decode(bytes)?;
    if self.gossip.is_new(from) {
      // A balancer may buffer packets until it knows that this incarnation has started.
      let role = self.role(self.load(now));
      self.gossip.send_status(now, role, from, out);
    }
    match frame {
      Frame::Query {
        synced,
        flows,
        services,
      } => self.answer_query(now, from, &flows, &services, synced, out),
      Frame::Backlog { service, classes } => self.set_backlog(now, from, service, &classes),
      Frame::Carry {
        synced,
        handling,
        service,
        version,
      } => {
        let packet = self.read_caller_packet(from, packet, handling, synced, version)?;
        self.take_caller_packet(now, &packet, service, out)
      }
      Frame::FanOut {
        agents,
        synced,
        version,
      } => {
        let packet = self.read_caller_packet(from, packet, Handling::Test, synced, version)?;
        self.fan_out(now, &packet, &agents, out)
      }
      Frame::Test {
        balancer,
        synced,
        service,
        version,
      } => {
        let packet = self.read_caller_packet(balancer, packet, Handling::Test, synced, version)?;
        self.take_caller_packet(now, &packet, service, out)
      }
      Frame::Handover { flows, part, parts } => {
        self.take_handover(now, from, flows, part, parts);
        Ok(())
      }
      Frame::Restore { flows } => {
        self.restore_flows(now, from, &flows);
        Ok(())
      }
      Frame::Update(update) => {
        self.take_update(now, Origin::Peer(from), update, out);
        Ok(())
      }
      Frame::HistoryRequest => {
        let flows_known = now >= self.recovering_until;
        self.gossip.send_history(now, from, flows_known, out);
        Ok(())
      }
      Frame::History(history) => {
        self.gossip.take_history(now, from, &history);
        Ok(())
      }
      Frame::Status(status) => {
        self.gossip.handle_status(now, from, &status);
        if !self.is_in_target_list() {
          // Balancers that have started do not know this agent.
          self.gossip.add_balancers(now, &status.balancers);
        }
        self.gossip.request_history(now, from, out);
        Ok(())
      }
      _ => Err(Code::FrameWrongTarget),
    }
  }

  /// Reads the head of a caller's packet that `balancer` has forwarded.
  fn read_caller_packet<'a>(
    &self,
    balancer: SocketAddrV4,
    bytes: &'a [u8],
    handling: Handling,
    synced: Revision,
    version: Version,
  ) -> Result<CallerPacket<'a>, Code> {
    Ok(CallerPacket {
      balancer,
      bytes,
      synced,
      head: self.codec.read_from_caller(bytes)?,
      handling,
      version,
    })
  }

  /// Applies an update of the platform's records.
  pub(super) fn take_update(
    &mut self,
    now: Instant,
    origin: Origin,
    update: Update,
    out: &mut Outbox,
  ) {
    let first = self.gossip.catalog().synced() == Revision::default();
    let change = self.gossip.update(now, origin, update, out);
    if first {
      // The first target list may have been written before a suspected restart.
      self.cold.extend_suspicion(self.gossip.catalog().synced());
    }
    self.apply_change(now, &change);
  }

  /// Applies a change of the catalog to the upstream's state: slots, draining, warm-up,
  /// incarnation.
  pub(super) fn apply_change(&mut self, now: Instant, change: &Change) {
    if change.is_empty() {
      return;
    }
    self.update_admission(now);
    let leaving = self.is_leaving();
    if leaving != self.leaving {
      log::info!(
        target:% = self.upstream.address, leaving = leaving, listed = self.is_listed();
        "agent: upstream started or stopped draining."
      );
      self.leaving = leaving;
    }
    let Some(entry) = self.gossip.catalog().entry_of(&self.upstream) else {
      return;
    };
    self.slots = Some(entry.target.slots.max(1));
    let start_time = entry.target.start_time;
    let previous = self.start_time;
    self.start_time = start_time.max(previous);
    if previous.is_some() && self.start_time > previous {
      self.upstream_restarted();
    }
  }

  /// Whether the target list has an entry of the upstream, present or removed.
  pub(super) fn is_listed(&self) -> bool {
    self.gossip.catalog().entry_of(&self.upstream).is_some()
  }

  /// Whether the target list has the upstream.
  fn is_in_target_list(&self) -> bool {
    let entry = self.gossip.catalog().entry_of(&self.upstream);
    entry.is_some_and(|entry| entry.removed.is_none())
  }

  /// Whether the upstream takes no new flows: the process is shutting down, or the target list says
  /// that the upstream is draining or doesn't list it. A target that was removed before its agent
  /// received the first list has no entry there.
  fn is_leaving(&self) -> bool {
    let catalog = self.gossip.catalog();
    let Some(entry) = catalog.entry_of(&self.upstream) else {
      return self.stopping || catalog.synced() > Revision::default();
    };
    self.stopping || entry.target.presence == Presence::Leaving || entry.removed.is_some()
  }

  /// The load that is reported to balancers.
  pub(super) fn load(&self, now: Instant) -> Load {
    Load {
      room: self.room(now),
      waiting: self.waiting(now),
      ..self.work.load(now, self.flows.len(), self.slots())
    }
  }

  /// The role that is reported with a load.
  fn role(&self, load: Load) -> Role {
    Role::Agent {
      load,
      upstream: self.upstream.identity(),
    }
  }

  /// How many requests the upstream works on at once; one before the target list has come.
  pub(super) fn slots(&self) -> u16 {
    self.slots.unwrap_or(1)
  }

  /// Does what is due: ends tests, drops counted requests that did not come, removes idle flows and
  /// reports the load.
  pub(super) fn run_due(&mut self, now: Instant, out: &mut Outbox) {
    self.last_run = now;
    while let Some((deadline, flow)) = self.tests.front().copied() {
      if deadline > now {
        break;
      }
      self.tests.pop_front();
      self.conclude_test(flow, deadline, out);
    }
    while let Some((deadline, flow)) = self.awaiting_request.first().copied() {
      if deadline > now {
        break;
      }
      self.awaiting_request.pop_first();
      if let Some(entry) = self.flows.get_mut(&flow)
        && std::mem::take(&mut entry.awaits_request)
      {
        self.work.end();
      }
    }
    if now >= self.last_expiry + EXPIRY_INTERVAL {
      self.last_expiry = now;
      self.expire(now);
    }
    self.work.expire_measurements(now);
    let load = self.load(now);
    let role = self.role(load);
    let before = self.reported_load;
    let slots = self.slots();
    let changed = load.work != before.work
      || load.down != before.down
      || load.is_full(0) != before.is_full(0)
      || (load.waiting > slots) != (before.waiting > slots)
      || (self.tuning.overload.enabled && load.has_other_speed(&before));
    if now >= self.gossip.deadline() || (changed && now >= self.last_report + self.tuning.report) {
      self.last_report = now;
      self.reported_load = load;
      self.gossip.broadcast_status(now, role, out);
    }
  }

  /// Removes flows that were idle for too long, and stops counting requests that are overdue.
  pub(super) fn expire(&mut self, now: Instant) {
    let idle = self.gossip.idle();
    let work = &mut self.work;
    self.flows.retain(|flow, entry| {
      let idle_for = now.saturating_duration_since(entry.last_packet);
      let ttl = match entry.state {
        FlowState::Absent => ABSENT_TTL,
        _ => idle,
      };
      let overdue = entry
        .unanswered_since
        .is_some_and(|since| now.saturating_duration_since(since) >= REQUEST_TIMEOUT);
      let counted = entry.awaits_request || entry.unanswered_since.is_some();
      if counted && (overdue || idle_for >= ttl) {
        entry.awaits_request = false;
        entry.unanswered_since = None;
        work.forget(flow);
        work.end();
      }
      idle_for < ttl
    });
    self.gossip.expire(now);
  }

  /// Whether the number of requests in flight, whether the upstream has room for new flows, or
  /// whether only flows with a grant are opened, has changed since the last report.
  fn load_changed(&self) -> bool {
    let reported = self.reported_load;
    let full = self.room(self.last_run) == Some(0);
    let grants_only = self.grants_only(self.last_run);
    self.work.in_flight() != reported.work
      || full != reported.is_full(0)
      || grants_only != (reported.waiting > self.slots())
  }
}

impl<C: Codec> event::Machine for Machine<C> {
  fn counter(&self) -> &Counter {
    &self.counter
  }

  fn deadline(&self) -> Instant {
    let test = self.tests.front().map(|(deadline, _)| *deadline);
    let grant = self.grants.deadline();
    let request = self.awaiting_request.first().map(|(deadline, _)| *deadline);
    let status = self.gossip.deadline();
    let report = (self.load_changed()).then_some(self.last_report + self.tuning.report);
    let room = self.cold.deadline(self.last_run, self.warmup());
    let overdue = self.work.overdue_at(self.last_run, self.tuning.report);
    [grant, overdue, report, request, room, test]
      .into_iter()
      .flatten()
      .fold(status, Instant::min)
  }

  fn dump(&self, now: Instant) -> serde_json::Value {
    let recovering = self.recovering_until.saturating_duration_since(now);
    json!({
      "flows": self.flows.len(),
      "forgetful_ms": recovering.as_millis() as u64,
      "closed": self.is_closed(now),
      "demand": self.grants.dump(),
      "granted": self.grants.reserved(),
      "leaving": self.leaving,
      "load": self.load(now),
      "slots": self.slots,
      "spread": self.gossip.dump(now),
      "upstream": self.upstream,
    })
  }

  fn end(&mut self, now: Instant, out: &mut Outbox) {
    self.hand_over(now, out);
  }

  fn frame(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    bytes: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let taken = self.take_frame(now, from, bytes, out);
    self.grant(now, out);
    taken
  }

  /// Whether the upstream has answered all requests: an answer that comes after this process has
  /// ended is lost until it is retransmitted.
  fn is_idle(&self) -> bool {
    self.work.in_flight() == 0
  }

  fn update(&mut self, now: Instant, origin: Origin, update: Update, out: &mut Outbox) {
    self.take_update(now, origin, update, out);
  }

  fn packet(&mut self, now: Instant, packet: &mut [u8], out: &mut Outbox) -> Result<(), Code> {
    let taken = self.take_packet(now, packet, out);
    self.grant(now, out);
    taken
  }

  fn gossip(&mut self) -> &mut Gossip {
    &mut self.gossip
  }

  fn stop(&mut self, now: Instant, _: &mut Outbox) {
    self.begin_shutdown(now);
  }

  fn tick(&mut self, now: Instant, out: &mut Outbox) {
    self.run_due(now, out);
    self.grant(now, out);
  }
}
