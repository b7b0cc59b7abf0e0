//! Parsing and display of rates.

use fallwell::datagram::{Rate, RateInvalid};

#[test]
fn a_displayed_rate_parses_to_the_same_rate() {
  for megabits in [0.5, 2.0, 20.0, 1000.0] {
    let rate = Rate::megabits(megabits).expect("a rate");
    assert_eq!(rate.to_string().parse(), Ok(rate));
  }
  assert_eq!(Rate::megabits(2.0).expect("a rate").to_string(), "2 Mbit/s");
}

#[test]
fn invalid_rates_are_rejected() {
  for text in [
    "",
    "2",
    "Mbit/s",
    "0 Mbit/s",
    "-1 Mbit/s",
    "NaN Mbit/s",
    "fast Mbit/s",
  ] {
    assert_eq!(text.parse::<Rate>(), Err(RateInvalid), "{text}");
  }
}
