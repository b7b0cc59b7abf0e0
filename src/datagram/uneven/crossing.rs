use std::time::Duration;

/// The part of the crossing cost below which flows are kept. Sending a flow shortens the wait here
/// and lengthens that there, so a single limit would alternate.
const STOP_PART: f64 = 0.5;

/// Whether a data centre sends new flows of a service to another one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crossing {
  is_open: bool,
}

impl Crossing {
  /// Decides anew from the wait in either data centre and the crossing cost.
  pub fn update(&mut self, here: Duration, there: Duration, cost: Duration) {
    self.is_open = here > there + cost.mul_f64(self.part());
  }

  /// Whether flows are sent to the other data centre.
  pub fn is_open(&self) -> bool {
    self.is_open
  }

  /// The part of the crossing cost that counts.
  pub fn part(&self) -> f64 {
    if self.is_open { STOP_PART } else { 1.0 }
  }
}
