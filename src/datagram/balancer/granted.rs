//! Announces the queue to agents and uses the slots that they grant.

use {
  super::{
    announced::ClassLength, choosing::Choice, machine::Machine, queue::FlowClass,
    targets::TargetState,
  },
  crate::{
    config::Presence,
    datagram::{
      Codec, Frame, Load, Outbox, Service,
      frame::{DEMANDS_MAX, Demand, Handling},
    },
  },
  std::{net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// Uses a slot that an agent has reserved for a queued flow, or returns it if it cannot be
  /// used.
  pub(super) fn accept_grant(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    load: Load,
    priority: u8,
    out: &mut Outbox,
  ) {
    self.targets.record_load(now, from, load);
    self.record_answer(from);
    let Some(service) = self.targets.service(from).cloned() else {
      return;
    };
    let used = self.targets.serves(now, from) && self.use_grant(now, from, &service, priority, out);
    if self.tuning.overload.enabled && !self.queue.has_flows(&service) {
      self.announced.clear(&service);
    }
    if used {
      return;
    }
    let frame = Frame::Backlog {
      service: service.digest(),
      classes: Vec::new(),
    };
    out.frame(from, &frame, &[]);
  }

  /// Records that an agent shows that it knows of waiting flows.
  pub(super) fn record_answer(&mut self, agent: SocketAddrV4) {
    if let Some(service) = self.targets.service(agent) {
      self.announced.record_answer(service);
    }
  }

  /// Whether grants of a service's agents can be expected: one has answered the last report, or they
  /// have not had the time to.
  pub(super) fn awaits_grant(&self, now: Instant, service: &Service) -> bool {
    self.tuning.overload.enabled && !self.announced.is_unanswered(now, service)
  }

  /// Whether flows of a service are sent to targets only by grants, whatever loads are known: flows
  /// wait elsewhere too, and each has the same chance for the next free slot.
  pub(super) fn must_compete(&self, now: Instant, service: &Service) -> bool {
    let agents = self.targets.services.get(service).into_iter().flatten();
    let mut targets = agents.filter_map(|agent| self.targets.by_agent.get(agent));
    self.awaits_grant(now, service)
      && targets.any(|target| target.service == *service && self.is_contended(now, target))
  }

  /// Whether a live target reports that more flows wait than it has slots.
  fn is_contended(&self, now: Instant, target: &TargetState) -> bool {
    let is_live = target.removed.is_none()
      && target.presence == Presence::Live
      && !target.stopping
      && !target.load.down
      && self.targets.is_alive(now, target);
    is_live && target.load.waiting > target.slots
  }

  /// How an agent is to open a flow that is sent there.
  pub(super) fn opening_handling(
    &self,
    now: Instant,
    service: &Service,
    is_granted: bool,
  ) -> Handling {
    let is_unanswered = self.tuning.overload.enabled && !self.awaits_grant(now, service);
    if is_unanswered && !is_granted {
      Handling::OpenUngranted
    } else {
      Handling::Open
    }
  }

  /// Sends a queued flow to a target that has reserved a slot for a class; false if none is queued.
  /// If none of the class is, a flow of another one is sent, of the highest priority first.
  fn use_grant(
    &mut self,
    now: Instant,
    agent: SocketAddrV4,
    service: &Service,
    priority: u8,
    out: &mut Outbox,
  ) -> bool {
    let Some(choice) = self.targets.choice(agent) else {
      return false;
    };
    let choice = Choice {
      is_granted: true,
      ..choice
    };
    let mut classes = self.queue.classes(service);
    if self.tuning.overload.enabled {
      classes.sort_by_key(|class| class.priority != priority);
    }
    for class in classes {
      self.expire_queued(now, &class, out);
      while let Some(queued) = self.most_urgent(now, &class, &choice) {
        if self.send_queued(now, &class, queued, choice, out) {
          return true;
        }
      }
    }
    false
  }

  /// Sends the lengths of a service's queues to its agents, which reserve slots then.
  pub(super) fn announce(&mut self, now: Instant, service: &Service, out: &mut Outbox) {
    let classes = self.queue.classes(service);
    if classes.is_empty() {
      self.announced.clear(service);
      return;
    }
    if !self
      .announced
      .is_due(now, service, &self.class_lengths(&classes))
    {
      return;
    }
    let frame = Frame::Backlog {
      service: service.digest(),
      classes: self.demands(now, &classes),
    };
    for agent in self.targets.serving(now, service) {
      out.frame(agent, &frame, &[]);
    }
  }

  /// The lengths whose change is reported at once: those of all classes, or of all together.
  fn class_lengths(&self, classes: &[FlowClass]) -> Vec<ClassLength> {
    let lengths = classes
      .iter()
      .map(|class| (class.priority, self.queue.flows(class)));
    if self.tuning.overload.enabled {
      return lengths.collect();
    }
    vec![(0, lengths.map(|(_, flows)| flows).sum())]
  }

  /// The flows of each class for a report. The lowest of too many classes are counted in the last
  /// entry.
  fn demands(&self, now: Instant, classes: &[FlowClass]) -> Vec<Demand> {
    let mut demands = Vec::<Demand>::new();
    for class in classes {
      let demand = self.demand(now, class);
      match demands.get_mut(DEMANDS_MAX - 1) {
        Some(last) => last.add(&demand),
        None => demands.push(demand),
      }
    }
    demands
  }

  fn demand(&self, now: Instant, class: &FlowClass) -> Demand {
    let oldest = self.queue.oldest(class);
    let age = oldest.map(|(first, _)| now.saturating_duration_since(first));
    Demand {
      priority: class.priority,
      flows: to_u16(self.queue.flows(class)),
      callers: to_u16(self.shedding.callers(class)),
      oldest_ms: to_u16(age.unwrap_or_default().as_millis() as usize),
    }
  }
}

/// The number, or the greatest that a report can hold.
fn to_u16(number: usize) -> u16 {
  number.min(usize::from(u16::MAX)) as u16
}
