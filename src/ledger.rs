//! Lets each request with an idempotency key run at most once within the repeat window, and replays
//! its answer to repetitions.

mod answer;
mod machine;
mod settings;

pub use {
  answer::Answer,
  machine::{Action, EarlierRuns, Event, Machine, Outcome},
  settings::Settings,
};
