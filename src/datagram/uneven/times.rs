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

/// What a load reports of a kind of work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Entry {
  kind: Kind,
  /// The service time, in milliseconds.
  ms: u16,
  /// The mean number of requests in a flow.
  requests: u16,
}

/// The service times of some kinds of work, and the requests in a flow of each.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Times([Option<Entry>; REPORTED_MAX]);

impl Times {
  /// The kinds with their times.
  pub fn iter(&self) -> impl Iterator<Item = (Kind, Duration)> {
    let entries = self.0.iter().flatten();
    entries.map(|entry| (entry.kind, Duration::from_millis(entry.ms.into())))
  }

  /// The kinds with the mean numbers of requests in their flows.
  pub fn requests(&self) -> impl Iterator<Item = (Kind, f64)> {
    let entries = self.0.iter().flatten();
    entries.map(|entry| (entry.kind, entry.requests.into()))
  }

  /// The time of a kind; none where it is not reported.
  pub fn get(&self, kind: Kind) -> Option<Duration> {
    let mut measured = self.iter();
    measured
      .find(|(other, _)| *other == kind)
      .map(|(_, time)| time)
  }
}

impl FromIterator<(Kind, Duration, f64)> for Times {
  /// Keeps the first entries, as many as a load reports: kinds with their times and the requests in
  /// a flow. Both are rounded; none is 0.
  fn from_iter<I: IntoIterator<Item = (Kind, Duration, f64)>>(entries: I) -> Self {
    let mut times = Self::default();
    for (place, (kind, time, requests)) in times.0.iter_mut().zip(entries) {
      let ms = to_count(time.as_secs_f64() * 1000.0);
      let requests = to_count(requests);
      *place = Some(Entry { kind, ms, requests });
    }
    times
  }
}

impl FromIterator<(Kind, Duration)> for Times {
  /// The same, where each flow has one request.
  fn from_iter<I: IntoIterator<Item = (Kind, Duration)>>(entries: I) -> Self {
    let entries = entries.into_iter();
    entries.map(|(kind, time)| (kind, time, 1.0)).collect()
  }
}

fn to_count(value: f64) -> u16 {
  value.round().clamp(1.0, u16::MAX.into()) as u16
}
