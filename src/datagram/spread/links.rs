use {std::net::SocketAddrV4, xxhash_rust::xxh3::xxh3_64};

/// How many balancers of other data centres a process keeps in touch with where there are more: enough
/// that those who are in touch hear of each other over a few, and to have other targets to go to.
const MOST: usize = 32;

/// Which processes of other data centres a process keeps in touch with. Where all told all of
/// themselves, what is told would grow as the square of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Links {
  own: SocketAddrV4,
  /// The part of all pairs that keep in touch, of `u32::MAX`.
  part: u32,
}

impl Links {
  /// The links of a process that knows so many balancers.
  pub fn new(own: SocketAddrV4, balancers: usize) -> Self {
    let part = MOST as f64 / balancers.max(1) as f64;
    Self {
      own,
      part: (part.min(1.0) * f64::from(u32::MAX)) as u32,
    }
  }

  /// Whether every process keeps in touch with every other.
  pub fn are_all(self) -> bool {
    self.part == u32::MAX
  }

  /// Whether this process keeps in touch with another: both find the same.
  pub fn has(self, other: SocketAddrV4) -> bool {
    let (low, high) = if self.own < other {
      (self.own, other)
    } else {
      (other, self.own)
    };
    let mut pair = [0; 8];
    pair[..4].copy_from_slice(&low.ip().octets());
    pair[4..].copy_from_slice(&high.ip().octets());
    xxh3_64(&pair) as u32 <= self.part
  }
}
