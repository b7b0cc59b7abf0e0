use {
  super::Key,
  crate::Revision,
  serde::{Deserialize, Serialize},
  siphasher::sip::SipHasher13,
  std::hash::{Hash, Hasher},
};

/// The number of buckets of a digest.
pub const BUCKETS: usize = 32;

/// A digest of the keys and revisions of a store. Each bucket is the exclusive or of the hashes of
/// its (key, revision) pairs, so it is updated in constant time, and the order of changes does not
/// matter.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
  /// The hash of each bucket.
  pub buckets: [u64; BUCKETS],
}

impl Digest {
  /// The index of a key's bucket.
  pub fn bucket(key: Key) -> usize {
    hash(&key) as usize % BUCKETS
  }

  /// The indexes of the buckets that differ.
  pub fn differing(&self, other: &Self) -> Vec<usize> {
    (0..BUCKETS)
      .filter(|bucket| self.buckets[*bucket] != other.buckets[*bucket])
      .collect()
  }

  /// A hash of all buckets, for a cheap comparison of two stores.
  pub fn root(&self) -> u64 {
    hash(&self.buckets)
  }

  /// Adds a key at a revision, or removes it if it was added before.
  pub fn toggle(&mut self, key: Key, revision: Revision) {
    self.buckets[Self::bucket(key)] ^= hash(&(key, revision));
  }
}

fn hash(value: &impl Hash) -> u64 {
  let mut hasher = SipHasher13::new_with_keys(0, 0);
  value.hash(&mut hasher);
  hasher.finish()
}
