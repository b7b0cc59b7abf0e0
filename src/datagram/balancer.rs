//! The balancer of datagram flows: places new flows on targets, remembers where open flows are, and
//! queries agents for flows that it does not know.

mod announced;
mod choosing;
mod comparison;
mod cost;
mod egress;
mod ending;
mod evacuations;
mod frames;
mod granted;
mod history;
mod machine;
mod opening;
mod packets;
mod place;
mod queries;
mod queue;
mod remembering;
mod restarting;
mod restarts;
mod search;
mod searching;
mod targets;
mod testing;
mod waiting;

pub use machine::Machine;
