use {
  serde::{Deserialize, Serialize},
  std::{net::SocketAddrV4, time::Duration},
  xxhash_rust::xxh3::xxh3_64,
};

/// How many times a load reports: each frame about a flow carries them.
const REPORTED_MAX: usize = 4;

/// A kind of work: a digest of the address of its route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Kind(u32);

impl From<SocketAddrV4> for Kind {
  fn from(route: SocketAddrV4) -> Self {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&route.ip().octets());
    bytes[4..].copy_from_slice(&route.port().to_be_bytes());
    Self(xxh3_64(&bytes) as u32)
  }
}

/// The service times of some kinds of work, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Times([Option<(Kind, u16)>; REPORTED_MAX]);

impl Times {
  /// The kinds with their times.
  pub fn iter(&self) -> impl Iterator<Item = (Kind, Duration)> {
    let measured = self.0.iter().flatten();
    measured.map(|(kind, ms)| (*kind, Duration::from_millis((*ms).into())))
  }

  /// The time of a kind; none where it is not reported.
  pub fn get(&self, kind: Kind) -> Option<Duration> {
    let mut measured = self.iter();
    measured
      .find(|(other, _)| *other == kind)
      .map(|(_, time)| time)
  }
}

impl FromIterator<(Kind, Duration)> for Times {
  /// Keeps the first entries, as many as a load reports. Times are rounded; none is 0.
  fn from_iter<I: IntoIterator<Item = (Kind, Duration)>>(entries: I) -> Self {
    let mut times = Self::default();
    for (place, (kind, time)) in times.0.iter_mut().zip(entries) {
      let ms = time.as_secs_f64() * 1000.0;
      *place = Some((kind, ms.round().clamp(1.0, u16::MAX.into()) as u16));
    }
    times
  }
}
