//! UDP sockets with batched receives and sends, and TCP connections to peers.

mod batch;
mod connect;
mod outbox;
mod socket;

pub use {batch::Batch, connect::connect, outbox::Outbox, socket::Socket};
