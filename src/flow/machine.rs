use {
  super::{Action, Forward, Settings},
  crate::{
    Code, id, rate,
    routing::{self, Hop, Table},
    wire::{CHAIN_MAX, Carry, Flow},
  },
  std::{collections::HashMap, time::Instant},
};

/// How many times targets that cannot open a flow may redirect its opening packet.
const REDIRECTS_MAX: u8 = 3;

/// After this many forwarded packets without a confirmation, the cached target of a flow is
/// dropped: it may be dead.
const UNANSWERED_MAX: u8 = 3;

/// An input of the machine.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
  /// A caller's packet arrived.
  Carry {
    /// The frame's header.
    carry: &'a Carry,
    /// How many flows are open at this target.
    flows: u32,
  },
  /// The flow with this key ended.
  Closed(u64),
  /// A target that a packet was forwarded to confirms that it owns the flow.
  Found {
    /// The flow's key.
    key: u64,
    /// The target that owns the flow.
    target: id::Target,
  },
  /// Whether this target is draining: it opens no new flows and keeps its existing ones.
  Leaving(bool),
}

#[derive(Clone, Copy, Debug)]
struct Forwarded {
  last_packet: Instant,
  to: id::Target,
  /// The number of packets forwarded since the target last confirmed that it owns the flow.
  unanswered: u8,
}

/// Decides on every packet that reaches a target. Packets of established QUIC flows name their
/// target and need no state here; other flows are remembered by key.
#[derive(Debug)]
pub struct Machine {
  incarnation: id::Incarnation,
  leaving: bool,
  /// The time of the last packet of each flow that this target owns.
  owned: HashMap<u64, Instant>,
  /// The flows that are forwarded to another target.
  forwarded: HashMap<u64, Forwarded>,
  searches: rate::Limit,
  service: id::Service,
  settings: Settings,
  target: id::Target,
}

