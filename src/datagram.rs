//! Services whose flows are carried whole, as datagrams between a caller and its upstream.
//!
//! No packet names its target, so a balancer remembers where it placed a flow, and asks the agents
//! where it does not know. An agent sees both directions and knows the flows of its upstream.

pub mod agent;
mod backends;
pub mod balancer;
/// Several frames in one datagram.
pub mod bundle;
mod catalog;
mod changed;
mod closures;
mod codec;
mod configuration;
/// What machines are told.
pub mod event;
mod flow;
mod former;
/// What passes between the processes in datagrams.
pub mod frame;
/// What an agent that stops leaves to its next run.
pub mod handover;
mod head;
mod load;
pub mod node;
mod outbox;
mod patience;
mod rate;
mod record;
/// The names of services.
pub mod service;
mod settings;
mod spread;
/// The platform's list of targets.
pub mod target;
mod warmup;

pub use {
  backends::{Backend, Backends, Weight},
  catalog::{Catalog, Change, Entry},
  closures::Closures,
  codec::Codec,
  configuration::{Configuration, Route, Version},
  event::{Event, Machine, Origin},
  flow::{Flow, FlowInvalid},
  former::Former,
  frame::Frame,
  handover::Handover,
  head::Head,
  load::Load,
  outbox::{Datagram, Outbox, Via},
  patience::Patience,
  rate::{Rate, RateInvalid},
  record::{Amendment, News, Record},
  service::Service,
  settings::{Settings, Tuning, Upstream},
  spread::{Agents, Spread},
  target::Target,
  warmup::Warmup,
};
