//! What tests and benchmarks share: each uses its own part.

pub mod child;
pub mod feeds;
pub mod fleet;
pub mod mesh;
pub mod wait;
