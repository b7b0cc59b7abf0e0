//! Datagram sockets with batched receives and sends.

mod batch;
mod outbox;
mod socket;

pub use {batch::Batch, outbox::Outbox, socket::Socket};
