//! Admission control before an upstream: which request starts, which is queued, and which is shed.

mod budget;
mod machine;
mod request;
mod scheduler;
mod settings;

pub use {
  budget::Budget,
  machine::{Action, Event, Machine},
  request::Ticket,
  settings::Settings,
};
