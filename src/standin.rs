//! Small stand-ins for what fallwell meets in the field: the platform, upstreams, and a fabric
//! that sprays packets and injects faults. For tests, measurements and the quickstart only.

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
