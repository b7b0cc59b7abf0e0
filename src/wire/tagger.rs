use {
  crate::{
    code::{Code, Fault},
    config::Keyring,
  },
  siphasher::sip::SipHasher24,
  std::hash::Hasher,
};

/// Computes authentication tags: SipHash-2-4 keyed with the secrets of a keyring.
#[derive(Clone, Debug)]
pub struct Tagger {
  current: u8,
  hashers: Vec<(u8, SipHasher24)>,
  secret: [u8; 16],
}

impl Tagger {
  /// Creates a tagger from a keyring; fails if a secret is malformed or the current one is missing.
  pub fn new(keyring: &Keyring) -> Result<Self, Fault> {
    let mut hashers = Vec::new();
    let mut current = None;
    for secret in &keyring.secrets {
      let bytes = secret.bytes()?;
      hashers.push((secret.id, SipHasher24::new_with_key(&bytes)));
      if secret.id == keyring.current {
        current = Some(bytes);
      }
    }
    let secret = current.ok_or_else(|| Fault::new(Code::FrameKeyUnknown, keyring.current))?;
    Ok(Self {
      current: keyring.current,
      hashers,
      secret,
    })
  }

  /// The id of the secret for new tags.
  pub fn current(&self) -> u8 {
    self.current
  }

  /// The current secret, for deriving keys for other purposes.
  pub fn secret(&self) -> &[u8; 16] {
    &self.secret
  }

  /// The tag of `bytes` under the secret `id`, separated by `domain`; none if the keyring does not
  /// contain the secret.
  pub fn tag(&self, id: u8, domain: u64, bytes: &[u8]) -> Option<u64> {
    let (_, hasher) = self.hashers.iter().find(|(known, _)| *known == id)?;
    let mut hasher = *hasher;
    hasher.write_u64(domain);
    hasher.write(bytes);
    Some(hasher.finish())
  }
}
