//! Selects the processes that read the platform.

use {
  super::Gossip,
  crate::datagram::Settings,
  std::{
    cmp::Reverse,
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
  xxhash_rust::xxh3::xxh3_64,
};

/// How long a process waits for an update from the seeds when the whole system starts for the first
/// time.
const FIRST_START_DELAY: Duration = Duration::from_secs(5);

impl Gossip {
  /// Whether this process is to read the platform. The readers are the live balancers with the
  /// lowest rank; any other balancer reads too once its catalog has not been confirmed for the
  /// takeover time. A reader pushes to all others, hence the fastest links rank first.
  pub fn is_reader(&self, now: Instant) -> bool {
    if !self.balancer || self.stopping {
      return false;
    }
    if self.confirmations.latest().is_none() && now < self.read_after {
      return false;
    }
    let own = rank(self.address, self.link);
    let live = self.peers.iter();
    let live = live.filter(|(_, peer)| peer.balancer && !peer.stopping && self.is_alive(now, peer));
    let before = live
      .filter(|(address, peer)| rank(**address, peer.link) < own)
      .count();
    if before < self.tuning.readers {
      return true;
    }
    let takeover_after = self.tuning.takeover + Duration::from_millis(100) * before as u32;
    self.confirmed(now).is_none_or(|age| age >= takeover_after)
  }
}

/// How long a process waits for an update from a peer before it reads the platform. On the first
/// start of the whole system no callers are served yet, and the seeds read for all, so that the
/// platform is not overloaded.
pub(super) fn read_delay(settings: &Settings) -> Duration {
  let seed = settings.seeds.is_empty() || settings.seeds.contains(&settings.peers);
  if settings.first_start && !seed {
    FIRST_START_DELAY
  } else {
    Duration::ZERO
  }
}

/// The rank of a balancer as a reader; the lowest ranks read.
fn rank(address: SocketAddrV4, link: u8) -> (Reverse<u8>, u64) {
  (Reverse(link), xxh3_64(&address.ip().octets()))
}
