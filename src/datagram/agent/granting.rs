//! Grants free slots of the upstream to balancers that have flows queued.

use {
  super::{grants::GRANT_TTL, machine::Machine},
  crate::{
    Code,
    datagram::{Codec, Frame, Load, Outbox, frame::Demand, service::Digest},
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
    let capacity = self.slots().saturating_add(self.extra_grants(&load));
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

  /// How many requests are granted beyond the slots. While only grants open flows, no other request
  /// fills a slot that is idle until the granted one arrives: as many as the slots answer meanwhile
  /// are granted. A flow that takes longer than a grant is reserved for counts as one that does not,
  /// so that a slow caller can't fill the upstream's queue.
  fn extra_grants(&self, load: &Load) -> u16 {
    let slots = self.slots();
    let extra = slots.div_ceil(SLOTS_PER_EXTRA_GRANT);
    if !self.tuning.overload.enabled {
      return extra;
    }
    let arrival = self.grants.opening_time() + self.first_request_timeout.mean();
    let arrival_ms = arrival.min(GRANT_TTL).as_secs_f64() * 1000.0;
    let answered = (f64::from(slots) * arrival_ms / load.time_ms()).ceil();
    extra.max(answered as u16)
  }
}
