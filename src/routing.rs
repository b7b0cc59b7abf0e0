//! Chooses the targets of a packet, and the balancer that sends an answer to its caller.

mod health;
mod machine;
mod path;
mod rank;
mod table;

pub use {
  health::Health,
  machine::{Hop, Loads, Machine, Route},
  path::Path,
  rank::Rank,
  table::{Entry, Table},
};
