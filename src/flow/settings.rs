use std::time::Duration;

/// The limits of a flow machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
  /// How many times a packet may be forwarded between agents.
  pub hops_max: u8,
  /// How long a flow is remembered after its last packet.
  pub idle_timeout: Duration,
  /// How many flows are remembered: this many that are owned, and this many that are forwarded.
  pub remembered_max: usize,
  /// How many packets per second may be copied to the other targets because no target of their
  /// chain owns their flow.
  pub searches_per_second: u32,
}

impl Default for Settings {
  fn default() -> Self {
    Self {
      hops_max: 48,
      idle_timeout: Duration::from_mins(1),
      remembered_max: 65_536,
      searches_per_second: 500,
    }
  }
}
