//! Grants free slots of the upstream to balancers that have flows queued.

use {
  super::machine::Machine,
  crate::{
    Code,
    datagram::{Codec, Frame, Outbox, frame::Demand, service::Digest},
  },
  std::{net::SocketAddrV4, time::Instant},
};

/// One request beyond the slots is granted per this many slots, so that no slot is idle while its
/// next request is on its way.
const SLOTS_PER_EXTRA_GRANT: u16 = 2;

impl<C: Codec> Machine<C> {
  /// Sets which flows a balancer has queued for the service.
  pub(super) fn set_backlog(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    service: Digest,
    classes: &[Demand],
  ) -> Result<(), Code> {
    if service != self.upstream.service.digest() {
      return Err(Code::FrameWrongService);
    }
    self.grants.set_backlog(now, from, classes);
    Ok(())
  }

  /// The number of flows that wait in all balancers for the service, as far as this agent knows.
  pub(super) fn waiting(&self, now: Instant) -> u16 {
    if !self.tuning.overload.enabled {
      return 0;
    }
    self.grants.waiting(now)
  }

  /// Whether so many flows wait that only those with a grant are opened: a free slot does not go
  /// to a flow that has just come while others wait for it elsewhere.
  pub(super) fn grants_only(&self, now: Instant) -> bool {
    self.waiting(now) > self.slots()
  }

  /// Grants the free slots to balancers that have flows queued. Runs after each event, since the
  /// loads that balancers know may be older than a request takes.
  pub(super) fn grant(&mut self, now: Instant, out: &mut Outbox) {
    let lapsed = self.grants.expire(now);
    self.counter.add("grants.lapsed", lapsed);
    if self.leaving || self.is_closed(now) || self.grants.is_empty() {
      return;
    }
    let load = self.load(now);
    if load.down {
      return;
    }
    let slots = self.slots();
    let capacity = slots.saturating_add(slots.div_ceil(SLOTS_PER_EXTRA_GRANT));
    let used = load.work.saturating_add(self.grants.reserved());
    let free = capacity.saturating_sub(used);
    for _ in 0..self.room(now).map_or(free, |room| room.min(free)) {
      let Some((balancer, priority)) = self.grants.grant_next(now) else {
        return;
      };
      self.counter.add("grants", 1);
      out.frame(balancer, &Frame::Grant { load, priority }, &[]);
    }
  }
}
