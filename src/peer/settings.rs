use std::time::Duration;

/// The bounds of the spread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
  /// How long a peer that could not be reached is passed over.
  pub avoid: Duration,
  /// How many peers hear of news at once from a process that has just learnt it.
  pub fan_out: usize,
  /// How many bytes of documents go into one message.
  pub message_bytes: usize,
  /// How many changed documents at once count as news.
  pub news_max: usize,
  /// How many balancers an agent is told of.
  pub subset: usize,
  /// The time between two questions of a follower; a frame that shows news makes it ask at once.
  pub follow: Duration,
  /// The time between two digests of a carrier.
  pub tick: Duration,
}

impl Default for Settings {
  fn default() -> Self {
    Self {
      avoid: Duration::from_secs(10),
      fan_out: 4,
      follow: Duration::from_secs(3),
      message_bytes: 128 << 10,
      news_max: 8,
      subset: 3,
      tick: Duration::from_secs(1),
    }
  }
}
