//! How an agent keeps places at its upstream for flows that wait in balancers.

use {
  super::machine::Machine,
  crate::{
    Code,
    datagram::{Codec, Frame, Outbox, service::Digest},
  },
  std::{net::SocketAddrV4, time::Instant},
};

/// For how many slots one place more is granted, so that no slot is idle while its next request is
/// on its way.
const SLOTS_AHEAD: u16 = 2;

impl<C: Codec> Machine<C> {
  /// A balancer says how many of its flows wait.
  pub(super) fn take_backlog(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flows: u16,
    service: Digest,
  ) -> Result<(), Code> {
    if service != self.upstream.service.digest() {
      return Err(Code::FrameWrongService);
    }
    self.grants.take_backlog(now, from, flows);
    Ok(())
  }

  /// Grants the places that are free to balancers where flows wait, at once: the loads that they
  /// hear are older than a request takes, and targets were given 450 requests a second of the 525
  /// that they could take.
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
    let places = slots.saturating_add(slots.div_ceil(SLOTS_AHEAD));
    let taken = load.work.saturating_add(self.grants.kept());
    let free = places.saturating_sub(taken);
    for _ in 0..self.room(now).map_or(free, |room| room.min(free)) {
      let Some(balancer) = self.grants.next(now) else {
        return;
      };
      self.counter.add("grants", 1);
      out.frame(balancer, &Frame::Grant(load), &[]);
    }
  }
}
