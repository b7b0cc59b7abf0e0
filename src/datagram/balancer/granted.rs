//! Announces the queue to agents and uses the slots that they grant.

use {
  super::{choosing::Choice, machine::Machine},
  crate::datagram::{Codec, Frame, Load, Outbox, Service},
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
    out: &mut Outbox,
  ) {
    self.targets.record_load(now, from, load);
    let Some(service) = self.targets.service(from).cloned() else {
      return;
    };
    if self.targets.serves(now, from) && self.use_grant(now, from, &service, out) {
      return;
    }
    let frame = Frame::Backlog {
      flows: 0,
      service: service.digest(),
    };
    out.frame(from, &frame, &[]);
  }

  /// Sends a queued flow to a target that has reserved a slot; false if none is queued.
  fn use_grant(
    &mut self,
    now: Instant,
    agent: SocketAddrV4,
    service: &Service,
    out: &mut Outbox,
  ) -> bool {
    let Some(choice) = self.targets.choice(agent) else {
      return false;
    };
    let choice = Choice {
      is_granted: true,
      ..choice
    };
    for class in self.queue.classes(service) {
      self.expire_queued(now, &class, out);
      while let Some(queued) = self.most_urgent(now, &class, &choice) {
        if self.send_queued(now, &class, queued, choice, out) {
          return true;
        }
      }
    }
    false
  }

  /// Sends the length of a service's queue to its agents, which reserve slots then.
  pub(super) fn announce(&mut self, now: Instant, service: &Service, out: &mut Outbox) {
    let flows = self.queue.len(service);
    if flows == 0 {
      self.announced.remove(service);
      return;
    }
    if !self.announced.is_due(now, service, flows) {
      return;
    }
    let frame = Frame::Backlog {
      flows: flows.min(usize::from(u16::MAX)) as u16,
      service: service.digest(),
    };
    for agent in self.targets.serving(now, service) {
      out.frame(agent, &frame, &[]);
    }
  }
}
