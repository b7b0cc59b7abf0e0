use {
  crate::{Code, id, rate, routing::Standing},
  std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// The bounds of the machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
  /// How long a target's own word that it leaves counts.
  pub leaving_kept: Duration,
  /// How many probes may be sent in a second.
  pub probes_per_second: u32,
  /// The time between two probes of a target.
  pub probe_interval: Duration,
  /// A target that packets went to and that was not heard of for so long is probed.
  pub quiet: Duration,
  /// How many probes in a row stay unanswered before a target counts as silent.
  pub silent_after: u32,
  /// A pause of this process of more than this makes it forget unanswered probes.
  pub slept: Duration,
}

impl Default for Settings {
  fn default() -> Self {
    Self {
      leaving_kept: Duration::from_secs(30),
      probes_per_second: 20,
      probe_interval: Duration::from_millis(250),
      quiet: Duration::from_millis(500),
      silent_after: 3,
      slept: Duration::from_secs(1),
    }
  }
}

/// A target of a service.
pub type Member = (id::Service, id::Target);

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum Event {
  /// A frame of the target arrived.
  Heard(Member),
  /// The configuration names these targets; `true` where it says that they leave.
  Listed(Vec<(Member, SocketAddr, bool)>),
  /// The target refused a frame.
  Refused(Member, Code),
  /// A caller's packet was sent to the target.
  Sent(Member),
  /// Time passed.
  Tick,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
  /// A target's standing changed: tables are to be built anew.
  Changed(Member, Standing),
  /// Ask the target whether it serves.
  Probe {
    /// Where it is.
    address: SocketAddr,
    /// Who is asked.
    member: Member,
    /// The probe's number.
    nonce: u32,
  },
}

#[derive(Clone, Copy, Debug)]
struct State {
  address: SocketAddr,
  heard: Option<Instant>,
  leaving_listed: bool,
  leaving_said: Option<Instant>,
  probed: Option<Instant>,
  sent: Option<Instant>,
  standing: Standing,
  unanswered: u32,
}

/// Weighs what the list says, what targets show and what probes find. The list is believed that a
/// target leaves; that it is live is believed only until it is silent; what the target itself
/// says goes before both.
#[derive(Debug)]
pub struct Machine {
  /// Members that packets went to lately or that are not live: only these are looked at.
  active: BTreeSet<Member>,
  members: HashMap<Member, State>,
  nonce: u32,
  probes: rate::Limit,
  settings: Settings,
  ticked: Option<Instant>,
}

impl Machine {
  /// A machine that knows nobody.
  pub fn new(settings: Settings) -> Self {
    Self {
      active: BTreeSet::new(),
      members: HashMap::new(),
      nonce: 0,
      probes: rate::Limit::new(settings.probes_per_second),
      settings,
      ticked: None,
    }
  }

  /// How many targets are known.
  pub fn len(&self) -> usize {
    self.members.len()
  }

  /// Whether no target is known.
  pub fn is_empty(&self) -> bool {
    self.members.is_empty()
  }

  /// What is believed of a target.
  pub fn standing(&self, member: Member) -> Standing {
    self
      .members
      .get(&member)
      .map_or(Standing::Live, |state| state.standing)
  }

  /// Every target that is not live.
  pub fn avoided(&self) -> Vec<(Member, Standing)> {
    let mut avoided = self
      .members
      .iter()
      .filter(|(_, state)| state.standing != Standing::Live)
      .map(|(member, state)| (*member, state.standing))
      .collect::<Vec<_>>();
    avoided.sort_by_key(|(member, _)| *member);
    avoided
  }

