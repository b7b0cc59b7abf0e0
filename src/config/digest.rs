use {
  super::Key,
  crate::Revision,
  serde::{Deserialize, Serialize},
  siphasher::sip::SipHasher13,
  std::hash::{Hash, Hasher},
};

/// How many buckets a digest sorts the keys into.
pub const BUCKETS: usize = 32;

/// What a store holds, in 32 numbers: each bucket is the exclusive or of the hashes of its keys
/// and their revisions, so that a change costs one step and equal stores have equal digests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
  /// One number a bucket.
  pub buckets: [u64; BUCKETS],
}

impl Digest {
  /// The bucket of a key.
  pub fn bucket(key: Key) -> usize {
    hash(&key) as usize % BUCKETS
  }

  /// The buckets that differ.
  pub fn differing(&self, other: &Self) -> Vec<usize> {
    (0..BUCKETS)
      .filter(|bucket| self.buckets[*bucket] != other.buckets[*bucket])
      .collect()
  }

  /// The whole in one number, for the frequent comparison.
  pub fn root(&self) -> u64 {
    hash(&self.buckets)
  }

  /// Adds or removes a key at a revision: both are the same step.
  pub fn toggle(&mut self, key: Key, revision: Revision) {
    self.buckets[Self::bucket(key)] ^= hash(&(key, revision));
  }
}

fn hash(value: &impl Hash) -> u64 {
  let mut hasher = SipHasher13::new_with_keys(0, 0);
  value.hash(&mut hasher);
  hasher.finish()
}
