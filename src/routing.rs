//! Chooses the targets of a packet, and the balancer that sends an answer to its caller.

mod machine;
mod path;
mod rank;
mod standing;
mod table;

pub use {
  machine::{Hop, Loads, Machine, Route},
  path::Path,
  rank::Rank,
  standing::Standing,
  table::{Entry, Table},
};
