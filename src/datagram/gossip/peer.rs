use {crate::Revision, std::time::Instant};

/// The state of another process, as seen by this one.
#[derive(Clone, Debug)]
pub struct Peer {
  /// Whether it is a balancer.
  pub balancer: bool,
  /// The revision up to which its catalog is complete.
  pub synced: Revision,
  /// The hash of its data centre's name; none before its first status.
  pub data_centre: Option<u32>,
  /// The incarnation that sent its latest status.
  pub incarnation: Option<u32>,
  /// When a frame last arrived from it.
  pub last_heard: Option<Instant>,
  /// Base-2 logarithm of its link's rate in bytes per second; 0 if unknown.
  pub link: u8,
  /// When this process learned of it.
  pub known_since: Instant,
  /// Whether it is stopping.
  pub stopping: bool,
  /// When it was last sent a status.
  pub last_sent: Option<Instant>,
}

impl Peer {
  /// A process that has not been heard from yet.
  pub fn new(now: Instant, balancer: bool) -> Self {
    Self {
      balancer,
      synced: Revision::default(),
      data_centre: None,
      last_heard: None,
      incarnation: None,
      link: 0,
      known_since: now,
      stopping: false,
      last_sent: None,
    }
  }
}
