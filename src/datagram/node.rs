//! The process around a machine: a thread that carries packets, and one that asks and answers
//! over HTTP.

mod carrier;
mod control;
mod resource;
mod run;
mod shared;
mod source;

pub use {
  run::{agent, balancer},
  source::Source,
};
