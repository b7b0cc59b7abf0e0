use {
  super::uneven::Times,
  serde::{Deserialize, Serialize},
};

/// The load of a target, as measured by its agent.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
  /// How many answers were measured, modulo 2^16; 0 where overload control is off.
  pub answers: u16,
  /// The average size of a request and its answer, in bytes.
  pub bytes: u32,
  /// Whether the upstream answers nothing.
  pub down: bool,
  /// The percentage of recent requests that the upstream is likely to have failed.
  pub failed: u8,
  /// The number of open flows.
  pub flows: u16,
  /// How many new flows the upstream may be given now; none if unlimited.
  pub room: Option<u16>,
  /// The time to process a request that isn't queued, in milliseconds; 0 if unknown.
  pub service_ms: u16,
  /// The times to process requests of each kind; none where overload control is off.
  pub times: Times,
  /// The number of flows that are queued in all balancers for the upstream's service, as known to its
  /// agent.
  pub waiting: u16,
  /// The number of requests in flight at the upstream.
  pub work: u16,
}

/// The processing time that is assumed when unknown, in milliseconds.
const SERVICE_MS_DEFAULT: f64 = 40.0;

impl Load {
  /// Whether the upstream can be given no new flow besides the `pending` ones that are on their
  /// way.
  pub fn is_full(&self, pending: u16) -> bool {
    self.room.is_some_and(|room| room <= pending)
  }

  /// Whether the processing time is at least twice as long as in another load, or half as long: the
  /// ratio from which a target is relieved. False where either is unknown.
  pub fn has_other_speed(&self, other: &Self) -> bool {
    let (one, other) = (self.service_ms, other.service_ms);
    let (shorter, longer) = (one.min(other), one.max(other));
    shorter > 0 && longer / 2 >= shorter
  }

  /// The processing time of a request that isn't queued, in milliseconds, measured or assumed.
  pub fn time_ms(&self) -> f64 {
    known_or_default(f64::from(self.service_ms))
  }
}

/// The time until an additional request would be answered at a target with `slots` slots, in
/// milliseconds; `service_ms` is the processing time of one that isn't queued, 0 if unknown.
pub fn wait_ms(service_ms: f64, work: u16, slots: u16) -> f64 {
  known_or_default(service_ms) + queue_ms(service_ms, work, slots)
}

/// The time until a slot is free for an additional request, in milliseconds, as for `wait_ms`.
pub fn queue_ms(service_ms: f64, work: u16, slots: u16) -> f64 {
  let service_ms = known_or_default(service_ms);
  let slots = f64::from(slots);
  let queue = (f64::from(work) + 1.0 - slots).max(0.0);
  queue * service_ms / slots
}

fn known_or_default(service_ms: f64) -> f64 {
  if service_ms == 0.0 {
    SERVICE_MS_DEFAULT
  } else {
    service_ms
  }
}
