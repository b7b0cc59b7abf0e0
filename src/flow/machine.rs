use {
  super::{Action, Pass, Settings},
  crate::{
    Code, id, rate,
    routing::{self, Hop, Table},
    wire::{CHAIN_MAX, Carry, Flow},
  },
  std::{collections::HashMap, time::Instant},
};

/// How often a target that cannot open a flow may send it to another.
const REDIRECTS_MAX: u8 = 3;

/// A target that leaves so many passed packets unanswered is no longer sent them first: it may be
/// dead.
const UNANSWERED_MAX: u8 = 3;

/// What the machine is told.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
  /// A packet came, and so many flows are open.
  Carry {
    /// The frame's header.
    carry: &'a Carry,
    /// The flows that the target holds.
    flows: u32,
  },
  /// A flow with this key ended.
  Closed(u64),
  /// A packet with this key that was passed on reached its flow's target.
  Found {
    /// The key.
    key: u64,
    /// Where its flow is.
    target: id::Target,
  },
  /// The target leaves, or stays after all.
  Leaving(bool),
}

#[derive(Clone, Copy, Debug)]
struct Passed {
  seen: Instant,
  to: id::Target,
  /// Packets sent there since it last said that the flow is there.
  unanswered: u8,
}

/// Decides over the packets that reach a target. QUIC's established flows name their target and
/// need no state here; the rest are remembered by key.
#[derive(Debug)]
pub struct Machine {
  incarnation: id::Incarnation,
  leaving: bool,
  owned: HashMap<u64, Instant>,
  passed: HashMap<u64, Passed>,
  searches: rate::Limit,
  service: id::Service,
  settings: Settings,
  target: id::Target,
}

impl Machine {
  /// The machine of a target's agent in this run.
  pub fn new(
    service: id::Service,
    target: id::Target,
    incarnation: id::Incarnation,
    settings: Settings,
  ) -> Self {
    Self {
      incarnation,
      leaving: false,
      owned: HashMap::new(),
      passed: HashMap::new(),
      searches: rate::Limit::new(settings.searches_per_second),
      service,
      settings,
      target,
    }
  }

  /// Forgets what was not seen for long.
  pub fn expire(&mut self, now: Instant) {
    let idle = self.settings.idle;
    self
      .owned
      .retain(|_, seen| now.duration_since(*seen) < idle);
    self
      .passed
      .retain(|_, passed| now.duration_since(passed.seen) < idle);
  }

  /// Whether the target takes no new flows.
  pub fn is_leaving(&self) -> bool {
    self.leaving
  }

  /// How many keys are remembered: owned, and passed on.
  pub fn remembered(&self) -> (usize, usize) {
    (self.owned.len(), self.passed.len())
  }

  /// Takes an event. Only a packet asks for something to be done.
  pub fn step(&mut self, now: Instant, table: Option<&Table>, event: Event) -> Option<Action> {
    match event {
      Event::Carry { carry, flows } => {
        let action = self.carry(now, table, carry, flows);
        return Some(self.check(carry, action));
      }
      Event::Closed(key) => {
        self.owned.remove(&key);
      }
      Event::Found { key, target } if target != self.target => self.remember(now, key, target),
      Event::Found { .. } => {}
      Event::Leaving(leaving) => self.leaving = leaving,
    }
    None
  }

  fn carry(&mut self, now: Instant, table: Option<&Table>, carry: &Carry, flows: u32) -> Action {
    if carry.service != self.service {
      return Action::Refuse(Code::FrameWrongService);
    }
    if carry.target != self.target {
      return Action::Refuse(Code::FrameWrongTarget);
    }
    if carry.hops > self.settings.hops_max {
      return Action::Refuse(Code::HopsExceeded);
    }
    match carry.flow {
      Flow::Keyed { key, opens } => self.keyed(now, table, carry, flows, key, opens),
      Flow::Named {
        incarnation,
        target,
      } => self.named(table, target, incarnation),
    }
  }

  /// Asserts what must hold of every decision; a release build refuses instead.
  fn check(&self, carry: &Carry, action: Action) -> Action {
    let takes = matches!(action, Action::Deliver | Action::Open | Action::Reset);
    let own = carry.service == self.service && carry.target == self.target;
    let may_open = !self.leaving && carry.whole;
    let holds = (!takes || own) && (action != Action::Open || may_open);
    debug_assert!(holds, "{action:?} of {carry:?} at target {}", self.target);
    if holds {
      action
    } else {
      Action::Refuse(Code::InvariantBroken)
    }
  }

