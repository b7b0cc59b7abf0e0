//! Admission control before an upstream: which request starts, which is queued, and which is shed.

mod budget;
mod machine;
mod request;
mod retry;
mod scheduler;
mod settings;
mod spread;

pub use {
  budget::Budget,
  machine::{Action, Event, Machine},
  request::Ticket,
  retry::Retry,
  settings::Settings,
  spread::Spread,
};
