use {crate::id, arrayvec::ArrayVec};

/// The most targets that are asked about one packet.
pub const CHAIN_MAX: usize = 24;

/// The targets that are asked about a packet, one after another.
pub type Chain = ArrayVec<id::Target, CHAIN_MAX>;
