use {
  super::{comparison::Comparison, evacuations::Evacuations, selection::Report},
  crate::{
    Revision,
    config::Presence,
    datagram::{
      Agents, Entry, Flow, Load, Service, Tuning, Warmup,
      frame::{Refusal, Status},
      target::{Identity, StartTime},
      uneven::Crossing,
    },
  },
  serde_json::json,
  std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
  },
};

/// How long a target that was removed from the target list is still used if no other is available:
/// the platform may have dropped it although it runs, and lists it again within two seconds.
pub(super) const REMOVAL_GRACE: Duration = Duration::from_secs(2);

/// How long queued flows are not sent to a target that has refused one: several tries fit in the
/// time after which a caller retransmits.
const REFUSAL_INTERVAL: Duration = Duration::from_millis(25);

/// Whether an agent answers the statuses that this process sends it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contact {
  /// When it was first sent a status; none if it was sent none.
  pub(super) since: Option<Instant>,
  /// When a status or load last came from it.
  pub(super) last_heard: Option<Instant>,
}

impl Contact {
  /// Since when it has been silent; none if nothing was sent that it could have answered.
  fn silent_since(&self) -> Option<Instant> {
    self.last_heard.or(self.since)
  }
}

/// What a balancer knows of a target.
#[derive(Clone, Debug)]
pub struct TargetState {
  /// Start time of the upstream's incarnation that is listed.
  pub(super) start_time: Option<StartTime>,
  /// The name of its data centre.
  pub data_centre: String,
  /// When it was removed from the target list.
  pub removed: Option<Instant>,
  pub(super) contact: Contact,
  /// What distinguishes it from other entries of its instance.
  pub(super) identity: Identity,
  incarnation: Option<u32>,
  /// Whether this data centre sends new flows to that of the target.
  pub(super) crossing: Crossing,
  pub(super) load: Load,
  /// When a flow last failed to open there: it timed out, or the upstream was down, full or of
  /// another service.
  pub(super) open_failed: Option<Instant>,
  /// The number of opening packets sent there that its reported load does not include yet.
  pub(super) pending: u16,
  pub(super) presence: Presence,
  /// When its agent last refused a new flow for another reason than its load.
  pub(super) refused: Option<Instant>,
  /// Whether its agent, too, knows that it was removed.
  pub(super) removal_confirmed: bool,
  pub(super) service: Service,
  pub(super) slots: u16,
  /// The revision at which it was listed, if that was when it started.
  pub(super) started: Option<Revision>,
  /// How many times as long as the median of its service it takes, by kinds of work; none if
  /// unknown.
  pub(super) speed: Option<f64>,
  pub(super) stopping: bool,
  /// Whether this incarnation of the upstream has been measured.
  pub(super) was_measured: bool,
}

impl TargetState {
  pub(super) fn new(entry: &Entry) -> Self {
    Self {
      start_time: entry.target.start_time,
      data_centre: String::new(),
      removed: None,
      contact: Contact::default(),
      identity: entry.target.identity(),
      incarnation: None,
      crossing: Crossing::default(),
      load: Load::default(),
      open_failed: None,
      pending: 0,
      presence: entry.target.presence,
      refused: None,
      removal_confirmed: false,
      service: entry.target.service.clone(),
      slots: 1,
      started: None,
      speed: None,
      stopping: false,
      was_measured: false,
    }
  }

  /// The number of its requests, with those that are on their way.
  pub(super) fn in_flight(&self) -> u16 {
    self.load.work.saturating_add(self.pending)
  }

  /// The state of the target that an entry describes, if that is another one on the same instance.
  /// What is known of the instance's agent is kept.
  pub(super) fn renewed(self, entry: &Entry) -> Self {
    if self.identity == entry.target.identity() {
      return self;
    }
    Self {
      contact: self.contact,
      incarnation: self.incarnation,
      stopping: self.stopping,
      ..Self::new(entry)
    }
  }

  pub(super) fn updated(mut self, entry: &Entry) -> Self {
    if self.removed.is_some() && entry.removed.is_none() {
      self.open_failed = None;
    }
    if entry.target.start_time > self.start_time {
      // The load of the previous incarnation does not apply to this one.
      self.load = Load::default();
      self.speed = None;
      self.was_measured = false;
      self.pending = 0;
      self.open_failed = None;
    }
    self.start_time = entry.target.start_time.max(self.start_time);
    self.data_centre.clone_from(&entry.target.data_centre);
    self.removed = entry.removed;
    if self.removed.is_none() {
      self.removal_confirmed = false;
    }
    self.presence = entry.target.presence;
    self.service = entry.target.service.clone();
    self.slots = entry.target.slots.max(1);
    self.started = entry.target.started;
    self
  }
}

