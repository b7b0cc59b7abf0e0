//! How configuration spreads between the processes when the platform cannot be asked by all.

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
  view::{InForce, View},
};
