//! Which processes read the platform.

use {
  super::Spread,
  crate::datagram::Settings,
  std::{
    cmp::Reverse,
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
  xxhash_rust::xxh3::xxh3_64,
};

/// How long the first start of the whole system may take to spread from its seeds.
const FIRST_START: Duration = Duration::from_secs(5);

impl Spread {
  /// Whether this process is to read from the platform: the first few balancers, those with the widest
  /// links and then by a hash that all share, and each one that nobody's fresh word reaches. The reader
  /// tells all others: over a link of 10 Mbit/s its callers' packets waited behind that.
  pub fn is_reader(&self, now: Instant) -> bool {
    if !self.balancer || self.stopping {
      return false;
    }
    if self.confirmed.is_none() && now < self.hears_until {
      return false;
    }
    let own = rank(self.address, self.link);
    let live = self.peers.iter();
    let live = live.filter(|(_, peer)| peer.balancer && !peer.stopping && self.is_heard(now, peer));
    let before = live
      .filter(|(address, peer)| rank(**address, peer.link) < own)
      .count();
    if before < self.tuning.readers {
      return true;
    }
    let patience = self.tuning.takeover + Duration::from_millis(100) * before as u32;
    self.confirmed(now).is_none_or(|age| age >= patience)
  }
}

/// How long a process waits for a peer's word before it reads itself. Where the whole system starts for
/// the first time nobody is served yet, and its seeds read for all: 304 balancers made 2,700 calls.
pub(super) fn hears(settings: &Settings) -> Duration {
  let seed = settings.seeds.is_empty() || settings.seeds.contains(&settings.peers);
  if settings.first_start && !seed {
    FIRST_START
  } else {
    Duration::ZERO
  }
}

/// The place of a balancer among those that may read; the least reads.
fn rank(address: SocketAddrV4, link: u8) -> (Reverse<u8>, u64) {
  (Reverse(link), xxh3_64(&address.ip().octets()))
}
