//! Read-only access to the platform's configuration service.

mod change;
mod schedule;

pub use {
  change::{Change, Changes},
  schedule::{ReadSchedule, Settings},
};
