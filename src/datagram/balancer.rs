//! What a balancer does with the packets of callers: it places new flows, remembers where they
//! are, and searches for those that it does not know.

mod absences;
mod announced;
mod choosing;
mod closures;
mod cost;
mod egress;
mod ending;
mod frames;
mod history;
mod machine;
mod opening;
mod packets;
mod parking;
mod place;
mod questions;
mod remembering;
mod restarting;
mod search;
mod searching;
mod targets;
mod trying;
mod waiting;

pub use machine::Machine;
