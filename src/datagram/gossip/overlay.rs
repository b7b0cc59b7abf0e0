use {std::net::SocketAddrV4, xxhash_rust::xxh3::xxh3_64};

/// The average number of a process's neighbours in the overlay, among the balancers of all data
/// centres: enough for an update to reach all of them within a few hops.
const DEGREE: usize = 32;

/// The overlay of pairs that exchange statuses across data centres. A full mesh would send a number
/// of statuses that grows with the square of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Overlay {
  own: SocketAddrV4,
  /// The fraction of all pairs that exchange statuses, scaled to `u32::MAX`.
  share: u32,
}

impl Overlay {
  /// The overlay as seen by a process that knows `balancers` other balancers.
  pub fn new(own: SocketAddrV4, balancers: usize) -> Self {
    let share = DEGREE as f64 / balancers.max(1) as f64;
    Self {
      own,
      share: (share.min(1.0) * f64::from(u32::MAX)) as u32,
    }
  }

  /// Whether every pair exchanges statuses.
  pub fn is_full(self) -> bool {
    self.share == u32::MAX
  }

  /// Whether this process exchanges statuses with another; both come to the same result.
  pub fn has(self, other: SocketAddrV4) -> bool {
    let (low, high) = if self.own < other {
      (self.own, other)
    } else {
      (other, self.own)
    };
    let mut pair = [0; 8];
    pair[..4].copy_from_slice(&low.ip().octets());
    pair[4..].copy_from_slice(&high.ip().octets());
    xxh3_64(&pair) as u32 <= self.share
  }
}
