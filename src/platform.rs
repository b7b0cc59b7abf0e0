//! Read-only access to the platform's configuration service.

mod change;
mod reader;

pub use {
  change::{Change, Changes},
  reader::{Reader, Settings},
};
