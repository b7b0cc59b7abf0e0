mod links;
mod peer;
mod reading;
mod telling;

use {
  self::{links::Links, peer::Peer},
  super::{
    Catalog, Change, News, Outbox, Rate, Settings, Tuning,
    event::Origin,
    frame::{Led, Role, Status},
  },
  crate::Revision,
  serde_json::json,
  std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
  xxhash_rust::xxh3::xxh3_64,
};

/// How long a balancer that is not heard of is still told, so that it finds its peers again when
/// it comes back.
const TOLD: Duration = Duration::from_mins(5);

/// After so much silence a balancer that speaks again is worth a line: those of other data centres
/// tell agents only every two seconds.
const LOST: Duration = Duration::from_secs(5);

/// The least rest after which a flow is forgotten, whatever the configuration says.
const IDLE_LEAST: Duration = Duration::from_secs(1);

/// How long a question to a peer may take before another is asked.
const PULL: Duration = Duration::from_millis(500);

/// The agents of listed targets, by where they stand.
#[derive(Clone, Debug, Default)]
pub struct Agents {
  /// Those of other data centres.
  pub far: Vec<SocketAddrV4>,
  /// Those of this data centre.
  pub near: Vec<SocketAddrV4>,
}

/// Keeps the catalog and spreads it: a few balancers read the platform and push what is new; the
/// others hear it, find by each status whether they are behind, and ask the sender.
#[derive(Debug)]
pub struct Spread {
  address: SocketAddrV4,
  catalog: Catalog,
  /// The time over which new flows are taken from a data centre that was closed.
  closing: Duration,
  /// What is left of it, by how old the closing may be that was heard of last.
  closing_left: Duration,
  confirmed: Option<Instant>,
  /// Whether this process is a balancer.
  balancer: bool,
  data_centre: u32,
  /// When agents of other data centres are told next.
  far_agents: Instant,
  /// Until when this process waits for a peer's word before it reads itself.
  hears_until: Instant,
  incarnation: u32,
  /// The order of magnitude of the link's rate; 0 where that is not known.
  link: u8,
  next: Instant,
  peers: BTreeMap<SocketAddrV4, Peer>,
  pull: Option<(SocketAddrV4, Instant)>,
  started: Instant,
  stopping: bool,
  tuning: Tuning,
  version: u64,
  wanted: Option<(SocketAddrV4, Revision)>,
}

impl Spread {
  /// The spread of a process with these settings.
  pub fn new(
    now: Instant,
    settings: &Settings,
    balancer: bool,
    incarnation: u32,
    tuning: Tuning,
  ) -> Self {
    let address = settings.peers;
    let others = settings.seeds.iter().filter(|seed| **seed != address);
    Self {
      address,
      balancer,
      catalog: Catalog::default(),
      closing: settings.closing,
      closing_left: Duration::ZERO,
      confirmed: None,
      data_centre: digest(&settings.data_centre),
      far_agents: now,
      hears_until: now + reading::hears(settings),
      incarnation,
      link: settings.link.map(Rate::magnitude).unwrap_or_default(),
      next: now,
      peers: others.map(|seed| (*seed, Peer::new(now, true))).collect(),
      pull: None,
      started: now,
      stopping: false,
      tuning,
      version: 0,
      wanted: None,
    }
  }

  /// Where peers reach this process.
  pub fn address(&self) -> SocketAddrV4 {
    self.address
  }

  /// What is known of the platform.
  pub fn catalog(&self) -> &Catalog {
    &self.catalog
  }

  /// How long ago the platform confirmed the catalog.
  pub fn confirmed(&self, now: Instant) -> Option<Duration> {
    self
      .confirmed
      .map(|confirmed| now.saturating_duration_since(confirmed))
  }

  /// The balancers that were heard of lately.
  pub fn balancers(&self, now: Instant) -> Vec<SocketAddrV4> {
    let live = self.peers.iter();
    let live = live.filter(|(_, peer)| peer.balancer && self.is_heard(now, peer));
    live.map(|(address, _)| *address).collect()
  }

