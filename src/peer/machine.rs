use {
  super::{Message, Role, Settings, subset},
  crate::{
    Revision,
    config::{Digest, Key, Record, Store, Verdict},
    id,
  },
  rand::{SeedableRng, rngs::SmallRng, seq::index},
  std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// How many peers are looked at for each that is wanted.
const TRIES: usize = 4;

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum Event {
  /// A message could not be delivered to a peer.
  Failed(SocketAddr, Message),
  /// The platform answered, with these changes.
  Platform(Vec<Record>),
  /// A peer's message arrived.
  Received(SocketAddr, Message),
  /// It is time for a digest, or for a follower's question.
  Tick,
}

/// A message and who it is for.
pub type Outgoing = (SocketAddr, Message);

/// Spreads configuration: news is pushed at once to a few peers, and a digest each second finds
/// what a push did not reach. A carrier holds all, a follower its own part.
#[derive(Debug)]
pub struct Machine {
  address: SocketAddr,
  /// Peers that could not be reached, and when.
  avoided: HashMap<SocketAddr, Instant>,
  confirmed: Option<Instant>,
  joined: bool,
  part: Vec<Key>,
  /// The other carriers, as of the version beside.
  peers: (u64, Vec<SocketAddr>),
  rng: SmallRng,
  role: Role,
  seeds: Vec<SocketAddr>,
  settings: Settings,
  store: Store,
  token: u64,
  version: u64,
}

impl Machine {
  /// The machine of the process at `address`, which knows the processes at `seeds` from its
  /// settings.
  pub fn new(
    address: SocketAddr,
    role: Role,
    seeds: Vec<SocketAddr>,
    settings: Settings,
    seed: u64,
  ) -> Self {
    Self {
      address,
      avoided: HashMap::new(),
      confirmed: None,
      joined: false,
      part: Vec::new(),
      peers: (0, Vec::new()),
      rng: SmallRng::seed_from_u64(seed),
      role,
      seeds,
      settings,
      store: Store::default(),
      token: 0,
      version: 0,
    }
  }

  /// How long ago some process heard from the platform.
  pub fn confirmed(&self, now: Instant) -> Option<Duration> {
    self.confirmed.map(|at| now.duration_since(at))
  }

  /// A carrier answered this follower, who needs no platform then.
  pub fn heard(&mut self, now: Instant) {
    if self.role != Role::Carrier {
      self.confirmed = Some(now);
    }
  }

  /// Whether a peer or the platform has told this process what is in force.
  pub fn has_joined(&self) -> bool {
    self.joined
  }

  /// Whether this process is to read from the platform for its data centre.
  pub fn is_reader(&self, own: id::Instance, data_centre: &str, readers: usize) -> bool {
    self.role == Role::Carrier && subset::is_reader(&self.store, own, data_centre, readers)
  }

  /// The addresses where other carriers can be asked.
  pub fn peers(&mut self) -> &[SocketAddr] {
    if self.peers.0 != self.version || self.peers.1.is_empty() {
      self.peers = (self.version, self.find_peers());
    }
    &self.peers.1
  }

  fn find_peers(&self) -> Vec<SocketAddr> {
    let mut peers = subset::balancers(&self.store)
      .filter(|instance| self.is_mine(Key::Instance(instance.id)))
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

  /// The configuration held.
  pub fn store(&self) -> &Store {
    &self.store
  }

  /// A count that rises with each change of what is held.
  pub fn version(&self) -> u64 {
    self.version
  }

  /// Takes an event and says what is to be sent.
  pub fn step(&mut self, now: Instant, event: Event) -> Vec<Outgoing> {
    match event {
      Event::Failed(peer, message) => self.failed(now, peer, message),
      Event::Platform(records) => {
        self.confirmed = Some(now);
        self.joined = true;
        if self.role != Role::Carrier {
          self.part.extend(records.iter().map(|record| record.key));
          self.part.sort_unstable();
          self.part.dedup();
        }
        self.offered(now, None, records)
      }
      Event::Received(from, message) => {
        self.avoided.remove(&from);
        self.received(now, from, message)
      }
      Event::Tick => self.tick(now),
    }
  }

  /// Whether a follower was given this key last; a carrier holds all.
  pub fn is_mine(&self, key: Key) -> bool {
    self.role == Role::Carrier || self.part.contains(&key)
  }

  fn confirmed_ms(&self, now: Instant) -> Option<u64> {
    self.confirmed(now).map(|age| age.as_millis() as u64)
  }

  fn received(&mut self, now: Instant, from: SocketAddr, message: Message) -> Vec<Outgoing> {
    match message {
      Message::Buckets(digest) => self.compare(from, &digest),
      Message::Digest { confirmed_ms, root } => self.digest(now, from, confirmed_ms, root),
      Message::Follow {
        service,
        target,
        token,
      } => self.follow(from, service, target, token),
      Message::Keys { buckets, keys } => self.keys(from, &buckets, &keys),
      Message::Offer(records) => {
        self.joined |= !records.is_empty();
        self.offered(now, Some(from), records)
      }
      Message::Subset { records, token } => self.subset(records, token),
      Message::Want(keys) => self.offers(from, &keys),
    }
  }

  /// News that did not reach a peer goes to another instead.
  fn failed(&mut self, now: Instant, peer: SocketAddr, message: Message) -> Vec<Outgoing> {
    self.avoided.insert(peer, now);
    if !matches!(message, Message::Offer(_)) {
      return Vec::new();
    }
    let other = self.random_peers(now, 1).pop();
    other.map(|peer| (peer, message)).into_iter().collect()
  }

  fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
    let Some(peer) = self.random_peers(now, 1).pop() else {
      return Vec::new();
    };
    let message = match self.role {
      Role::Carrier => Message::Digest {
        confirmed_ms: self.confirmed_ms(now),
        root: self.store.digest().root(),
      },
      Role::Follower { service, target } => Message::Follow {
        service,
        target,
        token: self.token,
      },
    };
    vec![(peer, message)]
  }

  fn digest(
    &mut self,
    now: Instant,
    from: SocketAddr,
    confirmed_ms: Option<u64>,
    root: u64,
  ) -> Vec<Outgoing> {
    let heard = confirmed_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
    self.confirmed = self.confirmed.max(heard);
    if root == self.store.digest().root() {
      // The peer learns in return how fresh this side is; an equal digest ends the exchange.
      let age = self.confirmed_ms(now);
      let fresher = match (age, confirmed_ms) {
        (Some(own), Some(theirs)) => own + 500 < theirs,
        (Some(_), None) => true,
        _ => false,
      };
      if !fresher {
        return Vec::new();
      }
      return vec![(
        from,
        Message::Digest {
          confirmed_ms: age,
          root,
        },
      )];
    }
    vec![(
      from,
      Message::Buckets(Box::new(self.store.digest().clone())),
    )]
  }

  fn compare(&mut self, from: SocketAddr, digest: &Digest) -> Vec<Outgoing> {
    let differing = self.store.digest().differing(digest);
    if differing.is_empty() {
      return Vec::new();
    }
    let keys = self.store.keys(&differing);
    let buckets = differing.iter().map(|bucket| *bucket as u8).collect();
    vec![(from, Message::Keys { buckets, keys })]
  }

  fn keys(
    &mut self,
    from: SocketAddr,
    buckets: &[u8],
    theirs: &[(Key, Revision)],
  ) -> Vec<Outgoing> {
    let buckets = buckets
      .iter()
      .map(|bucket| usize::from(*bucket))
      .collect::<Vec<_>>();
    let newer = |held: &[(Key, Revision)], than: &[(Key, Revision)]| {
      held
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
    let mine = self.store.keys(&buckets);
    let mut outgoing = self.offers(from, &newer(&mine, theirs));
    let wanted = newer(theirs, &mine);
    if !wanted.is_empty() {
      outgoing.push((from, Message::Want(wanted)));
    }
    outgoing
  }

  /// Offers documents, in messages of bounded size.
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

  fn offered(
    &mut self,
    now: Instant,
    from: Option<SocketAddr>,
    records: Vec<Record>,
  ) -> Vec<Outgoing> {
    let mut news = Vec::new();
    let mut older = Vec::new();
    for record in records {
      let key = record.key;
      match self.store.offer(record) {
        Verdict::Accepted | Verdict::Rejected(_) => news.push(key),
        Verdict::Known => {}
        Verdict::Older => older.push(key),
      }
    }
    let mut outgoing = Vec::new();
    if let Some(from) = from {
      outgoing.extend(self.offers(from, &older));
    }
    if news.is_empty() {
      return outgoing;
    }
    self.version += 1;
    // Many at once are a process catching up: they are no news to the others.
    if news.len() > self.settings.news_max {
      return outgoing;
    }
    for peer in self.random_peers(now, self.settings.fan_out) {
      if Some(peer) != from {
        outgoing.extend(self.offers(peer, &news));
      }
    }
    outgoing
  }

  fn follow(
    &mut self,
    from: SocketAddr,
    service: id::Service,
    target: id::Target,
    token: u64,
  ) -> Vec<Outgoing> {
    if !self.joined {
      return Vec::new();
    }
    let keys = subset::keys(&self.store, service, target, self.settings.subset);
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

  fn subset(&mut self, records: Vec<Record>, token: u64) -> Vec<Outgoing> {
    self.joined = true;
    self.token = token;
    self.part = records.iter().map(|record| record.key).collect();
    self.version += 1;
    for record in records {
      self.store.offer(record);
    }
    Vec::new()
  }

  /// Some peers that were not found out of reach just now; any where there are no such.
  fn random_peers(&mut self, now: Instant, count: usize) -> Vec<SocketAddr> {
    if self.role != Role::Carrier && count > 1 {
      return Vec::new();
    }
    let avoid = self.settings.avoid;
    self.avoided.retain(|_, at| now.duration_since(*at) < avoid);
    let length = self.peers().len();
    let order = index::sample(&mut self.rng, length, length.min(count * TRIES));
    let order = order.iter().map(|place| self.peers.1[place]);
    let (avoided, mut chosen): (Vec<_>, Vec<_>) =
      order.partition(|peer| self.avoided.contains_key(peer));
    chosen.truncate(count);
    if chosen.is_empty() {
      chosen.extend(avoided.into_iter().take(count));
    }
    chosen
  }
}
