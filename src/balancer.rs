//! The balancer: receives callers' packets from the fabric and forwards each to the targets that may
//! own its flow, without any state per flow.

mod controller;
mod observations;
mod report;
mod run;
mod snapshot;
mod worker;

pub use {
  controller::Controller,
  observations::Observations,
  report::WorkerReport,
  run::{run, start},
  snapshot::Snapshot,
  worker::{Settings, Worker},
};
