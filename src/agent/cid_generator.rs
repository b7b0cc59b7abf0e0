use {
  super::Shared,
  crate::wire::{CID_LEN, Cid},
  quinn::{ConnectionId, ConnectionIdGenerator},
  std::{sync::Arc, time::Duration},
};

/// The time after which the transport replaces a connection ID. A tag secret that has been replaced
/// must stay in the keyring for at least this long.
const CID_LIFETIME: Duration = Duration::from_mins(10);

/// Generates connection IDs that contain the target and the agent's incarnation.
#[derive(Debug)]
pub struct CidGenerator {
  lifetime: Duration,
  shared: Arc<Shared>,
}

impl CidGenerator {
  /// Creates a generator for the agent's target.
  pub fn new(shared: Arc<Shared>) -> Self {
    Self {
      lifetime: CID_LIFETIME,
      shared,
    }
  }
}

impl ConnectionIdGenerator for CidGenerator {
  fn generate_cid(&mut self) -> ConnectionId {
    let cid = Cid {
      incarnation: self.shared.incarnation,
      random: rand::random(),
      target: self.shared.settings.target,
    };
    let bytes = match self.shared.tagger() {
      Some(tagger) => cid.encode(self.shared.settings.service, &tagger),
      None => rand::random(),
    };
    ConnectionId::new(&bytes)
  }

  fn cid_len(&self) -> usize {
    CID_LEN
  }

  fn cid_lifetime(&self) -> Option<Duration> {
    Some(self.lifetime)
  }
}
