//! The balancer of datagram flows: places new flows on targets, remembers where open flows are, and
//! queries agents for flows that it does not know.

mod announced;
mod capacity;
mod choosing;
mod class_state;
mod comparison;
mod cost;
mod drain;
mod egress;
mod ending;
mod evacuations;
mod frames;
mod granted;
mod machine;
mod measuring;
mod opening;
mod outcome;
mod packets;
mod patience;
mod per_second;
mod place;
mod proof;
mod queries;
mod queue;
mod reason;
mod remembering;
mod restarting;
mod restarts;
mod search;
mod searching;
mod selection;
mod shedding;
mod supply;
mod targets;
mod testing;
mod verdict;
mod waiting;
mod waitlist;

pub use {
  capacity::Capacity,
  class_state::ClassState,
  machine::Machine,
  patience::Patience,
  per_second::PerSecond,
  queue::{FlowClass, Queued},
  reason::Reason,
  shedding::Shedding,
  verdict::Verdict,
  waitlist::Newcomer,
};
