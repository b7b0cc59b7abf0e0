//! Exchanges history with other balancers: targets that were removed from the target list, and
//! services that addresses were routed to.

use {
  super::machine::Machine,
  crate::datagram::{Codec, Frame, Outbox, frame::TOMBSTONES_MAX},
  std::{net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// Requests a balancer's history, unless it is known or the request was sent recently.
  pub(super) fn request_history(&mut self, now: Instant, balancer: SocketAddrV4, out: &mut Outbox) {
    if self.history.take_due(now, balancer) {
      out.frame(balancer, &Frame::HistoryRequest, &[]);
    }
  }

  /// Requests the history of all live balancers that have not answered, if a search depends on it.
  pub(super) fn request_all_history(&mut self, now: Instant, out: &mut Outbox) {
    if self.history.is_known() || self.denied.is_empty() {
      return;
    }
    for balancer in self.gossip.maybe_alive(now).collect::<Vec<_>>() {
      self.request_history(now, balancer, out);
    }
  }

  /// Sends the targets that were removed, and the services that addresses were routed to.
  pub(super) fn send_history(&self, now: Instant, to: SocketAddrV4, out: &mut Outbox) {
    let tombstones = self.targets.tombstones(now, self.gossip.catalog());
    let known = self.history.is_known();
    let former_backends = self.gossip.former_backends(now);
    let parts = tombstones
      .len()
      .max(former_backends.len())
      .div_ceil(TOMBSTONES_MAX)
      .max(1);
    for part in 0..parts {
      let tombstones_part = tombstones
        .iter()
        .skip(part * TOMBSTONES_MAX)
        .take(TOMBSTONES_MAX);
      let former_backends_part = former_backends
        .iter()
        .skip(part * TOMBSTONES_MAX)
        .take(TOMBSTONES_MAX);
      let frame = Frame::History {
        known,
        former_backends: former_backends_part.cloned().collect(),
        part: part as u16,
        parts: parts as u16,
        tombstones: tombstones_part.cloned().collect(),
      };
      out.frame(to, &frame, &[]);
    }
  }

  /// Whether the history is lost for good, as after a loss of power everywhere: this process has just
  /// started, and none of the balancers that have answered knows the whole history.
  pub(super) fn is_history_lost(&self, now: Instant) -> bool {
    !self.history.is_known() && self.history.is_starting(now) && self.is_history_complete(now)
  }

  pub(super) fn is_history_complete(&self, now: Instant) -> bool {
    self.history.is_complete(now, self.gossip.maybe_alive(now))
  }

  /// Continues the searches for flows that all queried agents have denied, once the history is
  /// complete enough: agents that have become known are queried, and lost flows are reset.
  pub(super) fn conclude_denied(&mut self, now: Instant, out: &mut Outbox) {
    if self.denied.is_empty() || !self.is_history_complete(now) {
      return;
    }
    for flow in std::mem::take(&mut self.denied) {
      self.advance_search(now, flow, out);
    }
  }
}
