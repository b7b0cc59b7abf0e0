//! Datagram sockets with batched receives and sends, and connections to peers.

mod batch;
mod connect;
mod outbox;
mod socket;

pub use {batch::Batch, connect::connect, outbox::Outbox, socket::Socket};
