use {
  rand::{RngExt, rngs::SmallRng},
  serde::{Deserialize, Serialize},
  std::{net::IpAddr, time::Duration},
};

/// The faults that a fabric injects.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
  /// Pairs of IP numbers that do not reach each other.
  pub cuts: Vec<(IpAddr, IpAddr)>,
  /// The longest extra delay of a packet, in milliseconds; delays differ, so packets overtake.
  pub delay_ms: u64,
  /// The share of packets that arrive twice.
  pub duplicate: f64,
  /// The share of packets that are lost.
  pub loss: f64,
}

impl Plan {
  /// The delays of the copies of a packet that arrive.
  pub fn copies(&self, rng: &mut SmallRng) -> Vec<Duration> {
    let mut copies = Vec::with_capacity(2);
    if rng.random_bool(self.loss.clamp(0.0, 1.0)) {
      return copies;
    }
    copies.push(self.delay(rng));
    if rng.random_bool(self.duplicate.clamp(0.0, 1.0)) {
      copies.push(self.delay(rng));
    }
    copies
  }

  /// Whether two IP numbers are cut off from each other.
  pub fn is_cut(&self, a: IpAddr, b: IpAddr) -> bool {
    self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a))
  }

  fn delay(&self, rng: &mut SmallRng) -> Duration {
    if self.delay_ms == 0 {
      return Duration::ZERO;
    }
    Duration::from_millis(rng.random_range(0..=self.delay_ms))
  }
}
