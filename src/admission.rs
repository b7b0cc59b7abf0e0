//! Which request runs now, which waits, and which is told to come back.

mod budget;
mod machine;
mod settings;

pub use {
  budget::Budget,
  machine::{Action, Event, Machine, Ticket},
  settings::Settings,
};