/// What a status shows about an agent's incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncarnationChange {
  /// The first one seen.
  First,
  /// Another than before: the agent has restarted.
  Restarted,
  /// The same as before.
  Same,
}

/// A target that was removed from the target list before this process saw it there.
#[derive(Clone, Debug)]
pub(super) struct FormerTarget {
  pub(super) contact: Contact,
  pub(super) removed: Instant,
}

/// All targets that a balancer knows, listed or removed.
#[derive(Debug)]
pub struct Targets {
  /// The balancer's own address.
  pub(super) address: SocketAddrV4,
  pub(super) by_agent: BTreeMap<SocketAddrV4, TargetState>,
  /// What the loads of each service's targets show; empty without overload control.
  pub(super) comparisons: BTreeMap<Service, Comparison>,
  pub(super) evacuations: Evacuations,
  pub(super) data_centre: String,
  /// Targets that were removed before this process saw them listed, by agent.
  pub(super) former: BTreeMap<SocketAddrV4, FormerTarget>,
  /// The revision of the newest listed entry of each agent's instance.
  pub(super) listed: HashMap<SocketAddrV4, Revision>,
  /// What processes report about their upstreams.
  pub(super) reports: HashMap<SocketAddrV4, Report>,
  pub(super) services: BTreeMap<Service, Vec<SocketAddrV4>>,
  /// When a frame last came from any process.
  last_frame: Instant,
  /// Since when this process has been reachable.
  reachable_since: Instant,
  /// The revision from which on all services of routes are known, as in the catalog.
  pub(super) routes_known_from: Option<Revision>,
  pub(super) tuning: Tuning,
  /// The services of listed entries that may be those of targets, although others of their instances
  /// were selected before the agents there have reported their upstreams.
  pub(super) undecided: BTreeSet<Service>,
  /// Agents that send their status but whose targets are neither listed nor reported as removed,
  /// with the time of the last status.
  pub(super) unlisted: BTreeMap<SocketAddrV4, Instant>,
  /// The rates at which warming-up targets accept new flows.
  pub(super) warmups: BTreeMap<Service, Warmup>,
}

impl Targets {
  /// No targets. `address` and `data_centre` are the balancer's own; agents receive frames at the same
  /// port.
  pub fn new(now: Instant, data_centre: String, address: SocketAddrV4, tuning: &Tuning) -> Self {
    Self {
      address,
      by_agent: BTreeMap::new(),
      comparisons: BTreeMap::new(),
      evacuations: Evacuations::default(),
      data_centre,
      former: BTreeMap::new(),
      listed: HashMap::new(),
      reports: HashMap::new(),
      services: BTreeMap::new(),
      last_frame: now,
      reachable_since: now,
      routes_known_from: None,
      tuning: *tuning,
      undecided: BTreeSet::new(),
      unlisted: BTreeMap::new(),
      warmups: BTreeMap::new(),
    }
  }

  /// The agents of all targets that may run, by where they are.
  pub fn agents(&self, now: Instant) -> Agents {
    let mut agents = Agents {
      former: self.former_agents(now),
      ..Agents::default()
    };
    let listed = self.by_agent.iter();
    for (agent, target) in listed.filter(|(_, target)| target.removed.is_none()) {
      if target.data_centre == self.data_centre {
        agents.local.push(*agent);
      } else {
        agents.remote.push(*agent);
      }
    }
    agents
  }

  /// How long ago an agent's last frame came, in milliseconds; none if none has come.
  pub fn age_ms(&self, now: Instant, agent: SocketAddrV4) -> Option<u64> {
    let heard = self.by_agent.get(&agent)?.contact.last_heard?;
    Some(now.saturating_duration_since(heard).as_millis() as u64)
  }

  /// Whether a target of a service on an instance is known, listed or removed.
  pub fn has(&self, service: &Service, instance: Ipv4Addr) -> bool {
    let agents = self.services.get(service);
    agents.is_some_and(|agents| agents.contains(&self.agent_on(instance)))
  }

  /// The service of an agent's target; none if the agent is not known.
  pub fn service(&self, agent: SocketAddrV4) -> Option<&Service> {
    self.by_agent.get(&agent).map(|target| &target.service)
  }

  /// The agents that may own a flow of some services: those of listed, removed and unlisted
  /// targets. A removed target may still run; if no process remembers it, its agent still reports
  /// itself.
  pub fn holders(&self, services: &[Service]) -> impl Iterator<Item = SocketAddrV4> {
    let holders = services.iter();
    let holders = holders.filter_map(|service| self.services.get(service));
    holders.flatten().chain(self.unlisted.keys()).copied()
  }