  /// The balancers that may be there: those that were heard of lately, and all that are known until
  /// they have had time to speak.
  pub fn present(&self, now: Instant) -> impl Iterator<Item = SocketAddrV4> {
    let silent = self.tuning.silent;
    let present = move |peer: &Peer| {
      let last = peer.heard.unwrap_or(peer.since);
      peer.balancer && now.saturating_duration_since(last) < silent
    };
    let peers = self.peers.iter();
    let peers = peers.filter(move |(_, peer)| present(peer));
    peers.map(|(address, _)| *address)
  }

  /// How long new flows may still go to a data centre that was heard of as closed just now.
  pub fn closing_left(&self) -> Duration {
    self.closing_left
  }

  /// When a status is due.
  pub fn deadline(&self) -> Instant {
    self.next
  }

  /// Forgets what is long past.
  pub fn expire(&mut self, now: Instant) {
    self.catalog.expire(now);
    self.peers.retain(|_, peer| {
      let last = peer.heard.unwrap_or(peer.since);
      now.saturating_duration_since(last) < TOLD
    });
  }

  /// A frame came from a process.
  pub fn heard(&mut self, now: Instant, from: SocketAddrV4, balancer: bool) {
    let peer = self
      .peers
      .entry(from)
      .or_insert_with(|| Peer::new(now, balancer));
    let long = |heard| now.saturating_duration_since(heard) >= LOST;
    let lost = peer.heard.is_none_or(long);
    peer.heard = Some(now);
    if lost && balancer {
      log::info!(peer:% = from; "spread: balancer is heard of.");
    }
  }

  /// After how much rest a flow may be forgotten.
  pub fn idle(&self) -> Duration {
    let configuration = self.catalog.configuration();
    configuration.map_or(self.tuning.idle, |held| held.idle.max(IDLE_LEAST))
  }

  /// Whether a peer that knows the list up to a revision knows more; if so, it is asked.
  pub fn is_behind(&mut self, now: Instant, peer: SocketAddrV4, complete: Revision) -> bool {
    let behind = complete > self.catalog.complete();
    if behind {
      self.want(now, peer, complete);
    }
    behind
  }

  /// Takes news. What the platform said is pushed to everybody.
  pub fn news(&mut self, now: Instant, origin: Origin, news: News, out: &mut Outbox) -> Change {
    let (after, to) = (self.catalog.complete(), news.to);
    // What is new came after the last word of the platform.
    let age = self.confirmed(now);
    let missing = news.after.is_some_and(|from| from > after);
    let change = self.catalog.offer(now, news);
    if origin == Origin::Platform {
      self.confirmed = Some(now);
      // The others count on this word, and read themselves where it stays away.
      self.next = now;
    } else {
      self.pull = None;
    }
    if change.closures {
      self.closing_left = age.map_or(Duration::ZERO, |age| self.closing.saturating_sub(age));
    }
    if !change.is_empty() {
      self.version += 1;
      log::info!(
        version:% = self.catalog.version(), revision:% = self.catalog.complete(),
        origin:? = origin, targets = change.targets.len(), configuration = change.configuration;
        "spread: news is in force."
      );
    }
    if let (true, Origin::Peer(from)) = (missing, origin) {
      self.want(now, from, to);
    }
    // Who is told of nothing new still learns that the platform was read up to here, and need not ask.
    if origin == Origin::Platform && self.catalog.complete() > after {
      self.push(now, after, out);
    }
    change
  }

  /// The services that addresses led to and lead to no longer, as far as known.
  pub fn led(&self, now: Instant) -> Vec<Led> {
    let left = self.catalog.former().all();
    let routed = left.filter(|(address, ..)| self.catalog.route(address).is_some());
    let led = routed.map(|(address, service, at)| Led {
      address,
      age_ms: now.saturating_duration_since(at).as_millis() as u32,
      service: service.clone(),
    });
    led.collect()
  }

  /// A peer says which services addresses led to.
  pub fn remember(&mut self, now: Instant, led: &[Led]) {
    for led in led {
      let at = now.checked_sub(Duration::from_millis(led.age_ms.into()));
      let at = at.unwrap_or(now);
      self.catalog.remember(at, led.address, &led.service);
    }
  }

