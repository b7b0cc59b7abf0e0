//! End-to-end tests that run the programs as processes on loopback addresses.

#[path = "../support/mod.rs"]
#[allow(dead_code, reason = "shared with the benchmarks")]
mod support;

mod basic_requests;
mod broken_flows;
mod command;
mod requests;
mod services;
