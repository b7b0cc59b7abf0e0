//! The platform's configuration service, which can only be read and watched.

mod change;
mod reader;

pub use {
  change::{Change, Changes},
  reader::{Reader, Settings},
};
