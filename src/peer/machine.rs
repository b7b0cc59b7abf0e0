use {
  super::{Message, Role, Settings, subset},
  crate::{
    Revision,
    config::{Digest, Key, Record, Store, Verdict},
    confirmation::{Confirmation, Confirmations},
    id,
  },
  rand::{SeedableRng, rngs::SmallRng, seq::index},
  std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// The number of random candidates for each peer to be chosen, since some may be unreachable.
const CANDIDATES_PER_PEER: usize = 4;

/// An input of the machine.
#[derive(Clone, Debug)]
pub enum Event {
  /// A message could not be delivered to a peer.
  Failed(SocketAddr, Message),
  /// The platform answered with the records that changed since its previous answer, if any.
  Platform(Vec<Record>),
  /// A peer's message arrived.
  Received(SocketAddr, Message),
  /// The interval between two exchanges has passed.
  Tick,
}

/// The receiver of a message, and the message.
pub type Outgoing = (SocketAddr, Message);

/// Replicates the configuration. Newly accepted documents are pushed to a few peers, which in turn
/// push them to others; digests at regular intervals repair what the pushes have missed. A replica
/// stores all documents, a follower those of its service.
#[derive(Debug)]
pub struct Machine {
  address: SocketAddr,
  /// When each peer last failed to receive a message.
  unreachable: HashMap<SocketAddr, Instant>,
  /// When the platform last answered a process, as far as is known here.
  confirmations: Confirmations,
  /// When a replica last answered this follower; unused by a replica.
  answered: Option<Instant>,
  joined: bool,
  /// The keys of the documents that a follower stores; unused by a replica.
  subset_keys: Vec<Key>,
  /// The other replicas, computed at `peers_version`.
  peers: Vec<SocketAddr>,
  peers_version: u64,
  rng: SmallRng,
  role: Role,
  seeds: Vec<SocketAddr>,
  settings: Settings,
  store: Store,
  /// The hash of the subset that a follower last received, or 0; unused by a replica.
  subset_token: u64,
  version: u64,
}

impl Machine {
  /// Creates the machine of the process at `address`, with an empty store. `seeds` are the peers
  /// from its settings file, `seed` that of the random generator.
  pub fn new(
    address: SocketAddr,
    role: Role,
    seeds: Vec<SocketAddr>,
    settings: Settings,
    seed: u64,
  ) -> Self {
    Self {
      address,
      unreachable: HashMap::new(),
      confirmations: Confirmations::new(seed as u32),
      answered: None,
      joined: false,
      subset_keys: Vec::new(),
      peers: Vec::new(),
      peers_version: 0,
      rng: SmallRng::seed_from_u64(seed),
      role,
      seeds,
      settings,
      store: Store::default(),
      subset_token: 0,
      version: 0,
    }
  }

  /// How long ago the platform last answered a process, as far as is known here; for a follower
  /// also how long ago a replica answered it. None if neither has happened.
  pub fn confirmed(&self, now: Instant) -> Option<Duration> {
    let confirmed = self.confirmations.latest().max(self.answered)?;
    Some(now.saturating_duration_since(confirmed))
  }

  /// Records that a replica answered, so that a follower does not read the platform. Has no effect
  /// on a replica, which must know when the platform itself answered.
  pub fn note_heard(&mut self, now: Instant) {
    if self.role != Role::Replica {
      self.answered = Some(now);
    }
  }

  /// Whether a peer has sent this process configuration or the platform has answered it.
  pub fn has_joined(&self) -> bool {
    self.joined
  }

  /// Whether this process is one of the `readers` balancers that read the platform for the data
  /// centre. A follower never is.
  pub fn is_reader(&self, own: id::Instance, data_centre: &str, readers: usize) -> bool {
    self.role == Role::Replica && subset::is_reader(&self.store, own, data_centre, readers)
  }

  /// The control addresses of the other replicas, completed from the seeds if fewer than two are
  /// known.
  pub fn peers(&mut self) -> &[SocketAddr] {
    if self.peers_version != self.version || self.peers.is_empty() {
      self.peers_version = self.version;
      self.peers = self.find_peers();
    }
    &self.peers
  }

  fn find_peers(&self) -> Vec<SocketAddr> {
    let mut peers = subset::balancers(&self.store)
      .filter(|instance| self.is_in_subset(Key::Instance(instance.id)))
      .map(|instance| instance.control)
      .filter(|control| *control != self.address)
      .collect::<Vec<_>>();
    if peers.len() < 2 {
      let missing = self
        .seeds
        .iter()
        .filter(|seed| **seed != self.address && !peers.contains(seed))
        .copied()
        .collect::<Vec<_>>();
      peers.extend(missing);
    }
    peers
  }

  /// The stored configuration.
  pub fn store(&self) -> &Store {
    &self.store
  }

  /// A number that rises with each change of the stored configuration.
  pub fn version(&self) -> u64 {
    self.version
  }

  /// Handles an event and returns the messages to send.
  pub fn step(&mut self, now: Instant, event: Event) -> Vec<Outgoing> {
    match event {
      Event::Failed(peer, message) => self.reroute_offer(now, peer, message),
      Event::Platform(records) => {
        self.confirmations.record_answer(now);
        self.joined = true;
        if self.role != Role::Replica {
          self
            .subset_keys
            .extend(records.iter().map(|record| record.key));
          self.subset_keys.sort_unstable();
          self.subset_keys.dedup();
        }
        self.store_records(now, None, records)
      }
      Event::Received(from, message) => {
        self.unreachable.remove(&from);
        self.handle_message(now, from, message)
      }
      Event::Tick => self.start_exchange(now),
    }
  }

  /// Whether the key is in this process's subset of the configuration; a replica's contains all.
  pub fn is_in_subset(&self, key: Key) -> bool {
    self.role == Role::Replica || self.subset_keys.contains(&key)
  }

  fn handle_message(&mut self, now: Instant, from: SocketAddr, message: Message) -> Vec<Outgoing> {
    match message {
      Message::Buckets(digest) => self.compare_buckets(from, &digest),
      Message::Digest { confirmation, root } => self.compare_root(now, from, confirmation, root),
      Message::Follow {
        service,
        target,
        token,
      } => self.serve_subset(from, service, target, token),
      Message::Keys { buckets, keys } => self.compare_keys(from, &buckets, &keys),
      Message::Offer(records) => {
        self.joined |= !records.is_empty();
        self.store_records(now, Some(from), records)
      }
      Message::Subset { records, token } => self.replace_subset(records, token),
      Message::Want(keys) => self.offers(from, &keys),
    }
  }

  /// Marks a peer as unreachable. An offer that it did not receive is sent to another peer instead.
  fn reroute_offer(&mut self, now: Instant, peer: SocketAddr, message: Message) -> Vec<Outgoing> {
    self.unreachable.insert(peer, now);
    if !matches!(message, Message::Offer(_)) {
      return Vec::new();
    }
    let other = self.random_peers(now, 1).pop();
    other.map(|peer| (peer, message)).into_iter().collect()
  }

  /// Sends a random peer the digest of a replica, or the request of a follower.
  fn start_exchange(&mut self, now: Instant) -> Vec<Outgoing> {
    let Some(peer) = self.random_peers(now, 1).pop() else {
      return Vec::new();
    };
    let message = match self.role {
      Role::Replica => Message::Digest {
        confirmation: self.confirmations.report(now),
        root: self.store.digest().root(),
      },
      Role::Follower { service, target } => Message::Follow {
        service,
        target,
        token: self.subset_token,
      },
    };
    vec![(peer, message)]
  }

  /// Compares a peer's root with that of this store. Answers with the buckets if they differ, else
  /// with this process's confirmation if it is more recent.
  fn compare_root(
    &mut self,
    now: Instant,
    from: SocketAddr,
    confirmation: Option<Confirmation>,
    root: u64,
  ) -> Vec<Outgoing> {
    if let Some(confirmation) = confirmation {
      self.confirmations.record_report(now, confirmation);
    }
    if root == self.store.digest().root() {
      // Answers only if this process has a clearly more recent confirmation than the peer.
      let own = self.confirmations.report(now);
      let is_more_recent = match (own, confirmation) {
        (Some(own), Some(theirs)) => own.age_ms + 500 < theirs.age_ms,
        (Some(_), None) => true,
        _ => false,
      };
      if !is_more_recent {
        return Vec::new();
      }
      return vec![(
        from,
        Message::Digest {
          confirmation: own,
          root,
        },
      )];
    }
    vec![(
      from,
      Message::Buckets(Box::new(self.store.digest().clone())),
    )]
  }

  /// Answers with the keys and revisions in the buckets that differ.
  fn compare_buckets(&mut self, from: SocketAddr, digest: &Digest) -> Vec<Outgoing> {
    let differing = self.store.digest().differing(digest);
    if differing.is_empty() {
      return Vec::new();
    }
    let keys = self.store.keys(&differing);
    let buckets = differing.iter().map(|bucket| *bucket as u8).collect();
    vec![(from, Message::Keys { buckets, keys })]
  }

  /// Offers the records that are newer here and requests those that are newer at the peer.
  fn compare_keys(
    &mut self,
    from: SocketAddr,
    buckets: &[u8],
    theirs: &[(Key, Revision)],
  ) -> Vec<Outgoing> {
    let buckets = buckets
      .iter()
      .map(|bucket| usize::from(*bucket))
      .collect::<Vec<_>>();
    let newer = |keys: &[(Key, Revision)], than: &[(Key, Revision)]| {
      keys
        .iter()
        .filter(|(key, revision)| {
          than
            .iter()
            .find(|(other, _)| other == key)
            .is_none_or(|(_, other)| other < revision)
        })
        .map(|(key, _)| *key)
        .collect::<Vec<_>>()
    };
    let own = self.store.keys(&buckets);
    let mut outgoing = self.offers(from, &newer(&own, theirs));
    let wanted = newer(theirs, &own);
    if !wanted.is_empty() {
      outgoing.push((from, Message::Want(wanted)));
    }
    outgoing
  }

  /// Offers of the stored documents under these keys, split into messages of about
  /// `message_bytes`.
  fn offers(&self, to: SocketAddr, keys: &[Key]) -> Vec<Outgoing> {
    let mut outgoing = Vec::new();
    let mut records = Vec::new();
    let mut bytes = 0;
    for record in keys.iter().flat_map(|key| self.store.records(*key)) {
      bytes += record.text.as_ref().map_or(0, String::len);
      records.push(record);
      if bytes >= self.settings.message_bytes {
        outgoing.push((to, Message::Offer(std::mem::take(&mut records))));
        bytes = 0;
      }
    }
    if !records.is_empty() {
      outgoing.push((to, Message::Offer(records)));
    }
    outgoing
  }

  /// Stores the records. Newly stored ones are pushed to a few peers; the sender `from` of an older
  /// record is offered the stored one.
  fn store_records(
    &mut self,
    now: Instant,
    from: Option<SocketAddr>,
    records: Vec<Record>,
  ) -> Vec<Outgoing> {
    let mut accepted = Vec::new();
    let mut outdated = Vec::new();
    for record in records {
      let key = record.key;
      match self.store.offer(record) {
        Verdict::Accepted | Verdict::Rejected(_) => accepted.push(key),
        Verdict::Known => {}
        Verdict::Older => outdated.push(key),
      }
    }
    let mut outgoing = Vec::new();
    if let Some(from) = from {
      outgoing.extend(self.offers(from, &outdated));
    }
    if accepted.is_empty() {
      return outgoing;
    }
    self.version += 1;
    // So many documents at once mean that this process is catching up, so its peers probably have
    // them already. If not, the digests repair it.
    if accepted.len() > self.settings.push_max {
      return outgoing;
    }
    for peer in self.random_peers(now, self.settings.fan_out) {
      if Some(peer) != from {
        outgoing.extend(self.offers(peer, &accepted));
      }
    }
    outgoing
  }

  /// Answers a follower with its subset, if the one that it has is out of date. Before this process
  /// has joined, its store may lack documents, so it does not answer.
  fn serve_subset(
    &mut self,
    from: SocketAddr,
    service: id::Service,
    target: id::Target,
    token: u64,
  ) -> Vec<Outgoing> {
    if !self.joined {
      return Vec::new();
    }
    let keys = subset::keys(&self.store, service, target, self.settings.subset_balancers);
    let own = subset::token(&self.store, &keys);
    if own == token {
      return Vec::new();
    }
    let records = keys
      .iter()
      .flat_map(|key| self.store.records(*key))
      .collect();
    vec![(
      from,
      Message::Subset {
        records,
        token: own,
      },
    )]
  }

  /// Stores the subset that this follower received. Its keys replace the previous ones; documents
  /// that are no longer in the subset stay in the store.
  fn replace_subset(&mut self, records: Vec<Record>, token: u64) -> Vec<Outgoing> {
    self.joined = true;
    self.subset_token = token;
    self.subset_keys = records.iter().map(|record| record.key).collect();
    self.version += 1;
    for record in records {
      self.store.offer(record);
    }
    Vec::new()
  }

  /// Up to `count` random peers; unreachable ones only if no other candidate is left. A follower
  /// contacts one peer at a time and pushes nothing, so it gets none for a larger count.
  fn random_peers(&mut self, now: Instant, count: usize) -> Vec<SocketAddr> {
    if self.role != Role::Replica && count > 1 {
      return Vec::new();
    }
    let ttl = self.settings.unreachable_ttl;
    self
      .unreachable
      .retain(|_, at| now.duration_since(*at) < ttl);
    let length = self.peers().len();
    let candidates = index::sample(
      &mut self.rng,
      length,
      length.min(count * CANDIDATES_PER_PEER),
    );
    let candidates = candidates.iter().map(|index| self.peers[index]);
    let (unreachable, mut chosen): (Vec<_>, Vec<_>) =
      candidates.partition(|peer| self.unreachable.contains_key(peer));
    chosen.truncate(count);
    if chosen.is_empty() {
      chosen.extend(unreachable.into_iter().take(count));
    }
    chosen
  }
}
