use {
  rand::{RngExt, rngs::SmallRng},
  serde::{Deserialize, Serialize},
  std::{net::IpAddr, time::Duration},
};

/// The faults that a fabric injects into the traffic it forwards.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
  /// Pairs of IP addresses that cannot reach each other.
  pub cuts: Vec<(IpAddr, IpAddr)>,
  /// The largest additional delay of a packet, in milliseconds. Delays are random, so packets may
  /// be reordered.
  pub delay_ms: u64,
  /// The fraction of packets that are duplicated.
  pub duplicate: f64,
  /// The fraction of packets that are lost.
  pub loss: f64,
}

impl Plan {
  /// The delay of each copy of a packet that is delivered: none if it is lost, two if duplicated.
  pub fn copy_delays(&self, rng: &mut SmallRng) -> Vec<Duration> {
    let mut copy_delays = Vec::with_capacity(2);
    if rng.random_bool(self.loss.clamp(0.0, 1.0)) {
      return copy_delays;
    }
    copy_delays.push(self.random_delay(rng));
    if rng.random_bool(self.duplicate.clamp(0.0, 1.0)) {
      copy_delays.push(self.random_delay(rng));
    }
    copy_delays
  }

  /// Whether two IP addresses are cut off from each other.
  pub fn is_cut(&self, a: IpAddr, b: IpAddr) -> bool {
    self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a))
  }

  fn random_delay(&self, rng: &mut SmallRng) -> Duration {
    if self.delay_ms == 0 {
      return Duration::ZERO;
    }
    Duration::from_millis(rng.random_range(0..=self.delay_ms))
  }
}
