//! The process around a machine: a thread that carries packets, and one for HTTP requests.

mod allowance;
mod control;
mod packet_loop;
mod resource;
mod run;
mod shared;
mod source;

pub use {
  allowance::Allowance,
  run::{agent, balancer},
  source::Source,
};
