use {crate::id, siphasher::sip::SipHasher13, std::hash::Hasher};

/// The rendezvous hash of one target (Thaler and Ravishankar, 1998): the target with the highest
/// score for a key is the key's first candidate, and a change of the set moves no other key.
#[derive(Clone, Copy, Debug)]
pub struct Rank(SipHasher13);

impl Rank {
  /// The hash of a target within its service.
  pub fn new(service: id::Service, target: id::Target) -> Self {
    Self(SipHasher13::new_with_keys(
      service.0.into(),
      target.0.into(),
    ))
  }

  /// The score of this target for `key`.
  pub fn score(&self, key: u64) -> u64 {
    let mut hasher = self.0;
    hasher.write_u64(key);
    hasher.finish()
  }
}
