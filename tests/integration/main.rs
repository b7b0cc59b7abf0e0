//! Proofs with real processes on loopback.

mod broken_flows;
mod child;
mod feeds;
mod fleet;
mod services;
mod wait;
mod whole_path;
