use {crate::id, arrayvec::ArrayVec};

/// The largest number of targets in a chain.
pub const CHAIN_MAX: usize = 24;

/// The targets that a packet is forwarded to in turn until one of them owns its flow.
pub type Chain = ArrayVec<id::Target, CHAIN_MAX>;
