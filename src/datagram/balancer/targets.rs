use {
  super::closures::Closures,
  crate::{
    config::Presence,
    datagram::{
      Agents, Catalog, Entry, Load, Service, Tuning, Warmup,
      frame::{Gone, Status},
      target::Born,
    },
  },
  serde_json::json,
  std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// How long entries that left the list may still be given flows where nothing else is listed: the
/// platform may have dropped them while it was away, and takes two seconds to list them again.
pub(super) const LAPSED: Duration = Duration::from_secs(2);

/// A target as a balancer sees it, by the address of its agent.
#[derive(Clone, Debug)]
pub struct Seen {
  /// Which run of the upstream the list names.
  born: Option<Born>,
  /// The data centre that it stands in.
  pub data_centre: String,
  /// When its entry left the list.
  pub gone: Option<Instant>,
  heard: Option<Instant>,
  incarnation: Option<u32>,
  pub(super) load: Load,
  /// Opening packets sent there that its load does not count yet.
  pub(super) pending: u16,
  pub(super) presence: Presence,
  pub(super) service: Service,
  pub(super) slots: u16,
  pub(super) stopping: bool,
  /// Since when an opening packet is unanswered.
  pub(super) unanswered: Option<Instant>,
}

impl Seen {
  fn new(entry: &Entry) -> Self {
    Self {
      born: entry.target.born,
      data_centre: String::new(),
      gone: None,
      heard: None,
      incarnation: None,
      load: Load::default(),
      pending: 0,
      presence: entry.target.presence,
      service: entry.target.service.clone(),
      slots: 1,
      stopping: false,
      unanswered: None,
    }
  }

  fn updated(mut self, entry: &Entry) -> Self {
    if self.gone.is_some() && entry.gone.is_none() {
      self.unanswered = None;
    }
    if entry.target.born > self.born {
      // What was learnt of the run before says nothing of this one.
      self.load = Load::default();
      self.pending = 0;
      self.unanswered = None;
    }
    self.born = entry.target.born.max(self.born);
    self.data_centre.clone_from(&entry.target.data_centre);
    self.gone = entry.gone;
    self.presence = entry.target.presence;
    self.service = entry.target.service.clone();
    self.slots = entry.target.slots.max(1);
    self
  }
}

/// Which run of an agent spoke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Run {
  /// The first that was heard of.
  First,
  /// The one that was heard of before.
  Known,
  /// Another one than before: the agent has started again.
  Next,
}

/// A target that left the list before this process knew it.
#[derive(Clone, Debug)]
struct Past {
  gone: Instant,
  /// When its agent was last heard of.
  heard: Option<Instant>,
  /// When this process was told of it.
  learnt: Instant,
  service: Service,
}

/// The targets that a balancer knows.
#[derive(Debug)]
pub struct Targets {
  pub(super) by_agent: BTreeMap<SocketAddrV4, Seen>,
  pub(super) closures: Closures,
  pub(super) data_centre: String,
  port: u16,
  /// Targets that left the list before this process knew them, by what agents and peers say.
  past: BTreeMap<SocketAddrV4, Past>,
  pub(super) services: BTreeMap<Service, Vec<SocketAddrV4>>,
  started: Instant,
  /// When agents were last heard of whose targets neither the list nor anybody names.
  strangers: BTreeMap<SocketAddrV4, Instant>,
  pub(super) tuning: Tuning,
  /// What is stated of cold targets.
  pub(super) warmups: BTreeMap<Service, Warmup>,
}

impl Targets {
  /// No targets; `data_centre` is the balancer's own, `port` the one that agents listen at.
  pub fn new(now: Instant, data_centre: String, port: u16, tuning: &Tuning) -> Self {
    Self {
      by_agent: BTreeMap::new(),
      closures: Closures::default(),
      data_centre,
      past: BTreeMap::new(),
      port,
      services: BTreeMap::new(),
      started: now,
      strangers: BTreeMap::new(),
      tuning: *tuning,
      warmups: BTreeMap::new(),
    }
  }

  /// The agents of all listed targets.
  pub fn agents(&self) -> Agents {
    let mut agents = Agents::default();
    let listed = self.by_agent.iter();
    for (agent, seen) in listed.filter(|(_, seen)| seen.gone.is_none()) {
      if seen.data_centre == self.data_centre {
        agents.near.push(*agent);
      } else {
        agents.far.push(*agent);
      }
    }
    agents
  }

