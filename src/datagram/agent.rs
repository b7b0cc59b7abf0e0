//! The agent of an upstream: forwards packets both ways, knows which flows the upstream owns, and
//! limits the new flows that it gets.

mod admission;
mod answers;
mod bid;
mod cold;
mod delivery;
mod fan_out;
mod flow_entry;
mod granting;
mod grants;
mod machine;
mod restarting;
mod running;
mod schedule;
mod work;

pub use {bid::Bid, machine::Machine, schedule::Schedule};
