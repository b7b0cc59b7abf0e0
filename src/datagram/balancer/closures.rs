use {
  crate::datagram,
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

/// How long an agent's word that its data centre is closed counts: longer than the list takes to say
/// the same to a balancer that has not heard yet.
const WORD: Duration = Duration::from_secs(1);

/// Which data centres are closed to new flows, by the list and by the words of agents that refuse.
#[derive(Debug, Default)]
pub struct Closures {
  /// From when on the list closes each.
  listed: BTreeMap<String, Instant>,
  /// When an agent last said so, by its data centre.
  words: BTreeMap<String, Instant>,
}

impl Closures {
  /// An agent refuses, since its data centre is closed.
  pub fn hear(&mut self, now: Instant, data_centre: &str) {
    self.words.insert(data_centre.to_owned(), now);
  }

  /// Whether no new flow may go to a data centre.
  pub fn is_closed(&self, now: Instant, data_centre: &str) -> bool {
    let listed = self
      .listed
      .get(data_centre)
      .is_some_and(|from| now >= *from);
    let counts = |at: &Instant| now.saturating_duration_since(*at) < WORD;
    listed || self.words.get(data_centre).is_some_and(counts)
  }

  /// Takes the list as it is now; what is new there closes from a moment on.
  pub fn update(&mut self, listed: &datagram::Closures, from: Instant) {
    self.listed.retain(|name, _| listed.is_closed(name));
    for name in listed.closed() {
      self.listed.entry(name.to_owned()).or_insert(from);
    }
  }
}
