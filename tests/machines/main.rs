//! Tests of the state machines, without sockets and in simulated time.

#[path = "../support/mesh.rs"]
mod mesh;

mod admission;
mod fair;
mod flow;
mod gossip;
mod ledger;
mod membership;
mod random_run;
mod results;
mod retry;
mod routing;
mod store;
mod wire;
mod world;
