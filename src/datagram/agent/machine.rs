use {
  super::{
    cold::Cold,
    grants::Grants,
    held::{Held, State},
    work::Work,
  },
  crate::{
    Code, Revision,
    config::Presence,
    counter::Counter,
    datagram::{
      Change, Codec, Flow, Frame, Handover, Head, Load, News, Origin, Outbox, Patience, Settings,
      Spread, Tuning, Upstream, Version, event,
      frame::{Purpose, Role},
      target::Born,
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

/// How often what is long past is forgotten.
const EXPIRE: Duration = Duration::from_secs(2);

/// How long a flow that the upstream sent back is remembered as absent. It is not given packets of
/// it again in that time: each counts as a stray.
const ABSENT_KEPT: Duration = Duration::from_secs(5);

/// A request that was not answered for so long no longer counts as work.
const WORK_MAX: Duration = Duration::from_secs(10);

/// How many targets one frame names.
pub(super) const PAST_MAX: usize = 64;

/// What came with a caller's packet.
pub(super) struct Carried<'a> {
  pub(super) complete: Revision,
  pub(super) from: SocketAddrV4,
  pub(super) head: Head,
  pub(super) packet: &'a [u8],
  pub(super) purpose: Purpose,
  pub(super) version: Version,
}

/// Decides which packets reach an agent's upstream, and sends the upstream's to the callers.
pub struct Machine<C> {
  /// How long callers take from an opening packet to their first request. Some have gone: an idle
  /// place was kept for each of them for 0.3 s.
  pub(super) arrival: Patience,
  /// Which run of the upstream the list names.
  pub(super) born: Option<Born>,
  /// From when on the data centre is closed to new flows.
  pub(super) closed: Option<Instant>,
  pub(super) codec: C,
  pub(super) cold: Cold,
  pub(super) counter: Arc<Counter>,
  pub(super) data_centre: String,
  /// Opened flows whose first request is about to come, and until when they count as work.
  pub(super) expected: BTreeSet<(Instant, Flow)>,
  pub(super) expired: Instant,
  pub(super) flows: HashMap<Flow, Held>,
  /// Until when flows may turn up that this run has not seen opening.
  pub(super) forgetful_until: Instant,
  pub(super) grants: Grants,
  /// What the run before had, as balancers tell it.
  pub(super) handed: Handover,
  pub(super) leaving: bool,
  /// When it was last told of the time.
  pub(super) looked: Instant,
  pub(super) port: u16,
  pub(super) reported: (Instant, Load),
  /// How many requests the upstream works on at once; none before the list says so.
  pub(super) slots: Option<u16>,
  /// Whether the process is about to stop.
  pub(super) stopping: bool,
  pub(super) spread: Spread,
  pub(super) tests: VecDeque<(Instant, Flow)>,
  pub(super) tuning: Tuning,
  pub(super) upstream: Upstream,
  pub(super) work: Work,
}

impl<C: Codec> Machine<C> {
  /// The machine of an agent that has just started beside `upstream`.
  pub fn new(
    now: Instant,
    settings: &Settings,
    upstream: Upstream,
    tuning: Tuning,
    codec: C,
    incarnation: u32,
    counter: Arc<Counter>,
  ) -> Self {
    let spread = Spread::new(now, settings, false, incarnation, tuning);
    let forgetful = if settings.first_start {
      Duration::ZERO
    } else {
      tuning.amnesia
    };
    Self {
      arrival: Patience::new(tuning.expected.0, tuning.expected.1),
      born: None,
      closed: None,
      codec,
      cold: Cold::new(now, settings.first_start),
      counter,
      data_centre: settings.data_centre.clone(),
      expected: BTreeSet::new(),
      expired: now,
      flows: HashMap::new(),
      forgetful_until: now + forgetful,
      grants: Grants::default(),
      handed: Handover::default(),
      leaving: false,
      looked: now,
      port: settings.callers.port(),
      reported: (now, Load::default()),
      slots: None,
      stopping: false,
      spread,
      tests: VecDeque::new(),
      tuning,
      upstream,
      work: Work::default(),
    }
  }

  pub(super) fn take_frame(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    bytes: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let (frame, packet) = Frame::decode(bytes)?;
    if self.spread.is_new(from) {
      // Who speaks first may hold packets until it knows that this run is there.
      let load = self.load(now);
      self.spread.greet(now, Role::Agent(load), from, out);
    }
    match frame {
      Frame::Ask {
        complete,
        flows,
        services,
      } => self.asked(now, from, &flows, &services, complete, out),
      Frame::Backlog { flows, service } => self.take_backlog(now, from, flows, service),
      Frame::Carry {
        complete,
        purpose,
        service,
        version,
      } => {
        let carried = self.carried(from, packet, purpose, complete, version)?;
        self.carry(now, &carried, service, out)
      }
      Frame::Fan {
        agents,
        complete,
        version,
      } => {
        let carried = self.carried(from, packet, Purpose::Test, complete, version)?;
        self.fan_out(now, &carried, &agents, out)
      }
      Frame::Try {
        balancer,
        complete,
        service,
        version,
      } => {
        let carried = self.carried(balancer, packet, Purpose::Test, complete, version)?;
        self.carry(now, &carried, service, out)
      }
      Frame::Handover { flows, part, parts } => {
        self.handed(now, from, flows, part, parts);
        Ok(())
      }
      Frame::Held { flows } => {
        self.reminded(now, from, &flows);
        Ok(())
      }
      Frame::News(news) => {
        self.take_news(now, Origin::Peer(from), news, out);
        Ok(())
      }
      Frame::Status(status) => {
        self.spread.status(now, from, &status);
        Ok(())
      }
      _ => Err(Code::FrameWrongTarget),
    }
  }

  /// What came with a caller's packet that is meant for the upstream.
  fn carried<'a>(
    &self,
    from: SocketAddrV4,
    packet: &'a [u8],
    purpose: Purpose,
    complete: Revision,
    version: Version,
  ) -> Result<Carried<'a>, Code> {
    Ok(Carried {
      complete,
      from,
      head: self.codec.read_from_caller(packet)?,
      packet,
      purpose,
      version,
    })
  }

  pub(super) fn take_news(&mut self, now: Instant, origin: Origin, news: News, out: &mut Outbox) {
    let first = self.spread.catalog().complete() == Revision::default();
    let change = self.spread.news(now, origin, news, out);
    if first {
      // What it says of the upstream may be from before this start.
      self.cold.list(self.spread.catalog().complete());
    }
    self.changed(now, &change);
  }

  pub(super) fn changed(&mut self, now: Instant, change: &Change) {
    if change.is_empty() {
      return;
    }
    self.reconsider(now);
    let Some((id, entry)) = self.spread.catalog().at(self.upstream.address) else {
      return;
    };
    self.slots = Some(entry.target.slots.max(1));
    let born = entry.target.born;
    let leaving = entry.target.presence == Presence::Leaving
      || entry.gone.is_some()
      || entry.target.service != self.upstream.service;
    let leaving = leaving || self.stopping;
    if leaving != self.leaving {
      log::info!(target:% = id, leaving = leaving; "agent: the list says whether it leaves.");
      self.leaving = leaving;
    }
    let before = self.born;
    self.born = born.max(before);
    if before.is_some() && self.born > before {
      self.reborn();
    }
  }

  pub(super) fn load(&self, now: Instant) -> Load {
    Load {
      room: self.room(now),
      ..self.work.load(now, self.flows.len())
    }
  }

  /// How many requests the upstream works on at once; one where that is not known.
  pub(super) fn slots(&self) -> u16 {
    self.slots.unwrap_or(1)
  }

  pub(super) fn look(&mut self, now: Instant, out: &mut Outbox) {
    self.looked = now;
    while let Some((deadline, flow)) = self.tests.front().copied() {
      if deadline > now {
        break;
      }
      self.tests.pop_front();
      self.kept(flow, deadline, out);
    }
    while let Some((deadline, flow)) = self.expected.first().copied() {
      if deadline > now {
        break;
      }
      self.expected.pop_first();
      if let Some(entry) = self.flows.get_mut(&flow)
        && std::mem::take(&mut entry.expected)
      {
        self.work.ended();
      }
    }
    if now >= self.expired + EXPIRE {
      self.expired = now;
      self.expire(now);
    }
    self.work.forget(now);
    let load = self.load(now);
    let role = Role::Agent(load);
    let (reported, before) = self.reported;
    let changed =
      load.work != before.work || load.down != before.down || load.is_full(0) != before.is_full(0);
    if now >= self.spread.deadline() || (changed && now >= reported + self.tuning.report) {
      self.reported = (now, load);
      self.spread.tell_now(now, role, out);
    }
  }

  pub(super) fn expire(&mut self, now: Instant) {
    let idle = self.spread.idle();
    let work = &mut self.work;
    self.flows.retain(|_, entry| {
      let rest = now.saturating_duration_since(entry.seen);
      let kept = match entry.state {
        State::Absent => ABSENT_KEPT,
        _ => idle,
      };
      let overdue = entry
        .waits
        .is_some_and(|since| now.saturating_duration_since(since) >= WORK_MAX);
      let counted = entry.expected || entry.waits.is_some();
      if counted && (overdue || rest >= kept) {
        entry.expected = false;
        entry.waits = None;
        work.ended();
      }
      rest < kept
    });
    self.spread.expire(now);
  }

  /// Whether the load differs from what was told.
  fn load_changed(&self) -> bool {
    let (_, reported) = self.reported;
    let full = self.room(self.looked) == Some(0);
    self.work.under_way() != reported.work || full != reported.is_full(0)
  }
}

