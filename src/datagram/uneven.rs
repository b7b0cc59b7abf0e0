mod kinds;
mod pace;
mod times;

pub use {
  kinds::Kinds,
  pace::Pace,
  times::{Kind, Times},
};
