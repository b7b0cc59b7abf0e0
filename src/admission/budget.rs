/// The share of first tries that may be tried again, in hundredths.
const SHARE: u32 = 10;

/// What one retry takes.
const RETRY: u32 = 100;

/// How much may be saved up: ten retries.
const SAVED_MAX: u32 = 10 * RETRY;

/// Retries as a share of first tries, so that a failing third of the targets makes no storm.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget {
  saved: u32,
}

impl Default for Budget {
  fn default() -> Self {
    Self { saved: SAVED_MAX }
  }
}

impl Budget {
  /// A first try was made.
  pub fn first(&mut self) {
    self.saved = (self.saved + SHARE).min(SAVED_MAX);
  }

  /// Whether a retry may be made; if so it is taken from the budget.
  pub fn retry(&mut self) -> bool {
    if self.saved < RETRY {
      return false;
    }
    self.saved -= RETRY;
    true
  }
}