  /// How old the last word of an agent is, in milliseconds.
  pub fn age_ms(&self, now: Instant, agent: SocketAddrV4) -> Option<u64> {
    let heard = self.by_agent.get(&agent)?.heard?;
    Some(now.saturating_duration_since(heard).as_millis() as u64)
  }

  /// The service of an agent's target.
  pub fn service(&self, agent: SocketAddrV4) -> Option<&Service> {
    self.by_agent.get(&agent).map(|seen| &seen.service)
  }

  /// The agents that may have a flow of services: those of listed targets and of past ones, and those
  /// that are heard of and that nobody names. A target that left the list may live, and where nobody
  /// remembers it, its agent still tells of itself.
  pub fn holders(&self, services: &[Service]) -> impl Iterator<Item = SocketAddrV4> {
    let holders = services.iter();
    let holders = holders.filter_map(|service| self.services.get(service));
    holders.flatten().chain(self.strangers.keys()).copied()
  }

  /// Whether an agent's target stands in this data centre, as far as known.
  pub fn is_near(&self, agent: SocketAddrV4) -> bool {
    let seen = self.by_agent.get(&agent);
    seen.is_some_and(|seen| seen.data_centre == self.data_centre)
  }

  /// Those of them that stand in this data centre.
  pub fn near_holders(&self, services: &[Service]) -> impl Iterator<Item = SocketAddrV4> {
    self.holders(services).filter(|agent| self.is_near(*agent))
  }

  /// Whether an agent's silence has lasted, and its target has left the list: nothing is there.
  pub fn is_lost(&self, now: Instant, agent: SocketAddrV4) -> bool {
    // A process that has just started has had no time to hear anybody.
    if now.saturating_duration_since(self.started) < self.tuning.silent {
      return false;
    }
    let long = |gone: Instant| now.saturating_duration_since(gone) >= LAPSED;
    match (self.by_agent.get(&agent), self.past.get(&agent)) {
      (Some(seen), _) => seen.gone.is_some_and(long) && !self.is_heard(now, seen),
      (None, Some(past)) => {
        let last = past.heard.unwrap_or(past.learnt);
        long(past.gone) && now.saturating_duration_since(last) >= self.tuning.silent
      }
      (None, None) => !self.strangers.contains_key(&agent),
    }
  }

  /// An agent says which targets left the list, and how long ago; true when one was not known.
  pub fn learn(&mut self, now: Instant, service: &Service, past: &[(SocketAddrV4, u32)]) -> bool {
    let mut learnt = false;
    for (upstream, age_ms) in past {
      let agent = SocketAddrV4::new(*upstream.ip(), self.port);
      let agents = self.services.entry(service.clone()).or_default();
      if agents.contains(&agent) {
        continue;
      }
      let gone = now.checked_sub(Duration::from_millis((*age_ms).into()));
      agents.push(agent);
      self.strangers.remove(&agent);
      let past = Past {
        gone: gone.unwrap_or(now),
        heard: None,
        learnt: now,
        service: service.clone(),
      };
      self.past.insert(agent, past);
      learnt = true;
    }
    learnt
  }

  /// A peer says which targets left the list.
  pub fn remember(&mut self, now: Instant, past: &[Gone]) {
    for gone in past {
      self.learn(now, &gone.service, &[(gone.address, gone.age_ms)]);
    }
  }

  /// The targets that left the list in the lifetime of the flows, as far as known.
  pub fn past(&self, now: Instant, catalog: &Catalog) -> Vec<Gone> {
    let left = catalog.entries().filter_map(|(_, entry)| {
      Some(Gone {
        address: entry.target.address,
        age_ms: age_ms(now, entry.gone?),
        service: entry.target.service.clone(),
      })
    });
    let told = self.past.iter().map(|(agent, past)| Gone {
      // Where its agent listens is all that counts.
      address: *agent,
      age_ms: age_ms(now, past.gone),
      service: past.service.clone(),
    });
    left.chain(told).collect()
  }

  /// A frame with the load of a target came.
  pub fn loaded(&mut self, now: Instant, agent: SocketAddrV4, load: Load) {
    if let Some(seen) = self.by_agent.get_mut(&agent) {
      seen.heard = Some(now);
      seen.load = load;
      seen.pending = 0;
    }
  }

  /// An agent refuses new flows, since its data centre is closed.
  pub fn closed(&mut self, now: Instant, agent: SocketAddrV4) {
    if let Some(seen) = self.by_agent.get(&agent) {
      self.closures.hear(now, &seen.data_centre);
    }
  }

