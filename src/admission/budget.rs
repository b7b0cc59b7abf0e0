/// Tokens that a first attempt adds: a tenth of what a retry costs.
const ATTEMPT_TOKENS: u32 = 10;

/// Tokens that a retry costs.
const RETRY_TOKENS: u32 = 100;

/// The most tokens that are saved: enough for ten retries.
const TOKENS_MAX: u32 = 10 * RETRY_TOKENS;

/// Limits retries to a share of the first attempts, so that failing targets cause no retry storm.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget {
  tokens: u32,
}

impl Default for Budget {
  fn default() -> Self {
    Self { tokens: TOKENS_MAX }
  }
}

impl Budget {
  /// Adds the tokens of one first attempt.
  pub fn add_attempt(&mut self) {
    self.tokens = (self.tokens + ATTEMPT_TOKENS).min(TOKENS_MAX);
  }

  /// Takes the tokens of one retry; false when too few are left, so that it must not be made.
  pub fn take_retry(&mut self) -> bool {
    if self.tokens < RETRY_TOKENS {
      return false;
    }
    self.tokens -= RETRY_TOKENS;
    true
  }
}
