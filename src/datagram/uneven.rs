mod crossing;
mod joining;
mod kinds;
mod pace;
mod relief;
mod speeds;
mod times;

pub use {
  crossing::Crossing,
  joining::Joining,
  kinds::Kinds,
  pace::Pace,
  relief::{Relief, Sample},
  speeds::Speeds,
  times::{Kind, Times},
};
