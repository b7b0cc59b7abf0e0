use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The first two powers of the inverse of the plastic number. The multiples of both, modulo 1, fill
/// the unit square evenly. Powers of the golden ratio do not: the two add up to 1.
const STEPS: [f64; 2] = [0.754_877_666_246_692_7, 0.569_840_290_998_053_2];

/// What the retry delays of several callers are spread by.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Spread {
  /// The caller's hash: a caller is told the same whenever the load is the same.
  #[default]
  Caller,
  /// The order of rejection: those that are rejected one after another are told different delays.
  Order,
}

impl Spread {
  /// Two independent numbers in 0..1 for a rejection: one for the place within the range over which
  /// delays are spread, one for the rounding.
  pub fn fractions(self, caller: u64, rejection: u64) -> (f64, f64) {
    match self {
      Self::Caller => {
        let fraction = |seed| {
          let hash = xxh3_64_with_seed(&caller.to_le_bytes(), seed);
          (hash >> 11) as f64 / (1_u64 << 53) as f64
        };
        (fraction(0), fraction(1))
      }
      Self::Order => {
        let [place, rounding] = STEPS.map(|step| (rejection as f64 * step).fract());
        (place, rounding)
      }
    }
  }
}
