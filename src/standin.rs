//! Simple replacements for the environment of balancers and agents: the platform, upstreams, a
//! relay, and a fabric that injects faults. For tests, benchmarks and the quickstart example only.

mod fabric;
mod fault;
mod platform;
mod relay;
mod upstream;

pub use {
  fabric::{Fabric, Front},
  fault::Plan,
  platform::Platform,
  relay::Relay,
  upstream::Upstream,
};
