//! The process around a machine: a thread that carries packets, and one that asks and answers
//! over HTTP.

mod allowance;
mod carrier;
mod control;
mod resource;
mod run;
mod shared;
mod source;

pub use {
  allowance::Allowance,
  run::{agent, balancer},
  source::Source,
};
