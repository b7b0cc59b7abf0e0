//! An agent's decision on each packet: deliver it, forward it to another target or refuse it.

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
