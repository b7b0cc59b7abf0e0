use {
  crate::{
    Revision,
    config::{Digest, Key, Record},
    id,
  },
  serde::{Deserialize, Serialize},
};

/// What two processes tell each other about configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
  /// What the sender holds, by bucket.
  Buckets(Box<Digest>),
  /// A hash of all that the sender holds, each second.
  Digest {
    /// How long ago some process heard from the platform, in milliseconds.
    confirmed_ms: Option<u64>,
    /// The hash.
    root: u64,
  },
  /// A follower asks for its part.
  Follow {
    /// Its service.
    service: id::Service,
    /// Its target.
    target: id::Target,
    /// The hash of the part that it was given last.
    token: u64,
  },
  /// The keys and revisions that the sender holds in these buckets.
  Keys {
    /// The buckets.
    buckets: Vec<u8>,
    /// What it holds in them.
    keys: Vec<(Key, Revision)>,
  },
  /// Documents.
  Offer(Vec<Record>),
  /// A follower's part.
  Subset {
    /// Its documents.
    records: Vec<Record>,
    /// Its hash.
    token: u64,
  },
  /// The sender asks for these documents.
  Want(Vec<Key>),
}

impl Message {
  /// The name of its kind, under which its bytes are counted.
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

  /// Its size as the codec writes it, in bytes, without the transport's own.
  pub fn size(&self) -> usize {
    postcard::to_stdvec(self).map_or(0, |bytes| bytes.len())
  }
}