impl<C: Codec> event::Machine for Machine<C> {
  fn counter(&self) -> &Counter {
    &self.counter
  }

  fn deadline(&self) -> Instant {
    let test = self.tests.front().map(|(deadline, _)| *deadline);
    let grant = self.grants.deadline();
    let expected = self.expected.first().map(|(deadline, _)| *deadline);
    let status = self.spread.deadline();
    let report = (self.load_changed()).then_some(self.reported.0 + self.tuning.report);
    let room = self.cold.deadline(self.looked, self.warmup());
    [expected, grant, report, room, test]
      .into_iter()
      .flatten()
      .fold(status, Instant::min)
  }

  fn dump(&self, now: Instant) -> serde_json::Value {
    let forgetful = self.forgetful_until.saturating_duration_since(now);
    json!({
      "flows": self.flows.len(),
      "forgetful_ms": forgetful.as_millis() as u64,
      "closed": self.is_closed(now),
      "granted": self.grants.kept(),
      "leaving": self.leaving,
      "load": self.load(now),
      "slots": self.slots,
      "spread": self.spread.dump(now),
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

  /// Whether the upstream has answered all that it was asked: an answer that comes after the end is
  /// lost, and comes again late.
  fn is_quiet(&self) -> bool {
    self.work.under_way() == 0
  }

  fn news(&mut self, now: Instant, origin: Origin, news: News, out: &mut Outbox) {
    self.take_news(now, origin, news, out);
  }

  fn packet(&mut self, now: Instant, packet: &mut [u8], out: &mut Outbox) -> Result<(), Code> {
    let taken = self.take_packet(now, packet, out);
    self.grant(now, out);
    taken
  }

  fn spread(&mut self) -> &mut Spread {
    &mut self.spread
  }

  fn stop(&mut self, now: Instant, _: &mut Outbox) {
    self.stopped(now);
  }

  fn tick(&mut self, now: Instant, out: &mut Outbox) {
    self.look(now, out);
    self.grant(now, out);
  }
}