  /// Whether an agent's target is known to be in this data centre.
  pub fn is_local(&self, agent: SocketAddrV4) -> bool {
    let target = self.by_agent.get(&agent);
    target.is_some_and(|target| target.data_centre == self.data_centre)
  }

  /// The agents of `holders` that are in this data centre.
  pub fn local_holders(&self, services: &[Service]) -> impl Iterator<Item = SocketAddrV4> {
    self.holders(services).filter(|agent| self.is_local(*agent))
  }

  /// The agents of targets that are not listed and may still run. Their flows depend on them, so
  /// that they are sent statuses, too.
  fn former_agents(&self, now: Instant) -> Vec<SocketAddrV4> {
    let removed = self.by_agent.iter();
    let removed = removed.filter(|(_, target)| target.removed.is_some());
    let removed = removed.map(|(agent, _)| *agent);
    let agents = removed.chain(self.former.keys().copied());
    let alive = agents.filter(|agent| !self.is_lost(now, *agent, now));
    alive.chain(self.unlisted.keys().copied()).collect()
  }

  /// Records that a frame came from any process. If this one was cut off before, the silence of
  /// agents counts from now on.
  pub fn note_frame(&mut self, now: Instant) {
    if self.is_cut_off(now) {
      self.reachable_since = now;
    }
    self.last_frame = now;
  }

  /// Whether no frame has come for two intervals of statuses: this process is cut off or was paused,
  /// and the silence of agents shows nothing.
  fn is_cut_off(&self, now: Instant) -> bool {
    now.saturating_duration_since(self.last_frame) >= 2 * self.tuning.status
  }

  /// Whether the agent of a target that is not listed was never sent a status.
  pub fn has_uncontacted(&self) -> bool {
    let removed = self.by_agent.values();
    let removed = removed.filter(|target| target.removed.is_some());
    let contacts = removed.map(|target| &target.contact);
    let mut contacts = contacts.chain(self.former.values().map(|former| &former.contact));
    contacts.any(|contact| contact.silent_since().is_none())
  }

  /// Records that agents are sent a status.
  pub fn note_contacted(&mut self, now: Instant, agents: &[SocketAddrV4]) {
    for agent in agents {
      let listed = self.by_agent.get_mut(agent);
      let former = self.former.get_mut(agent);
      let contact = listed.map(|target| &mut target.contact);
      if let Some(contact) = contact.or(former.map(|former| &mut former.contact)) {
        contact.since.get_or_insert(now);
      }
    }
  }

  /// Whether an agent counts as lost: its target was removed from the target list, or is unknown, and
  /// the agent has not answered for the timeout. The silence of an agent that is sent no statuses
  /// counts from when it was `asked`.
  pub fn is_lost(&self, now: Instant, agent: SocketAddrV4, asked: Instant) -> bool {
    // This process may not have been reachable long enough to receive a status from every agent.
    let reachable_for = now.saturating_duration_since(self.reachable_since);
    if self.is_cut_off(now) || reachable_for < self.tuning.peer_timeout {
      return false;
    }
    let target = self.by_agent.get(&agent);
    let target = target.map(|target| (target.removed, target.contact));
    let former = self.former.get(&agent);
    let former = former.map(|former| (Some(former.removed), former.contact));
    let Some((removed, contact)) = target.or(former) else {
      return !self.unlisted.contains_key(&agent);
    };
    let is_past = |at: Instant, time| now.saturating_duration_since(at) >= time;
    let silent_since = contact.silent_since().unwrap_or(asked);
    removed.is_some_and(|removed| is_past(removed, REMOVAL_GRACE))
      && is_past(silent_since, self.tuning.peer_timeout)
  }

  /// Records the load that an agent reports, which is assumed to include all opening packets sent to
  /// it.
  pub fn record_load(&mut self, now: Instant, agent: SocketAddrV4, load: Load) {
    if let Some(target) = self.by_agent.get_mut(&agent) {
      target.contact.last_heard = Some(now);
      let before = std::mem::replace(&mut target.load, load);
      target.pending = 0;
      let service = target.service.clone();
      self.note_load(now, &service, &before, &load);
    }
  }

  /// Records why an agent refused a new flow.
  pub fn record_refusal(&mut self, now: Instant, agent: SocketAddrV4, refusal: Refusal) {
    match refusal {
      Refusal::Busy | Refusal::Cold => return,
      Refusal::Closed => return self.record_closed(now, agent),
      Refusal::Down | Refusal::Full | Refusal::Service => self.record_failure(now, agent),
      Refusal::Leaving => {}
    }
    if let Some(target) = self.by_agent.get_mut(&agent) {
      target.refused = Some(now);
      target.removal_confirmed |= refusal == Refusal::Leaving && target.removed.is_some();
    }
  }

