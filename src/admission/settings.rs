use {super::Spread, std::time::Duration};

/// The limits of an admission machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
  /// The longest queue, in requests per slot.
  pub queue_per_slot: usize,
  /// The mean running time that is assumed before any request has ended.
  pub initial_run_time: Duration,
  /// How many requests run at the same time.
  pub slots: usize,
  /// What the retry delays of rejected requests are spread by.
  pub spread: Spread,
}

impl Default for Settings {
  fn default() -> Self {
    Self {
      queue_per_slot: 2,
      initial_run_time: Duration::from_millis(50),
      slots: 5,
      spread: Spread::default(),
    }
  }
}
