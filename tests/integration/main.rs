//! Proofs with real processes on loopback.

mod child;
mod fleet;
mod wait;
mod whole_path;
