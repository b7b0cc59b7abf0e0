//! The process beside an upstream: it owns that upstream's flows and requests.

mod gauge;
mod generator;
mod guard;
mod pipe;
mod problem;
mod proxy;
mod run;
mod serve;
mod shared;
mod tls;
mod tunnel;
mod upstream;

pub use {
  run::{run, start},
  shared::Shared,
};
