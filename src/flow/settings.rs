use std::time::Duration;

/// The bounds of the machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
  /// How often a packet may be passed on.
  pub hops_max: u8,
  /// How long a flow without packets is remembered.
  pub idle: Duration,
  /// How many flows are remembered, owned and passed each.
  pub remembered_max: usize,
  /// How many packets a second may be sent around all targets when the chain did not find their
  /// flow.
  pub searches_per_second: u32,
}

impl Default for Settings {
  fn default() -> Self {
    Self {
      hops_max: 48,
      idle: Duration::from_mins(1),
      remembered_max: 65_536,
      searches_per_second: 500,
    }
  }
}
