use {
  crate::{
    Revision,
    config::{Digest, Key, Record},
    confirmation::Confirmation,
    id,
  },
  serde::{Deserialize, Serialize},
};

/// A message of the replication protocol.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
  /// The sender's digest with a hash for each bucket, sent when the roots differ.
  Buckets(Box<Digest>),
  /// The root of the sender's digest, sent at regular intervals.
  Digest {
    /// The latest answer of the platform to a process that the sender knows of; none if there was
    /// none.
    confirmation: Option<Confirmation>,
    /// The hash of the sender's whole store.
    root: u64,
  },
  /// A follower requests its subset.
  Follow {
    /// The follower's service.
    service: id::Service,
    /// The follower's target.
    target: id::Target,
    /// The hash of the subset that it received last; 0 if none.
    token: u64,
  },
  /// The keys and revisions that the sender stores in the buckets that differ.
  Keys {
    /// The indexes of the buckets.
    buckets: Vec<u8>,
    /// Each key in these buckets with its newest revision.
    keys: Vec<(Key, Revision)>,
  },
  /// Documents pushed to the receiver or requested by it.
  Offer(Vec<Record>),
  /// The answer to `Follow`, sent when the follower's token is out of date.
  Subset {
    /// The documents of the subset.
    records: Vec<Record>,
    /// The hash of the subset.
    token: u64,
  },
  /// Requests the documents under these keys.
  Want(Vec<Key>),
}

impl Message {
  /// The name of the variant in the byte counters `control.in.*` and `control.out.*`.
  pub fn kind(&self) -> &'static str {
    match self {
      Self::Buckets(_) => "buckets",
      Self::Digest { .. } => "digest",
      Self::Follow { .. } => "follow",
      Self::Keys { .. } => "keys",
      Self::Offer(_) => "offer",
      Self::Subset { .. } => "subset",
      Self::Want(_) => "want",
    }
  }

  /// The approximate encoded size in bytes, without the framing of the transport.
  pub fn size(&self) -> usize {
    postcard::to_stdvec(self).map_or(0, |bytes| bytes.len())
  }
}
