//! An agent's decision on each packet: deliver it, forward it to another target or refuse it.

mod action;
mod forward;
mod machine;
mod settings;

pub use {
  action::Action,
  forward::Forward,
  machine::{Event, Machine},
  settings::Settings,
};