  fn named(
    &self,
    table: Option<&Table>,
    target: id::Target,
    incarnation: id::Incarnation,
  ) -> Action {
    if target == self.target && incarnation == self.incarnation {
      return Action::Deliver;
    }
    if target == self.target {
      return Action::Reset;
    }
    match table.and_then(|table| table.get(target)) {
      Some(entry) => Action::Pass(Pass::to(Hop::from(entry))),
      None => Action::Refuse(Code::FlowUnknown),
    }
  }

  fn keyed(
    &mut self,
    now: Instant,
    table: Option<&Table>,
    carry: &Carry,
    flows: u32,
    key: u64,
    opens: bool,
  ) -> Action {
    if let Some(seen) = self.owned.get_mut(&key) {
      *seen = now;
      return Action::Deliver;
    }
    if !carry.whole && carry.chain.is_empty() {
      return Action::Skip;
    }
    let Some(table) = table else {
      return Action::Refuse(Code::NotReady);
    };
    if let Some(pass) = self.found_before(now, table, key, carry) {
      return Action::Pass(pass);
    }
    if let Some(pass) = self.next(table, carry) {
      return Action::Pass(pass);
    }
    if opens {
      return self.open(now, table, key, carry, flows);
    }
    self.search(now, table)
  }

  /// Where the flow of this key was found before.
  fn found_before(&mut self, now: Instant, table: &Table, key: u64, carry: &Carry) -> Option<Pass> {
    // A packet that was passed here is not sent to where it may have come from.
    if carry.hops > 0 {
      return None;
    }
    let passed = self.passed.get_mut(&key)?;
    if passed.unanswered >= UNANSWERED_MAX {
      self.passed.remove(&key);
      return None;
    }
    passed.seen = now;
    passed.unanswered += 1;
    let to = Hop::from(table.get(passed.to)?);
    let mut chain = carry.chain.clone();
    chain.retain(|target| *target != to.target);
    Some(Pass::along(carry, to, chain))
  }

  /// The next of the chain that the table knows.
  fn next(&self, table: &Table, carry: &Carry) -> Option<Pass> {
    let mut rest = carry.chain.iter();
    let to = rest.find_map(|target| {
      if *target == self.target {
        return None;
      }
      table.get(*target).map(Hop::from)
    })?;
    Some(Pass::along(carry, to, rest.copied().collect()))
  }

  fn open(&mut self, now: Instant, table: &Table, key: u64, carry: &Carry, flows: u32) -> Action {
    let code = if self.leaving {
      Code::TargetLeaving
    } else if !carry.whole {
      return Action::Skip;
    } else if flows >= self.limit(table) || !self.make_room(now) {
      Code::TargetFull
    } else {
      self.passed.remove(&key);
      self.owned.insert(key, now);
      return Action::Open;
    };
    if carry.redirects >= REDIRECTS_MAX {
      return Action::Refuse(code);
    }
    let Some(to) = routing::Machine::alternative(table, key, &[self.target]) else {
      return Action::Refuse(code);
    };
    self.remember(now, key, to.target);
    Action::Pass(Pass {
      redirects: carry.redirects + 1,
      whole: carry.whole,
      ..Pass::to(to)
    })
  }

  fn limit(&self, table: &Table) -> u32 {
    table.get(self.target).map_or(0, |entry| entry.connections)
  }

  /// The chain did not find the flow of a packet that may not open it: all other targets get a
  /// copy, at a bounded rate. Copies rather than a chain, which a dead target would end.
  fn search(&mut self, now: Instant, table: &Table) -> Action {
    if !self.searches.take(now) {
      return Action::Refuse(Code::FlowUnknown);
    }
    let others = table
      .entries()
      .iter()
      .filter(|entry| entry.id != self.target);
    Action::Search(others.map(Hop::from).take(CHAIN_MAX).collect())
  }

  fn make_room(&mut self, now: Instant) -> bool {
    if self.owned.len() >= self.settings.remembered_max {
      self.expire(now);
    }
    self.owned.len() < self.settings.remembered_max
  }

  fn remember(&mut self, now: Instant, key: u64, to: id::Target) {
    if self.passed.len() >= self.settings.remembered_max {
      self.expire(now);
    }
    if self.passed.len() < self.settings.remembered_max {
      self.passed.insert(
        key,
        Passed {
          seen: now,
          to,
          unanswered: 0,
        },
      );
    }
  }
}
