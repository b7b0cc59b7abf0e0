//! Imports the history of other processes. Until it is complete, no flow counts as lost.

use {
  super::machine::Machine,
  crate::datagram::{Codec, Outbox, frame::History},
  std::{net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// Imports a part of another process's history, and continues the searches that wait for it.
  pub(super) fn take_history(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    history: &History,
    out: &mut Outbox,
  ) {
    if self.gossip.take_history(now, from, history) {
      self.update_targets(now);
    }
    self.gossip.request_all_history(now, out);
    self.denied.append(&mut self.unproven);
    self.conclude_denied(now, out);
  }

  /// Requests the history of all live processes that have not answered, if a search depends on it.
  pub(super) fn request_missing_history(&mut self, now: Instant, out: &mut Outbox) {
    if !self.denied.is_empty() {
      self.gossip.request_all_history(now, out);
    }
  }

  /// Continues the searches for flows that all queried agents have denied, once the history is
  /// complete: agents that have become known are queried, and lost flows are reset.
  pub(super) fn conclude_denied(&mut self, now: Instant, out: &mut Outbox) {
    if self.denied.is_empty() || !self.gossip.is_history_complete(now) {
      return;
    }
    for flow in std::mem::take(&mut self.denied) {
      self.advance_search(now, flow, out);
    }
  }
}