  /// Whether a service has targets, and all are in data centres that are closed: no new flow can go
  /// anywhere.
  pub fn is_shut(&self, now: Instant, service: &Service) -> bool {
    let listed = self.by_agent.values();
    let mut listed = listed
      .filter(|seen| seen.service == *service && seen.gone.is_none())
      .peekable();
    listed.peek().is_some() && listed.all(|seen| self.closures.is_closed(now, &seen.data_centre))
  }

  /// An opening packet was sent.
  pub fn placed(&mut self, agent: SocketAddrV4) {
    if let Some(seen) = self.by_agent.get_mut(&agent) {
      seen.pending = seen.pending.saturating_add(1);
    }
  }

  /// The target answered an opening packet.
  pub fn opened(&mut self, agent: SocketAddrV4) {
    if let Some(seen) = self.by_agent.get_mut(&agent) {
      seen.unanswered = None;
    }
  }

  /// An agent told of itself; what that shows of its run.
  pub fn status(&mut self, now: Instant, agent: SocketAddrV4, status: &Status, load: Load) -> Run {
    let Some(seen) = self.by_agent.get_mut(&agent) else {
      match self.past.get_mut(&agent) {
        Some(past) => past.heard = Some(now),
        None => {
          self.strangers.insert(agent, now);
        }
      }
      return Run::Known;
    };
    let before = seen.incarnation.replace(status.incarnation);
    seen.stopping = status.stopping;
    let run = match before {
      None => Run::First,
      Some(before) if before != status.incarnation => Run::Next,
      Some(_) => Run::Known,
    };
    if run == Run::Next {
      seen.unanswered = None;
    }
    self.loaded(now, agent, load);
    run
  }

  /// An opening packet was not answered in time.
  pub fn unanswered(&mut self, now: Instant, agent: SocketAddrV4) {
    if let Some(seen) = self.by_agent.get_mut(&agent) {
      seen.unanswered = Some(now);
    }
  }

  /// What is known of each target, for an operator.
  pub fn dump(&self, now: Instant) -> serde_json::Value {
    let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
    let seen = self.by_agent.iter().map(|(agent, seen)| {
      json!({
        "agent": agent.to_string(),
        "cost_ms": self.cost(now, seen, self.typical(&seen.service)),
        "data_centre": seen.data_centre,
        "gone_ms": seen.gone.map(age),
        "heard_ms": seen.heard.map(age),
        "load": seen.load,
        "pending": seen.pending,
        "presence": seen.presence,
        "service": seen.service,
        "stopping": seen.stopping,
        "unanswered_ms": seen.unanswered.map(age),
      })
    });
    seen.collect()
  }

  /// Forgets targets that left the list before the oldest flow began.
  pub fn expire(&mut self, now: Instant) {
    let (life, silent) = (self.tuning.amnesia, self.tuning.silent);
    self
      .strangers
      .retain(|_, heard| now.saturating_duration_since(*heard) < silent);
    self
      .past
      .retain(|_, past| now.saturating_duration_since(past.gone) < life);
  }

  /// Takes the list as it is now.
  pub fn update(&mut self, catalog: &Catalog) {
    let configuration = catalog.configuration();
    self.warmups = configuration.map_or_else(BTreeMap::new, |held| held.warmups.clone());
    let mut before = std::mem::take(&mut self.by_agent);
    self.services.clear();
    let mut newest: HashMap<SocketAddrV4, &Entry> = HashMap::new();
    for (_, entry) in catalog.entries() {
      let agent = SocketAddrV4::new(*entry.target.address.ip(), self.port);
      let service = entry.target.service.clone();
      let agents = self.services.entry(service).or_default();
      if !agents.contains(&agent) {
        agents.push(agent);
      }
      let age = |entry: &Entry| (entry.gone.is_none(), entry.revision);
      let held = newest.entry(agent).or_insert(entry);
      if age(held) < age(entry) {
        *held = entry;
      }
    }
    for (agent, past) in &self.past {
      let agents = self.services.entry(past.service.clone()).or_default();
      if !agents.contains(agent) {
        agents.push(*agent);
      }
    }
    for (agent, entry) in newest {
      self.strangers.remove(&agent);
      let seen = before.remove(&agent).unwrap_or_else(|| Seen::new(entry));
      self.by_agent.insert(agent, seen.updated(entry));
    }
  }

  pub(super) fn is_heard(&self, now: Instant, seen: &Seen) -> bool {
    seen
      .heard
      .is_some_and(|heard| now.saturating_duration_since(heard) < self.tuning.silent)
  }
}

/// How long ago something was, in milliseconds.
fn age_ms(now: Instant, at: Instant) -> u32 {
  now.saturating_duration_since(at).as_millis() as u32
}
