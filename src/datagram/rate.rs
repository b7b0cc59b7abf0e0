use {
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    num::NonZeroU64,
    str::FromStr,
    time::Duration,
  },
};

/// One megabit per second, in bytes per second.
const MEGABIT: f64 = 125_000.0;

/// The rate of a link, in bytes per second. Its text gives megabits per second, such as `20
/// Mbit/s`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(NonZeroU64);

/// The error of a text that isn't a rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected a rate above zero, such as `20 Mbit/s`")]
pub struct RateInvalid;

impl Rate {
  /// A rate in megabits per second; none if it is less than a byte per second.
  pub fn megabits(megabits: f64) -> Option<Self> {
    let bytes = (megabits * MEGABIT).clamp(0.0, 1e15);
    NonZeroU64::new(bytes as u64).map(Self)
  }

  /// The base-2 logarithm of the rate in bytes per second, rounded down: close rates compare equal.
  pub fn magnitude(self) -> u8 {
    self.0.get().ilog2() as u8
  }

  /// How many bytes are transmitted in a time.
  pub fn bytes_in(self, time: Duration) -> f64 {
    self.0.get() as f64 * time.as_secs_f64()
  }
}

impl Display for Rate {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{} Mbit/s", self.0.get() as f64 / MEGABIT)
  }
}

impl FromStr for Rate {
  type Err = RateInvalid;

  fn from_str(text: &str) -> Result<Self, Self::Err> {
    let number = text.strip_suffix("Mbit/s").ok_or(RateInvalid)?;
    let megabits = number.trim().parse().map_err(|_| RateInvalid)?;
    Self::megabits(megabits).ok_or(RateInvalid)
  }
}

impl From<Rate> for String {
  fn from(rate: Rate) -> Self {
    rate.to_string()
  }
}

impl TryFrom<String> for Rate {
  type Error = RateInvalid;

  fn try_from(text: String) -> Result<Self, Self::Error> {
    text.parse()
  }
}
