//! Which flows an agent owns, which packets it passes on, and which it refuses.

mod action;
mod machine;
mod pass;
mod settings;

pub use {
  action::Action,
  machine::{Event, Machine},
  pass::Pass,
  settings::Settings,
};
