//! The machines of datagram services: each alone, and all together in a world without sockets.

mod agent;
mod balancer;
mod bundle;
mod catalog;
mod frame;
mod logs;
mod plain;
mod random_run;
mod spread;
mod support;
mod world;