  /// Takes an event.
  pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
    match event {
      Event::Heard(member) => self.touch(now, member, |state| {
        state.heard = Some(now);
        state.unanswered = 0;
      }),
      Event::Listed(members) => self.list(now, members),
      Event::Refused(member, code) => self.touch(now, member, |state| {
        state.heard = Some(now);
        state.unanswered = 0;
        if code == Code::TargetLeaving {
          state.leaving_said = Some(now);
        }
      }),
      Event::Sent(member) => self.touch(now, member, |state| state.sent = Some(now)),
      Event::Tick => self.tick(now),
    }
  }

  fn touch(&mut self, now: Instant, member: Member, change: impl Fn(&mut State)) -> Vec<Action> {
    let settings = self.settings;
    let Some(state) = self.members.get_mut(&member) else {
      return Vec::new();
    };
    change(state);
    let action = judge(now, &settings, member, state);
    if is_active(now, &settings, state) {
      self.active.insert(member);
    }
    action.into_iter().collect()
  }

  fn list(&mut self, now: Instant, members: Vec<(Member, SocketAddr, bool)>) -> Vec<Action> {
    let mut before = std::mem::take(&mut self.members);
    let mut actions = Vec::new();
    for (member, address, leaving) in members {
      if self.members.contains_key(&member) {
        continue;
      }
      let mut state = match before.remove(&member) {
        // A target at another address is another instance: nothing known of the former counts.
        Some(state) if state.address == address => state,
        _ => State::new(address),
      };
      state.leaving_listed = leaving;
      actions.extend(judge(now, &self.settings, member, &mut state));
      if is_active(now, &self.settings, &state) {
        self.active.insert(member);
      }
      self.members.insert(member, state);
    }
    actions
  }

  fn tick(&mut self, now: Instant) -> Vec<Action> {
    let slept = self
      .ticked
      .is_some_and(|ticked| now.duration_since(ticked) > self.settings.slept);
    self.ticked = Some(now);
    let mut actions = Vec::new();
    let (members, settings) = (&self.members, self.settings);
    self.active.retain(|member| {
      let state = members.get(member);
      state.is_some_and(|state| is_active(now, &settings, state))
    });
    for member in self.active.clone() {
      if slept {
        self.forget_probes(member);
      }
      actions.extend(self.probe(now, member));
      actions.extend(self.touch(now, member, |_| {}));
    }
    actions
  }

  fn forget_probes(&mut self, member: Member) {
    if let Some(state) = self.members.get_mut(&member) {
      state.unanswered = 0;
      state.probed = None;
    }
  }

  fn probe(&mut self, now: Instant, member: Member) -> Option<Action> {
    let settings = self.settings;
    let state = self.members.get(&member)?;
    if !wants_probe(now, &settings, state) || !self.probes.take(now) {
      return None;
    }
    self.nonce = self.nonce.wrapping_add(1);
    let state = self.members.get_mut(&member)?;
    state.probed = Some(now);
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
      heard: None,
      leaving_listed: false,
      leaving_said: None,
      probed: None,
      sent: None,
      standing: Standing::Live,
      unanswered: 0,
    }
  }
}

/// Settles a target's standing anew and reports a change.
fn judge(now: Instant, settings: &Settings, member: Member, state: &mut State) -> Option<Action> {
  let said = state
    .leaving_said
    .is_some_and(|said| now.duration_since(said) < settings.leaving_kept);
  let silent = state.unanswered > settings.silent_after;
  let standing = if silent {
    Standing::Silent
  } else if state.leaving_listed || said {
    Standing::Leaving
  } else {
    Standing::Live
  };
  if standing == state.standing {
    return None;
  }
  state.standing = standing;
  Some(Action::Changed(member, standing))
}

/// Whether a member has to be looked at as time passes.
fn is_active(now: Instant, settings: &Settings, state: &State) -> bool {
  let sent = state
    .sent
    .is_some_and(|sent| now.duration_since(sent) < settings.quiet * 4);
  sent || state.standing != Standing::Live
}

/// Whether packets went to a target without a sign of it, or it is silent already.
fn wants_probe(now: Instant, settings: &Settings, state: &State) -> bool {
  let since = |instant: Option<Instant>| instant.map(|instant| now.duration_since(instant));
  if let Some(probed) = since(state.probed) {
    // A silent target is asked ever more rarely, at most 16 times as rarely.
    let doublings = state
      .unanswered
      .saturating_sub(settings.silent_after)
      .min(4);
    if probed < settings.probe_interval * (1 << doublings) {
      return false;
    }
  }
  if state.standing == Standing::Silent {
    return true;
  }
  let quiet = since(state.heard).is_none_or(|heard| heard >= settings.quiet);
  let sent = since(state.sent).is_some_and(|sent| sent < settings.quiet * 4);
  quiet && sent
}
