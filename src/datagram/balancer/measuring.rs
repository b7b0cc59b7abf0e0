//! Measures what the admission queue relies on, and shows its state.

use {
  super::{choosing::Choice, class_state::ClassState, machine::Machine, queue::Queued},
  crate::datagram::{Codec, Flow, Service},
  serde_json::json,
  std::time::Instant,
};

impl<C: Codec> Machine<C> {
  /// Updates what is known of the targets of a service.
  pub(super) fn update_capacity(&mut self, now: Instant, service: &Service) {
    if self.tuning.overload.enabled {
      let capacity = self.targets.capacity(now, service);
      self.shedding.update(service, capacity);
    }
  }

  /// Records that a flow is sent to a target.
  pub(super) fn record_placement(
    &mut self,
    now: Instant,
    queued: Queued,
    service: &Service,
    choice: &Choice,
  ) {
    if !self.tuning.overload.enabled {
      return;
    }
    let (_, flow) = queued;
    let class = self.class(&flow, service);
    let is_late = !self.is_in_time(now, queued, choice);
    self.shedding.record_placement(now, &class, flow, is_late);
  }

  /// Discards the placement of a flow at a target that did not take it.
  pub(super) fn retract_placement(&mut self, flow: &Flow) {
    if !self.tuning.overload.enabled {
      return;
    }
    let agent = self.flows.get(flow).map(|place| place.agent);
    let Some(service) = agent.and_then(|agent| self.targets.service(agent)) else {
      return;
    };
    let class = self.class(flow, service);
    self.shedding.retract_placement(&class, flow);
  }

  /// Logs the classes that have become overloaded or have recovered.
  pub(super) fn log_overload(&mut self, now: Instant) {
    for (class, state) in self.shedding.changes(now) {
      let ClassState {
        queued,
        drain_rate,
        late_rate,
        ..
      } = state;
      if state.overloaded {
        log::info!(
          service:% = class.service, priority = class.priority, queued = queued,
          drain_rate = drain_rate, late_rate = late_rate;
          "balancer: class is overloaded."
        );
      } else {
        log::info!(
          service:% = class.service, priority = class.priority, queued = queued,
          drain_rate = drain_rate, late_rate = late_rate;
          "balancer: class has recovered."
        );
      }
    }
  }

  /// The state of each class that waits, as JSON for operators.
  pub(super) fn dump_admission(&self, now: Instant) -> serde_json::Value {
    let classes = self.shedding.classes().map(|class| {
      let oldest = self.queue.oldest(class);
      let age_ms = |first| now.saturating_duration_since(first).as_millis() as u64;
      let state = self.shedding.state(now, class);
      json!({
        "callers": state.callers,
        "drain_rate": state.drain_rate,
        "late_rate": state.late_rate,
        "limit": state.limit,
        "oldest_ms": oldest.map(|(first, _)| age_ms(first)),
        "overloaded": state.overloaded,
        "priority": class.priority,
        "queued": state.queued,
        "service": class.service,
      })
    });
    classes.collect()
  }
}
