//! What balancers tell each other of the past: targets that have left the list, and services that
//! addresses led to.

use {
  super::machine::Machine,
  crate::datagram::{Codec, Frame, Outbox, frame::PAST_MAX},
  std::{net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// Asks a balancer what left the list, while that is not known.
  pub(super) fn ask_past(&mut self, now: Instant, balancer: SocketAddrV4, out: &mut Outbox) {
    if self.history.asks(now, balancer) {
      out.frame(balancer, &Frame::AskPast, &[]);
    }
  }

  /// Asks all balancers that are there and have not answered.
  pub(super) fn ask_all_past(&mut self, now: Instant, out: &mut Outbox) {
    if self.history.is_known() || self.answered.is_empty() {
      return;
    }
    for balancer in self.spread.present(now).collect::<Vec<_>>() {
      self.ask_past(now, balancer, out);
    }
  }

  /// Tells a balancer that has just started which targets have left the list, and which services
  /// addresses led to.
  pub(super) fn tell_past(&self, now: Instant, to: SocketAddrV4, out: &mut Outbox) {
    let past = self.targets.past(now, self.spread.catalog());
    let known = self.history.is_known();
    let led = self.spread.led(now);
    let parts = past.len().max(led.len()).div_ceil(PAST_MAX).max(1);
    for part in 0..parts {
      let named = past.iter().skip(part * PAST_MAX).take(PAST_MAX);
      let led = led.iter().skip(part * PAST_MAX).take(PAST_MAX);
      let frame = Frame::Past {
        known,
        led: led.cloned().collect(),
        part: part as u16,
        parts: parts as u16,
        past: named.cloned().collect(),
      };
      out.frame(to, &frame, &[]);
    }
  }

  /// Whether nobody knows what left the list: this process has just started, and none of the balancers
  /// that have answered remembers more. They have all lost power then.
  pub(super) fn is_past_lost(&self, now: Instant) -> bool {
    !self.history.is_known() && self.history.is_young(now) && self.is_past_told(now)
  }

  pub(super) fn is_past_told(&self, now: Instant) -> bool {
    self.history.is_told(now, self.spread.present(now))
  }

  /// Concludes searches whose agents have all answered, once the list or the past is known.
  pub(super) fn conclude_answered(&mut self, now: Instant, out: &mut Outbox) {
    if self.answered.is_empty() || !self.is_past_told(now) {
      return;
    }
    for flow in std::mem::take(&mut self.answered) {
      self.conclude(now, flow, out);
    }
  }
}
