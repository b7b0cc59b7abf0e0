use {
  super::Shared,
  crate::wire::{CID_LEN, Cid},
  quinn::{ConnectionId, ConnectionIdGenerator},
  std::{sync::Arc, time::Duration},
};

/// How long a connection ID is used before the transport replaces it. A tag secret may be removed
/// once it has not been the current one for longer than this.
const LIFETIME: Duration = Duration::from_mins(10);

/// Makes connection IDs that name the target.
#[derive(Debug)]
pub struct Generator {
  lifetime: Duration,
  shared: Arc<Shared>,
}

impl Generator {
  /// A generator for the agent's target.
  pub fn new(shared: Arc<Shared>) -> Self {
    Self {
      lifetime: LIFETIME,
      shared,
    }
  }
}

impl ConnectionIdGenerator for Generator {
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
