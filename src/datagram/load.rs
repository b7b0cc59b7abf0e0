use serde::{Deserialize, Serialize};

/// How busy a target is, by its agent's own count.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
  /// The mean bytes of a request and its answer.
  pub bytes: u32,
  /// Whether the upstream does not answer at all.
  pub down: bool,
  /// How many of a hundred requests it most likely failed, lately.
  pub failed: u8,
  /// Flows that are open.
  pub flows: u16,
  /// How many new flows the upstream may be given now; none where nothing bounds that.
  pub room: Option<u16>,
  /// The time that the upstream takes for a request that did not wait, in milliseconds.
  pub service_ms: u16,
  /// Requests that the upstream has and has not answered.
  pub work: u16,
}

/// The time that a request is assumed to take where none was measured, in milliseconds.
const SERVICE_MS: f64 = 40.0;

impl Load {
  /// Whether the upstream may be given no new flow but those that are on their way.
  pub fn is_full(&self, pending: u16) -> bool {
    self.room.is_some_and(|room| room <= pending)
  }

  /// The time that a request takes that does not wait, in milliseconds: measured or assumed.
  pub fn time_ms(&self) -> f64 {
    assumed(f64::from(self.service_ms))
  }
}

/// The time until a request more would be answered at a target with so many slots, in
/// milliseconds; `service_ms` is the time of one that does not wait, 0 where that is unknown.
pub fn wait_ms(service_ms: f64, work: u16, slots: u16) -> f64 {
  let service_ms = assumed(service_ms);
  let slots = f64::from(slots);
  let queue = (f64::from(work) + 1.0 - slots).max(0.0);
  service_ms + queue * service_ms / slots
}

fn assumed(service_ms: f64) -> f64 {
  if service_ms == 0.0 {
    SERVICE_MS
  } else {
    service_ms
  }
}
