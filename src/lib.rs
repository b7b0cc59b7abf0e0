//! Fallwell, a layer-4 load balancer whose flows survive restarts of the balancers.
//!
//! All decisions are made by state machines that use no clock, socket or thread (in [`admission`],
//! [`config`], [`datagram`], [`flow`], [`ledger`], [`membership`], [`peer`] and [`routing`]); the
//! programs (such as [`agent`], [`balancer`] and [`command`]) do the input and output around them.

pub mod admission;
pub mod agent;
pub mod api;
pub mod balancer;
pub mod caller;
pub mod code;
pub mod command;
pub mod config;
pub mod confirmation;
pub mod control;
pub mod counter;
pub mod datagram;
pub mod fair;
pub mod flow;
pub mod id;
pub mod ledger;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod net;
pub mod peer;
pub mod platform;
pub mod process;
pub mod rate;
pub mod revision;
pub mod routing;
pub mod settings;
pub mod standin;
pub mod state;
pub mod supervisor;
pub mod web;
pub mod wire;

pub use {code::Code, revision::Revision};
