//! At most once: what the request of an idempotency key may do next.

mod answer;
mod machine;
mod settings;

pub use {
  answer::Answer,
  machine::{Action, Event, Machine, Outcome, Past},
  settings::Settings,
};
