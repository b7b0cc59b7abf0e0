//! The entry process: it takes callers' packets from the fabric, hands each to the target that
//! has its flow, and keeps nothing that a flow needs.

mod director;
mod place;
mod report;
mod run;
mod snapshot;
mod worker;

pub use {
  director::Director,
  place::Place,
  report::Report,
  run::{run, start},
  snapshot::Snapshot,
  worker::{Settings, Worker},
};
