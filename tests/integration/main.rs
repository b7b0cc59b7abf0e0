//! Proofs with real processes on loopback.

#[path = "../support/mod.rs"]
#[allow(dead_code, reason = "shared with the benchmarks")]
mod support;

mod broken_flows;
mod command;
mod requests;
mod services;
mod whole_path;
