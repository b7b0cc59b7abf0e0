use {crate::Revision, std::time::Instant};

/// What is known of another process.
#[derive(Clone, Debug)]
pub struct Peer {
  /// Whether it is a balancer.
  pub balancer: bool,
  /// The revision up to which it knows the list.
  pub complete: Revision,
  /// The hash of its data centre's name, once it has told.
  pub data_centre: Option<u32>,
  /// Which run of it told of itself last.
  pub incarnation: Option<u32>,
  /// When it was last heard of.
  pub heard: Option<Instant>,
  /// The order of magnitude of its link's rate; 0 where that is not known.
  pub link: u8,
  /// When it became known.
  pub since: Instant,
  /// Whether it is about to stop.
  pub stopping: bool,
  /// When it was last told of this process.
  pub told: Option<Instant>,
}

impl Peer {
  /// One that was not heard of yet.
  pub fn new(now: Instant, balancer: bool) -> Self {
    Self {
      balancer,
      complete: Revision::default(),
      data_centre: None,
      heard: None,
      incarnation: None,
      link: 0,
      since: now,
      stopping: false,
      told: None,
    }
  }
}
