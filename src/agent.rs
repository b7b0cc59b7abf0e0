//! The process beside an upstream: it owns that upstream's flows and requests.

mod call;
mod generator;
mod guard;
mod handoff;
mod home;
mod load;
mod pipe;
mod problem;
mod proxy;
mod reply;
mod run;
mod runner;
mod serve;
mod shared;
mod slots;
mod tls;
mod tunnel;
mod upstream;

pub use {
  run::{run, start},
  shared::Shared,
};
