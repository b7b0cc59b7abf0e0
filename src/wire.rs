//! What passes between the processes in datagrams, and what is read of a caller's packet.

mod chain;
mod cid;
mod frame;
mod packet;
mod tagger;

pub use {
  chain::{CHAIN_MAX, Chain},
  cid::{CID_LEN, Cid},
  frame::{Carry, Echo, Flow, Found, Frame, HEADER_MAX, Probe, Refusal, Return},
  packet::Packet,
  tagger::Tagger,
};
