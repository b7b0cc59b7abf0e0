use {
  crate::{Code, id, rate, routing::Health},
  std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// The timing of the failure detector.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
  /// How long a target counts as draining after it refused a frame because it is draining.
  pub leaving_ttl: Duration,
  /// The rate limit of probes over all targets, per second.
  pub probes_per_second: u32,
  /// The time between two probes of a target that isn't silent yet.
  pub probe_interval: Duration,
  /// A target that isn't silent is probed when no frame from it arrived for this long, if a packet
  /// was sent to it within four times as long.
  pub probe_after: Duration,
  /// The number of consecutive unanswered probes that a target may have without counting as silent.
  pub unanswered_max: u32,
  /// If the time between two ticks is longer, this process was paused, and unanswered probes prove
  /// nothing.
  pub stall: Duration,
}

impl Default for Settings {
  fn default() -> Self {
    Self {
      leaving_ttl: Duration::from_secs(30),
      probes_per_second: 20,
      probe_interval: Duration::from_millis(250),
      probe_after: Duration::from_millis(500),
      unanswered_max: 3,
      stall: Duration::from_secs(1),
    }
  }
}

/// A target of a service.
pub type Member = (id::Service, id::Target);

/// An input of the machine.
#[derive(Clone, Debug)]
pub enum Event {
  /// A frame from the target arrived.
  Heard(Member),
  /// The targets of current and previous sets, with the addresses of their agents; `true` for those
  /// that the configuration says are draining. Other targets are forgotten.
  Listed(Vec<(Member, SocketAddr, bool)>),
  /// The target refused a frame, with this result code.
  Refused(Member, Code),
  /// A caller's packet was sent to the target.
  Sent(Member),
  /// Time passed; probes that are due are sent.
  Tick,
}

/// What is to be done after an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
  /// Rebuild the routing tables: the health of the target changed.
  Changed(Member, Health),
  /// Send a liveness probe to the target.
  Probe {
    /// The address of the target's agent.
    address: SocketAddr,
    /// The target that is probed.
    member: Member,
    /// The probe's number, one more than that of the last probe to any target.
    nonce: u32,
  },
}

#[derive(Clone, Copy, Debug)]
struct State {
  address: SocketAddr,
  last_heard: Option<Instant>,
  /// Whether the configuration says that it is draining.
  leaving_configured: bool,
  /// When the target itself last reported that it is draining.
  leaving_reported: Option<Instant>,
  last_probe: Option<Instant>,
  last_sent: Option<Instant>,
  health: Health,
  unanswered: u32,
}

/// Infers the health of each target. One that leaves too many probes unanswered is silent, whatever
/// the configuration says. One that answers is draining if the configuration or the target itself
/// says so, and live otherwise.
#[derive(Debug)]
pub struct Machine {
  /// Targets that were sent packets recently or that are not live; a tick skips all others.
  active: BTreeSet<Member>,
  members: HashMap<Member, State>,
  nonce: u32,
  probe_limit: rate::Limit,
  settings: Settings,
  last_tick: Option<Instant>,
}

impl Machine {
  /// A machine without any targets.
  pub fn new(settings: Settings) -> Self {
    Self {
      active: BTreeSet::new(),
      members: HashMap::new(),
      nonce: 0,
      probe_limit: rate::Limit::new(settings.probes_per_second),
      settings,
      last_tick: None,
    }
  }

  /// The number of listed targets.
  pub fn len(&self) -> usize {
    self.members.len()
  }

  /// Whether no target is listed.
  pub fn is_empty(&self) -> bool {
    self.members.is_empty()
  }

  /// The health of a target; live if it isn't listed.
  pub fn health(&self, member: Member) -> Health {
    self
      .members
      .get(&member)
      .map_or(Health::Live, |state| state.health)
  }

  /// Every target that is not live, sorted by service and target.
  pub fn avoided(&self) -> Vec<(Member, Health)> {
    let mut avoided = self
      .members
      .iter()
      .filter(|(_, state)| state.health != Health::Live)
      .map(|(member, state)| (*member, state.health))
      .collect::<Vec<_>>();
    avoided.sort_by_key(|(member, _)| *member);
    avoided
  }

