//! Which targets serve, from a list that lags, from what their traffic shows, and from probes.

mod machine;

pub use machine::{Action, Event, Machine, Member, Settings};
