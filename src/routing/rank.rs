use {
  crate::id,
  xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// The rendezvous hash of one target: the target with the highest score for a key is the key's
/// first candidate, and adding or removing a target moves only the keys for which that target is
/// the first. XXH3 is fixed by its specification, so processes of different versions agree.
#[derive(Clone, Copy, Debug)]
pub struct Rank(u64);

impl Rank {
  /// Hashes a target's ID together with its service's.
  pub fn new(service: id::Service, target: id::Target) -> Self {
    let mut bytes = [0; 6];
    bytes[..2].copy_from_slice(&service.0.to_be_bytes());
    bytes[2..].copy_from_slice(&target.0.to_be_bytes());
    Self(xxh3_64(&bytes))
  }

  /// The score of this target for `key`; higher is preferred.
  pub fn score(self, key: u64) -> u64 {
    xxh3_64_with_seed(&key.to_be_bytes(), self.0)
  }
}
