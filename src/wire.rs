//! The datagram format between balancers and agents, and the parsing of callers' QUIC packets.

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
