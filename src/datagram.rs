//! Datagram services: each flow is carried as datagrams between a caller and one upstream.
//!
//! No packet names its target, so a balancer remembers where it placed a flow and queries the
//! agents when it doesn't know. An agent sees both directions and knows all flows of its upstream.

mod age;
pub mod agent;
mod backends;
pub mod balancer;
/// Packing of several frames into one datagram.
pub mod bundle;
mod catalog;
mod changelog;
mod codec;
mod configuration;
mod evacuations;
/// The events that a machine handles, and the interface of a machine.
pub mod event;
mod flow;
mod former_backends;
mod former_targets;
/// The messages that processes exchange as datagrams.
pub mod frame;
mod gossip;
/// Transfer of a stopping agent's flow table to its next incarnation.
pub mod handover;
mod head;
mod load;
pub mod node;
mod outbox;
mod overload;
mod rate;
mod record;
/// Names of services, and their digests.
pub mod service;
mod settings;
/// Targets as the platform lists them.
pub mod target;
mod timeout;
/// Decisions about targets that are not equally fast.
pub mod uneven;
mod warmup;

pub use {
  backends::{Backend, Backends, Weight},
  catalog::{Catalog, Change, Entry},
  codec::Codec,
  configuration::{Configuration, Route, Version},
  evacuations::Evacuations,
  event::{Event, Machine, Origin},
  flow::{Flow, FlowInvalid},
  former_backends::FormerBackends,
  former_targets::FormerTargets,
  frame::Frame,
  gossip::{Agents, Gossip},
  handover::Handover,
  head::Head,
  load::Load,
  outbox::{Datagram, Outbox, Size, Via},
  overload::Overload,
  rate::{Rate, RateInvalid},
  record::{Delta, Record, Update},
  service::Service,
  settings::{Settings, Tuning, Upstream},
  target::Target,
  timeout::Timeout,
  warmup::Warmup,
};
