//! The agent: runs on the same instance as an upstream, terminates callers' QUIC flows and forwards
//! their HTTP/3 requests to the upstream.

mod call;
mod cid_generator;
mod count_guard;
mod handoff;
mod home;
mod load;
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
mod tunnel_socket;
mod upstream;

pub use {
  run::{run, start},
  shared::Shared,
};