  /// Whether an agent has just refused a new flow for another reason than its load.
  pub fn is_refusing(&self, now: Instant, agent: SocketAddrV4) -> bool {
    let refused = self.by_agent.get(&agent).and_then(|target| target.refused);
    refused.is_some_and(|refused| now.saturating_duration_since(refused) < REFUSAL_INTERVAL)
  }

  /// Records that an agent refuses new flows because its data centre is closed.
  fn record_closed(&mut self, now: Instant, agent: SocketAddrV4) {
    if let Some(target) = self.by_agent.get(&agent) {
      self.evacuations.record_refusal(now, &target.data_centre);
    }
  }

  /// Whether a service has targets and all of them are in closed data centres.
  pub fn all_closed(&self, now: Instant, service: &Service) -> bool {
    let listed = self.by_agent.values();
    let mut listed = listed
      .filter(|target| target.service == *service && target.removed.is_none())
      .peekable();
    listed.peek().is_some()
      && listed.all(|target| self.evacuations.is_closed(now, &target.data_centre))
  }

  /// Counts an opening packet that was sent to an agent, until it reports its load.
  pub fn count_opening(&mut self, agent: SocketAddrV4, flow: &Flow) {
    if let Some(target) = self.by_agent.get_mut(&agent) {
      target.pending = target.pending.saturating_add(1);
    }
    self.note_placed(agent, flow);
  }

  /// Clears the record of an opening failure, since the target has opened a flow.
  pub fn clear_failure(&mut self, agent: SocketAddrV4) {
    if let Some(target) = self.by_agent.get_mut(&agent) {
      target.open_failed = None;
    }
  }

  /// Records an agent's status. Returns what it shows about the agent's incarnation.
  pub fn record_status(
    &mut self,
    now: Instant,
    agent: SocketAddrV4,
    status: &Status,
    load: Load,
  ) -> IncarnationChange {
    let Some(target) = self.by_agent.get_mut(&agent) else {
      match self.former.get_mut(&agent) {
        Some(former) => former.contact.last_heard = Some(now),
        None => {
          self.unlisted.insert(agent, now);
        }
      }
      return IncarnationChange::Same;
    };
    let before = target.incarnation.replace(status.incarnation);
    target.stopping = status.stopping;
    let change = match before {
      None => IncarnationChange::First,
      Some(before) if before != status.incarnation => IncarnationChange::Restarted,
      Some(_) => IncarnationChange::Same,
    };
    if change == IncarnationChange::Restarted {
      target.open_failed = None;
    }
    self.record_load(now, agent, load);
    change
  }

  /// Records that a flow failed to open at an agent's target.
  pub fn record_failure(&mut self, now: Instant, agent: SocketAddrV4) {
    if let Some(target) = self.by_agent.get_mut(&agent) {
      target.open_failed = Some(now);
    }
  }

  /// The state of each target, as JSON for operators.
  pub fn dump(&self, now: Instant) -> serde_json::Value {
    let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
    let targets = self.by_agent.iter().map(|(agent, target)| {
      json!({
        "agent": agent.to_string(),
        "cost_ms": self.cost(now, target, self.medians(&target.service)),
        "data_centre": target.data_centre,
        "gone_ms": target.removed.map(age),
        "heard_ms": target.contact.last_heard.map(age),
        "load": target.load,
        "pending": target.pending,
        "presence": target.presence,
        "refused_ms": target.refused.map(age),
        "service": target.service,
        "speed": target.speed,
        "stopping": target.stopping,
        "unanswered_ms": target.open_failed.map(age),
      })
    });
    targets.collect()
  }

  /// Discards unlisted agents, and reports of processes on instances without a listed entry, that have
  /// timed out.
  pub fn expire(&mut self, now: Instant) {
    let peer_timeout = self.tuning.peer_timeout;
    let is_recent = |at: Instant| now.saturating_duration_since(at) < peer_timeout;
    self.unlisted.retain(|_, heard| is_recent(*heard));
    let listed = &self.listed;
    self
      .reports
      .retain(|agent, report| is_recent(report.at) || listed.contains_key(agent));
  }

  /// The address of the agent on an instance.
  pub(super) fn agent_on(&self, instance: Ipv4Addr) -> SocketAddrV4 {
    SocketAddrV4::new(instance, self.address.port())
  }

  pub(super) fn is_alive(&self, now: Instant, target: &TargetState) -> bool {
    target
      .contact
      .last_heard
      .is_some_and(|heard| now.saturating_duration_since(heard) < self.tuning.peer_timeout)
  }
}