  /// A process told of itself.
  pub fn status(&mut self, now: Instant, from: SocketAddrV4, status: &Status) {
    let balancer = status.role == Role::Balancer;
    self.heard(now, from, balancer);
    for other in &status.balancers {
      if *other != self.address && self.balancer {
        self
          .peers
          .entry(*other)
          .or_insert_with(|| Peer::new(now, true));
      }
    }
    if let Some(peer) = self.peers.get_mut(&from) {
      peer.balancer = balancer;
      peer.complete = status.complete;
      peer.data_centre = Some(status.data_centre);
      if peer.incarnation.replace(status.incarnation) != Some(status.incarnation) {
        // A run that has just started does not know this process.
        peer.told = None;
      }
      peer.link = status.link;
      peer.stopping = status.stopping;
    }
    if !self.is_behind(now, from, status.complete)
      && let Some(ms) = status.confirmed_ms
    {
      let confirmed = now.checked_sub(Duration::from_millis(ms.into()));
      self.confirmed = self.confirmed.max(confirmed);
    }
  }

  /// What is known of the platform and of the peers, for an operator.
  pub fn dump(&self, now: Instant) -> serde_json::Value {
    let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
    let peers = self.peers.iter();
    let peers = peers.map(|(address, peer)| {
      json!({
        "address": address.to_string(),
        "balancer": peer.balancer,
        "complete": peer.complete,
        "heard_ms": peer.heard.map(age),
        "stopping": peer.stopping,
      })
    });
    let entries = self.catalog.entries();
    let targets = entries.map(|(id, entry)| {
      json!({
        "gone_ms": entry.gone.map(age),
        "id": id.to_string(),
        "revision": entry.revision,
        "target": entry.target.as_ref(),
      })
    });
    json!({
      "address": self.address.to_string(),
      "closed": self.catalog.closures().closed().collect::<Vec<_>>(),
      "complete": self.catalog.complete(),
      "confirmed_ms": self.confirmed.map(age),
      "incarnation": self.incarnation,
      "peers": peers.collect::<Vec<_>>(),
      "reader": self.is_reader(now),
      "stopping": self.stopping,
      "targets": targets.collect::<Vec<_>>(),
      "version": self.catalog.version(),
    })
  }

  /// Takes other seeds.
  pub fn reseed(&mut self, now: Instant, seeds: &[SocketAddrV4]) {
    for seed in seeds.iter().filter(|seed| **seed != self.address) {
      self
        .peers
        .entry(*seed)
        .or_insert_with(|| Peer::new(now, true));
    }
  }

  /// The process is about to stop.
  pub fn stop(&mut self, now: Instant) {
    self.stopping = true;
    self.next = now;
  }

  /// A peer that was asked could not be reached.
  pub fn unreachable(&mut self, from: SocketAddrV4) {
    if self.pull.is_some_and(|(asked, _)| asked == from) {
      self.pull = None;
    }
  }

  /// Whether a process was never heard of.
  pub fn is_new(&self, process: SocketAddrV4) -> bool {
    let peer = self.peers.get(&process);
    peer.is_none_or(|peer| peer.heard.is_none())
  }

  /// Whether all processes keep in touch with each other; otherwise one that is silent may be there.
  pub fn knows_all(&self) -> bool {
    self.links().are_all()
  }

  /// Who of other data centres this process keeps in touch with.
  fn links(&self) -> Links {
    let balancers = self.peers.values().filter(|peer| peer.balancer);
    Links::new(self.address, balancers.count())
  }

  /// What is to be asked of whom, once.
  pub fn take_wanted(&mut self) -> Option<(SocketAddrV4, Revision)> {
    self.wanted.take()
  }

  /// A count that rises with each change of the catalog.
  pub fn version(&self) -> u64 {
    self.version
  }

  fn is_heard(&self, now: Instant, peer: &Peer) -> bool {
    peer
      .heard
      .is_some_and(|heard| now.saturating_duration_since(heard) < self.tuning.silent)
  }

  fn want(&mut self, now: Instant, from: SocketAddrV4, revision: Revision) {
    let busy = self
      .pull
      .is_some_and(|(_, since)| now.saturating_duration_since(since) < PULL);
    if busy {
      return;
    }
    log::debug!(peer:% = from, revision:% = revision; "spread: peer knows more and is asked.");
    self.pull = Some((from, now));
    self.wanted = Some((from, self.catalog.complete()));
  }
}

/// A hash of a name that is the same in every process.
fn digest(name: &str) -> u32 {
  xxh3_64(name.as_bytes()) as u32
}
