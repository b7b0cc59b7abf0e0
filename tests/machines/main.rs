//! Proofs at the state machines, without sockets and clocks.

#[path = "../support/mesh.rs"]
mod mesh;

mod flow;
mod membership;
mod random_run;
mod results;
mod routing;
mod spread;
mod store;
mod wire;
mod world;
