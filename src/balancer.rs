//! The entry process: it takes callers' packets from the fabric, hands each to the target that
//! has its flow, and keeps nothing that a flow needs.

mod controller;
mod observations;
mod report;
mod run;
mod snapshot;
mod worker;

pub use {
  controller::Controller,
  observations::Observations,
  report::Report,
  run::{run, start},
  snapshot::Snapshot,
  worker::{Settings, Worker},
};
