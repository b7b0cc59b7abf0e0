//! The machines of datagram services: each alone, and all together in a world without sockets.

mod agent;
mod allowance;
mod amending;
mod balancer;
mod balancing;
mod bundle;
mod catalog;
mod closures;
mod cold;
mod failing;
mod frame;
mod grants;
mod link;
mod logs;
mod plain;
mod random_run;
mod rate;
mod reborn;
mod remembering;
mod restarting;
mod searching;
mod spread;
mod support;
mod waiting;
mod weights;
mod world;