impl Machine {
  /// A machine for one incarnation of a target's agent, without any flows.
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
      forwarded: HashMap::new(),
      searches: rate::Limit::new(settings.searches_per_second),
      service,
      settings,
      target,
    }
  }

  /// Forgets flows whose last packet is older than the idle timeout.
  pub fn expire(&mut self, now: Instant) {
    let idle_timeout = self.settings.idle_timeout;
    self
      .owned
      .retain(|_, last_packet| now.duration_since(*last_packet) < idle_timeout);
    self
      .forwarded
      .retain(|_, forwarded| now.duration_since(forwarded.last_packet) < idle_timeout);
  }

  /// Whether the target is draining, so that it opens no new flows.
  pub fn is_leaving(&self) -> bool {
    self.leaving
  }

  /// The numbers of owned and of forwarded flows that are remembered.
  pub fn key_counts(&self) -> (usize, usize) {
    (self.owned.len(), self.forwarded.len())
  }

  /// Processes an event; returns an action only for a packet.
  pub fn step(&mut self, now: Instant, table: Option<&Table>, event: Event) -> Option<Action> {
    match event {
      Event::Carry { carry, flows } => {
        let action = self.decide(now, table, carry, flows);
        return Some(self.enforce_invariants(carry, action));
      }
      Event::Closed(key) => {
        self.owned.remove(&key);
      }
      Event::Found { key, target } if target != self.target => self.cache_target(now, key, target),
      Event::Found { .. } => {}
      Event::Leaving(leaving) => self.leaving = leaving,
    }
    None
  }

  fn decide(&mut self, now: Instant, table: Option<&Table>, carry: &Carry, flows: u32) -> Action {
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
      Flow::Keyed { key, opens } => self.decide_keyed(now, table, carry, flows, key, opens),
      Flow::Named {
        incarnation,
        target,
      } => self.decide_named(table, target, incarnation),
    }
  }

  /// Returns the action if it keeps the invariants: only packets for this target are delivered, and
  /// a flow is opened only with the frame's permission and while this target isn't draining.
  /// Otherwise panics in a debug build and refuses the packet in a release build.
  fn enforce_invariants(&self, carry: &Carry, action: Action) -> Action {
    let accepts = matches!(action, Action::Deliver | Action::Open | Action::Reset);
    let is_addressee = carry.service == self.service && carry.target == self.target;
    let allowed = !self.leaving && carry.may_open;
    let valid = (!accepts || is_addressee) && (action != Action::Open || allowed);
    debug_assert!(valid, "{action:?} of {carry:?} at target {}", self.target);
    if valid {
      action
    } else {
      Action::Refuse(Code::InvariantBroken)
    }
  }

  fn decide_named(
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
      Some(entry) => Action::Forward(Forward::to(Hop::from(entry))),
      None => Action::Refuse(Code::FlowUnknown),
    }
  }

  fn decide_keyed(
    &mut self,
    now: Instant,
    table: Option<&Table>,
    carry: &Carry,
    flows: u32,
    key: u64,
    opens: bool,
  ) -> Action {
    if let Some(last_packet) = self.owned.get_mut(&key) {
      *last_packet = now;
      return Action::Deliver;
    }
    if !carry.may_open && carry.chain.is_empty() {
      return Action::Skip;
    }
    let Some(table) = table else {
      return Action::Refuse(Code::NotReady);
    };
    if let Some(forward) = self.forward_to_cached(now, table, key, carry) {
      return Action::Forward(forward);
    }
    if let Some(forward) = self.forward_along_chain(table, carry) {
      return Action::Forward(forward);
    }
    if opens {
      return self.open_or_redirect(now, table, key, carry, flows);
    }
    self.search(now, table)
  }

  /// Forwards to the flow's cached target, if there is one: it confirmed that it owns the flow, or
  /// this target redirected the flow to it.
  fn forward_to_cached(
    &mut self,
    now: Instant,
    table: &Table,
    key: u64,
    carry: &Carry,
  ) -> Option<Forward> {
    // Another agent forwarded this packet; the cached target may be that agent.
    if carry.hops > 0 {
      return None;
    }
    let forwarded = self.forwarded.get_mut(&key)?;
    if forwarded.unanswered >= UNANSWERED_MAX {
      self.forwarded.remove(&key);
      return None;
    }
    forwarded.last_packet = now;
    forwarded.unanswered += 1;
    let to = Hop::from(table.get(forwarded.to)?);
    let mut chain = carry.chain.clone();
    chain.retain(|target| *target != to.target);
    Some(Forward::along(carry, to, chain))
  }

  /// Forwards to the next target of the chain that is in the table.
  fn forward_along_chain(&self, table: &Table, carry: &Carry) -> Option<Forward> {
    let mut rest = carry.chain.iter();
    let to = rest.find_map(|target| {
      if *target == self.target {
        return None;
      }
      table.get(*target).map(Hop::from)
    })?;
    Some(Forward::along(carry, to, rest.copied().collect()))
  }

  /// Opens the flow here, or redirects it when this target is draining or full.
  fn open_or_redirect(
    &mut self,
    now: Instant,
    table: &Table,
    key: u64,
    carry: &Carry,
    flows: u32,
  ) -> Action {
    let code = if self.leaving {
      Code::TargetLeaving
    } else if !carry.may_open {
      return Action::Skip;
    } else if flows >= self.flows_max(table) || !self.has_room(now) {
      Code::TargetFull
    } else {
      self.forwarded.remove(&key);
      self.owned.insert(key, now);
      return Action::Open;
    };
    if carry.redirects >= REDIRECTS_MAX {
      return Action::Refuse(code);
    }
    let Some(to) = routing::Machine::alternative(table, key, &[self.target]) else {
      return Action::Refuse(code);
    };
    self.cache_target(now, key, to.target);
    Action::Forward(Forward {
      redirects: carry.redirects + 1,
      may_open: carry.may_open,
      ..Forward::to(to)
    })
  }

  fn flows_max(&self, table: &Table) -> u32 {
    table.get(self.target).map_or(0, |entry| entry.connections)
  }

  /// Sends a copy of a packet to each of up to [`CHAIN_MAX`] other targets, because no target of its
  /// chain owns its flow. Unlike in a chain, a dead target doesn't affect the others. Refuses the
  /// packet when the rate limit is reached.
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

  /// Whether another owned flow can be remembered; expires idle flows first when there is no room.
  fn has_room(&mut self, now: Instant) -> bool {
    if self.owned.len() >= self.settings.remembered_max {
      self.expire(now);
    }
    self.owned.len() < self.settings.remembered_max
  }

  /// Caches the target that a flow's packets are forwarded to, unless too many are cached.
  fn cache_target(&mut self, now: Instant, key: u64, to: id::Target) {
    if self.forwarded.len() >= self.settings.remembered_max {
      self.expire(now);
    }
    if self.forwarded.len() < self.settings.remembered_max {
      self.forwarded.insert(
        key,
        Forwarded {
          last_packet: now,
          to,
          unanswered: 0,
        },
      );
    }
  }
}
