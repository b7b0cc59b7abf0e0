use {
  super::{
    held::{Held, State},
    work::Work,
  },
  crate::{
    Code, Revision,
    config::Presence,
    counter::Counter,
    datagram::{
      Change, Codec, Event, Flow, Frame, Handover, Head, Load, Origin, Outbox, Settings, Spread,
      Tuning, Upstream, Version, Via, event,
      frame::{Known, Purpose, Refusal, Role, Status},
    },
  },
  serde_json::json,
  std::{
    collections::{HashMap, VecDeque},
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
const PAST_MAX: usize = 64;

/// What came with a caller's packet.
struct Carried<'a> {
  complete: Revision,
  from: SocketAddrV4,
  head: Head,
  packet: &'a [u8],
  purpose: Purpose,
  version: Version,
}

/// Decides which packets reach an agent's upstream, and sends the upstream's to the callers.
pub struct Machine<C> {
  codec: C,
  counter: Arc<Counter>,
  /// Opened flows whose first request is about to come, and until when they count as work.
  expected: VecDeque<(Instant, Flow)>,
  expired: Instant,
  flows: HashMap<Flow, Held>,
  /// Until when flows may turn up that this run has not seen opening.
  forgetful_until: Instant,
  /// What the run before had, as balancers tell it.
  handed: Handover,
  leaving: bool,
  port: u16,
  reported: (Instant, Load),
  slots: u16,
  /// Whether the process is about to stop.
  stopping: bool,
  spread: Spread,
  tests: VecDeque<(Instant, Flow)>,
  tuning: Tuning,
  upstream: Upstream,
  work: Work,
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
      codec,
      counter,
      expected: VecDeque::new(),
      expired: now,
      flows: HashMap::new(),
      forgetful_until: now + forgetful,
      handed: Handover::default(),
      leaving: false,
      port: settings.callers.port(),
      reported: (now, Load::default()),
      slots: 1,
      stopping: false,
      spread,
      tests: VecDeque::new(),
      tuning,
      upstream,
      work: Work::default(),
    }
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
      Frame::Carry {
        complete,
        purpose,
        service,
        version,
      } => {
        let head = self.codec.read_from_caller(packet)?;
        let carried = Carried {
          complete,
          from,
          head,
          packet,
          purpose,
          version,
        };
        self.carry(now, &carried, service, out)
      }
      Frame::Held { flows, part, parts } => {
        self.reminded(now, from, flows, part, parts);
        Ok(())
      }
      Frame::News(news) => {
        let change = self.spread.news(now, Origin::Peer(from), news, out);
        self.changed(&change);
        Ok(())
      }
      Frame::Status(status) => {
        self.status(now, from, &status);
        Ok(())
      }
      _ => Err(Code::FrameWrongTarget),
    }
  }

  fn carry(
    &mut self,
    now: Instant,
    carried: &Carried,
    service: u64,
    out: &mut Outbox,
  ) -> Result<(), Code> {
    self.spread.heard(now, carried.from, true);
    if service != self.upstream.service.digest() {
      self.turn_away(now, carried, Refusal::Service, out);
      return Err(Code::FrameWrongService);
    }
    if carried.head.opens {
      self.open(now, carried, out);
    } else {
      self.deliver(now, carried, out);
    }
    Ok(())
  }

  fn open(&mut self, now: Instant, carried: &Carried, out: &mut Outbox) {
    let version = carried.version;
    let flow = carried.head.flow;
    let catalog = self.spread.catalog();
    let dropped =
      catalog.version() > version && catalog.service(&flow.route) != Some(&self.upstream.service);
    if dropped {
      log::info!(
        flow:% = flow, version:% = catalog.version(), sender:% = version;
        "agent: opening packet is for a dropped route."
      );
      self.counter.count(Code::PacketUnroutable);
      return;
    }
    if self.leaving {
      self.turn_away(now, carried, Refusal::Leaving, out);
      return;
    }
    if self.is_too_long(&flow) && !self.flows.contains_key(&flow) {
      self.turn_away(now, carried, Refusal::Busy, out);
      return;
    }
    let entry = self
      .flows
      .entry(flow)
      .or_insert(Held::new(now, State::Opening(None), None));
    if matches!(entry.state, State::Absent | State::Tested { .. }) {
      entry.state = State::Opening(None);
    }
    entry.balancer = Some(carried.from);
    entry.seen = now;
    if !entry.expected && entry.waits.is_none() {
      entry.expected = true;
      self.work.begun();
      let until = now + self.tuning.expected;
      self.expected.push_back((until, flow));
    }
    self.work.asked(now);
    out.packet(Via::Upstream, self.upstream.address, carried.packet);
  }

  /// Takes a packet of a flow that is not being opened.
  fn deliver(&mut self, now: Instant, carried: &Carried, out: &mut Outbox) {
    let flow = carried.head.flow;
    let forgetful = now < self.forgetful_until;
    let Some(entry) = self.flows.get_mut(&flow) else {
      if forgetful {
        self.test(now, carried, out);
      } else {
        absent(carried, self.known(now, carried.complete), out);
      }
      return;
    };
    let opened_here = |sequence: u32| {
      let distance = carried.head.acknowledges.wrapping_sub(sequence);
      distance <= 1
    };
    match entry.state {
      State::Opening(Some(sequence)) if opened_here(sequence) => entry.state = State::Open,
      State::Opening(_) | State::Absent => {
        absent(carried, self.known(now, carried.complete), out);
        return;
      }
      State::Open | State::Tested { .. } => {}
    }
    entry.seen = now;
    entry.balancer = Some(carried.from);
    entry.bytes = entry.bytes.saturating_add(carried.packet.len() as u32);
    if carried.head.data > 0 && entry.waits.is_none() {
      entry.waits = Some(now);
      if !std::mem::take(&mut entry.expected) {
        self.work.begun();
      }
      entry.ahead = self.work.under_way() - 1;
    }
    let tested = matches!(entry.state, State::Tested { .. });
    if carried.purpose == Purpose::Search && !tested {
      out.frame(carried.from, &Frame::Found(flow), &[]);
    }
    out.packet(Via::Upstream, self.upstream.address, carried.packet);
  }

  /// This run does not know the flow, but its upstream may: it is given the packet and sends it
  /// back if it does not.
  fn test(&mut self, now: Instant, carried: &Carried, out: &mut Outbox) {
    let flow = carried.head.flow;
    log::info!(flow:% = flow, from:% = carried.from; "agent: flow is unknown and tested.");
    let deadline = now + self.tuning.test;
    self.tests.push_back((deadline, flow));
    self.flows.insert(
      flow,
      Held::new(
        now,
        State::Tested {
          deadline,
          wanted: carried.purpose == Purpose::Deliver,
        },
        Some(carried.from),
      ),
    );
    out.packet(Via::Upstream, self.upstream.address, carried.packet);
  }

  fn turn_away(&mut self, now: Instant, carried: &Carried, refusal: Refusal, out: &mut Outbox) {
    let flow = carried.head.flow;
    if carried.purpose == Purpose::Open {
      log::info!(flow:% = flow, why:? = refusal; "agent: flow is not opened.");
      let load = self.load(now);
      let frame = Frame::Refused(flow, refusal, load);
      out.frame(carried.from, &frame, &[]);
    } else {
      absent(carried, self.known(now, carried.complete), out);
    }
  }

  /// A packet came from the upstream.
  fn packet(&mut self, now: Instant, packet: &mut [u8], out: &mut Outbox) -> Result<(), Code> {
    let head = self.codec.read_from_upstream(packet)?;
    if head.returned {
      self.codec.restore(packet);
      self.returned(now, &head, packet, out);
      return Ok(());
    }
    self.work.heard();
    self.answered(now, &head, packet.len(), out);
    let to = SocketAddrV4::new(*head.flow.caller.ip(), self.port);
    out.packet(Via::Callers, to, packet);
    Ok(())
  }

  /// Learns from a packet on its way to a caller.
  fn answered(&mut self, now: Instant, head: &Head, length: usize, out: &mut Outbox) {
    let flow = head.flow;
    let load = self.load(now);
    let entry = self
      .flows
      .entry(flow)
      .or_insert(Held::new(now, State::Open, None));
    entry.seen = now;
    entry.bytes = entry.bytes.saturating_add(length as u32);
    if head.opens {
      entry.state = State::Opening(Some(head.sequence));
      if let Some(balancer) = entry.balancer {
        out.frame(balancer, &Frame::Opened(flow, load), &[]);
      }
      return;
    }
    if let (State::Tested { .. }, Some(balancer)) = (entry.state, entry.balancer) {
      out.frame(balancer, &Frame::Found(flow), &[]);
    }
    if !matches!(entry.state, State::Opening(_)) {
      entry.state = State::Open;
    }
    if head.data == 0 && !head.resets && !head.ends {
      return;
    }
    if let Some(since) = entry.waits.take() {
      if head.data > 0 {
        self.work.moved(f64::from(entry.bytes));
        entry.bytes = 0;
        let time = now.saturating_duration_since(since);
        self.counter.observe("answer", time);
        self.work.answered(time, entry.ahead, self.slots);
      } else {
        self.work.ended();
      }
    }
  }

  /// The upstream sent a packet back.
  fn returned(&mut self, now: Instant, head: &Head, packet: &[u8], out: &mut Outbox) {
    let flow = head.flow;
    self.work.heard();
    let entry = self.flows.get(&flow).copied();
    if entry.is_some_and(|entry| entry.waits.is_some() || entry.expected) {
      self.work.ended();
    }
    log::info!(
      flow:% = flow, opens = head.opens, state:? = entry.map(|entry| entry.state);
      "agent: upstream does not hold the flow."
    );
    let balancer = entry.and_then(|entry| entry.balancer);
    if head.opens {
      self.flows.remove(&flow);
      if let Some(balancer) = balancer {
        let frame = Frame::Refused(flow, Refusal::Full, self.load(now));
        out.frame(balancer, &frame, &[]);
      }
      return;
    }
    self
      .flows
      .insert(flow, Held::new(now, State::Absent, balancer));
    let wanted = !matches!(
      entry.map(|entry| entry.state),
      Some(State::Tested { wanted: false, .. })
    );
    if let Some(balancer) = balancer {
      let packet = if wanted { packet } else { &[] };
      let frame = Frame::Absent(flow, self.known(now, Revision::default()));
      out.frame(balancer, &frame, packet);
    }
  }

  /// A balancer says which flows this agent had before it started again.
  fn reminded(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flows: Vec<Flow>,
    part: u16,
    parts: u16,
  ) {
    for flow in &flows {
      let before = Held::new(now, State::Open, Some(from));
      self.flows.entry(*flow).or_insert(before);
    }
    if now < self.forgetful_until && self.handed.take(part, parts, flows) {
      log::info!(from:% = from, flows = self.flows.len(); "agent: all flows are known again.");
      self.forgetful_until = now;
    }
  }

  /// Hands the flows to balancers, for the next run, and takes no new ones.
  fn stop(&mut self, now: Instant, out: &mut Outbox) {
    self.spread.stop(now);
    self.leaving = true;
    self.stopping = true;
    if now < self.forgetful_until {
      return;
    }
    let held = self.flows.iter();
    let held = held.filter(|(_, entry)| entry.state == State::Open);
    let handover = held.map(|(flow, _)| *flow).collect::<Handover>();
    for balancer in self.spread.balancers(now) {
      handover.send(balancer, out);
    }
  }

  fn status(&mut self, now: Instant, from: SocketAddrV4, status: &Status) {
    self.spread.status(now, from, status);
  }

  fn changed(&mut self, change: &Change) {
    if change.is_empty() {
      return;
    }
    let Some((id, entry)) = self.spread.catalog().at(self.upstream.address) else {
      return;
    };
    self.slots = entry.target.slots.max(1);
    let leaving = entry.target.presence == Presence::Leaving
      || entry.gone.is_some()
      || entry.target.service != self.upstream.service;
    let leaving = leaving || self.stopping;
    if leaving != self.leaving {
      log::info!(target:% = id, leaving = leaving; "agent: the list says whether it leaves.");
      self.leaving = leaving;
    }
  }

  /// Whether a new flow's request would be answered too late.
  fn is_too_long(&self, flow: &Flow) -> bool {
    let Some(route) = self.spread.catalog().route(&flow.route) else {
      return false;
    };
    let objective_ms = route.objective.as_secs_f64() * 1000.0;
    self.work.wait_ms(self.slots) > objective_ms * self.tuning.wait_part
  }

  /// What is known here of where else a flow of this service may be.
  fn known(&self, now: Instant, asker: Revision) -> Known {
    let same = asker == self.spread.catalog().complete();
    let entries = self.spread.catalog().entries();
    let past = entries.filter_map(|(_, entry)| {
      let age = match entry.gone {
        Some(gone) => now.saturating_duration_since(gone),
        None if same => return None,
        None => Duration::ZERO,
      };
      let target = &entry.target;
      let counts =
        target.service == self.upstream.service && target.address != self.upstream.address;
      counts.then_some((target.address, age.as_millis() as u32))
    });
    Known {
      complete: self.spread.catalog().complete(),
      past: past.take(PAST_MAX).collect(),
    }
  }

  fn load(&self, now: Instant) -> Load {
    self.work.load(now, self.flows.len())
  }

  fn tick(&mut self, now: Instant, out: &mut Outbox) {
    while let Some((deadline, flow)) = self.tests.front().copied() {
      if deadline > now {
        break;
      }
      self.tests.pop_front();
      self.kept(flow, deadline, out);
    }
    while let Some((deadline, flow)) = self.expected.front().copied() {
      if deadline > now {
        break;
      }
      self.expected.pop_front();
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
    let load = self.load(now);
    let role = Role::Agent(load);
    let (reported, before) = self.reported;
    let changed = load.work.abs_diff(before.work) > 0 || load.down != before.down;
    if now >= self.spread.deadline() || (changed && now >= reported + self.tuning.report) {
      self.reported = (now, load);
      self.spread.tell_now(now, role, out);
    }
  }

  /// The upstream did not send a tested packet back: it has the flow.
  fn kept(&mut self, flow: Flow, deadline: Instant, out: &mut Outbox) {
    let Some(entry) = self.flows.get_mut(&flow) else {
      return;
    };
    if !matches!(entry.state, State::Tested { deadline: own, .. } if own == deadline) {
      return;
    }
    entry.state = State::Open;
    log::info!(flow:% = flow; "agent: tested flow was not sent back.");
    if let Some(balancer) = entry.balancer {
      out.frame(balancer, &Frame::Found(flow), &[]);
    }
  }

  fn expire(&mut self, now: Instant) {
    let idle = self.spread.catalog().configuration();
    let idle = idle.map_or(self.tuning.idle, |entry| {
      entry.idle.max(Duration::from_secs(1))
    });
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
        self.stop(now, out);
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
    let test = self.tests.front().map(|(deadline, _)| *deadline);
    let status = self.spread.deadline();
    let report = (self.load_changed()).then_some(self.reported.0 + self.tuning.report);
    [test, report]
      .into_iter()
      .flatten()
      .fold(status, Instant::min)
  }

  fn dump(&self, now: Instant) -> serde_json::Value {
    let forgetful = self.forgetful_until.saturating_duration_since(now);
    json!({
      "flows": self.flows.len(),
      "forgetful_ms": forgetful.as_millis() as u64,
      "leaving": self.leaving,
      "load": self.load(now),
      "slots": self.slots,
      "spread": self.spread.dump(now),
      "upstream": self.upstream,
    })
  }

  fn spread(&mut self) -> &mut Spread {
    &mut self.spread
  }
}

impl<C: Codec> Machine<C> {
  fn load_changed(&self) -> bool {
    self.work.under_way() != self.reported.1.work
  }
}

/// Tells a balancer that a flow is not here.
fn absent(carried: &Carried, known: Known, out: &mut Outbox) {
  let packet = match carried.purpose {
    Purpose::Deliver => carried.packet,
    Purpose::Open | Purpose::Search => &[],
  };
  let frame = Frame::Absent(carried.head.flow, known);
  out.frame(carried.from, &frame, packet);
}
