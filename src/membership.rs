//! The health of each target, from the configuration, from its traffic and from probes.

mod machine;

pub use machine::{Action, Event, Machine, Member, Settings};