  /// Processes an event.
  pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
    match event {
      Event::Heard(member) => self.update(now, member, |state| {
        state.last_heard = Some(now);
        state.unanswered = 0;
      }),
      Event::Listed(members) => self.replace_members(now, members),
      Event::Refused(member, code) => self.update(now, member, |state| {
        state.last_heard = Some(now);
        state.unanswered = 0;
        if code == Code::TargetLeaving {
          state.leaving_reported = Some(now);
        }
      }),
      Event::Sent(member) => self.update(now, member, |state| state.last_sent = Some(now)),
      Event::Tick => self.tick(now),
    }
  }

  /// Changes the state of a target and reports the change of its health, if there is one.
  fn update(&mut self, now: Instant, member: Member, change: impl Fn(&mut State)) -> Vec<Action> {
    let settings = self.settings;
    let Some(state) = self.members.get_mut(&member) else {
      return Vec::new();
    };
    change(state);
    let action = update_health(now, &settings, member, state);
    if is_active(now, &settings, state) {
      self.active.insert(member);
    }
    action.into_iter().collect()
  }

  fn replace_members(
    &mut self,
    now: Instant,
    members: Vec<(Member, SocketAddr, bool)>,
  ) -> Vec<Action> {
    let mut previous = std::mem::take(&mut self.members);
    let mut actions = Vec::new();
    for (member, address, leaving) in members {
      if self.members.contains_key(&member) {
        continue;
      }
      let mut state = match previous.remove(&member) {
        // Another address means another instance, to which the known state doesn't apply.
        Some(state) if state.address == address => state,
        _ => State::new(address),
      };
      state.leaving_configured = leaving;
      actions.extend(update_health(now, &self.settings, member, &mut state));
      if is_active(now, &self.settings, &state) {
        self.active.insert(member);
      }
      self.members.insert(member, state);
    }
    actions
  }

  fn tick(&mut self, now: Instant) -> Vec<Action> {
    let stalled = self
      .last_tick
      .is_some_and(|last_tick| now.duration_since(last_tick) > self.settings.stall);
    self.last_tick = Some(now);
    let mut actions = Vec::new();
    let (members, settings) = (&self.members, self.settings);
    self.active.retain(|member| {
      let state = members.get(member);
      state.is_some_and(|state| is_active(now, &settings, state))
    });
    for member in self.active.clone() {
      if stalled {
        self.reset_probes(member);
      }
      actions.extend(self.probe(now, member));
      actions.extend(self.update(now, member, |_| {}));
    }
    actions
  }

  fn reset_probes(&mut self, member: Member) {
    if let Some(state) = self.members.get_mut(&member) {
      state.unanswered = 0;
      state.last_probe = None;
    }
  }

  /// Probes a target if that is due and the rate limit allows it.
  fn probe(&mut self, now: Instant, member: Member) -> Option<Action> {
    let settings = self.settings;
    let state = self.members.get(&member)?;
    if !is_probe_due(now, &settings, state) || !self.probe_limit.take(now) {
      return None;
    }
    self.nonce = self.nonce.wrapping_add(1);
    let state = self.members.get_mut(&member)?;
    state.last_probe = Some(now);
    state.unanswered = state.unanswered.saturating_add(1);
    Some(Action::Probe {
      address: state.address,
      member,
      nonce: self.nonce,
    })
  }
}

impl State {
  fn new(address: SocketAddr) -> Self {
    Self {
      address,
      last_heard: None,
      leaving_configured: false,
      leaving_reported: None,
      last_probe: None,
      last_sent: None,
      health: Health::Live,
      unanswered: 0,
    }
  }
}

/// Infers a target's health from its state and reports a change.
fn update_health(
  now: Instant,
  settings: &Settings,
  member: Member,
  state: &mut State,
) -> Option<Action> {
  let leaving_reported = state
    .leaving_reported
    .is_some_and(|reported| now.duration_since(reported) < settings.leaving_ttl);
  let silent = state.unanswered > settings.unanswered_max;
  let health = if silent {
    Health::Silent
  } else if state.leaving_configured || leaving_reported {
    Health::Leaving
  } else {
    Health::Live
  };
  if health == state.health {
    return None;
  }
  state.health = health;
  Some(Action::Changed(member, health))
}

/// Whether a tick has to process a target: it was sent a packet recently, or isn't live.
fn is_active(now: Instant, settings: &Settings, state: &State) -> bool {
  let sent = state
    .last_sent
    .is_some_and(|last_sent| now.duration_since(last_sent) < settings.probe_after * 4);
  sent || state.health != Health::Live
}

/// Whether a target is to be probed: the interval since its last probe is over, and it is silent, or
/// packets are sent to it and no frame arrives from it.
fn is_probe_due(now: Instant, settings: &Settings, state: &State) -> bool {
  let age = |instant: Option<Instant>| instant.map(|instant| now.duration_since(instant));
  if let Some(probe_age) = age(state.last_probe) {
    // Exponential back-off for a silent target, up to 16 times the interval.
    let doublings = state
      .unanswered
      .saturating_sub(settings.unanswered_max)
      .min(4);
    if probe_age < settings.probe_interval * (1 << doublings) {
      return false;
    }
  }
  if state.health == Health::Silent {
    return true;
  }
  let quiet = age(state.last_heard).is_none_or(|age| age >= settings.probe_after);
  let sent = age(state.last_sent).is_some_and(|age| age < settings.probe_after * 4);
  quiet && sent
}
