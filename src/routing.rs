//! Which target a packet goes to, and which balancer an answer leaves by.

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
