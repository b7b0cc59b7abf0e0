//! Peer-to-peer replication of the configuration, so that only a few processes read the platform.

mod client;
mod machine;
mod message;
mod node;
mod role;
mod server;
mod settings;
mod subset;
mod view;

pub use {
  client::Client,
  machine::{Event, Machine},
  message::Message,
  node::Node,
  role::Role,
  server::{PeerClient, Server},
  settings::Settings,
  view::{ConfigView, ServiceInForce},
};
