//! Helpers of the integration tests and benchmarks.

pub mod child;
pub mod feeds;
pub mod fleet;
pub mod mesh;
pub mod wait;
