mod history;
mod overlay;
mod peer;
mod reading;
mod remembering;
mod sending;

use {
  self::{history::History, overlay::Overlay, peer::Peer},
  super::{
    Catalog, Change, Outbox, Rate, Settings, Tuning, Update,
    event::Origin,
    frame::{Role, Status},
  },
  crate::{Revision, confirmation::Confirmations},
  serde_json::json,
  std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
  xxhash_rust::xxh3::xxh3_64,
};

/// How long a balancer is still sent statuses after its last frame, so that it finds its peers
/// again when it comes back.
const PEER_TTL: Duration = Duration::from_mins(5);

/// After this long without a frame from a balancer, its next frame is logged; balancers in other
/// data centres send a status to agents only every two seconds.
const LOST_AFTER: Duration = Duration::from_secs(5);

/// The shortest idle timeout of flows, whatever the configuration says.
const IDLE_MIN: Duration = Duration::from_secs(1);

/// How long an update requested from a peer may take before it is requested from another one.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// The agents that a balancer sends statuses to.
#[derive(Clone, Debug, Default)]
pub struct Agents {
  /// Agents of targets that are not listed and may still run.
  pub former: Vec<SocketAddrV4>,
  /// Agents of listed targets in other data centres.
  pub remote: Vec<SocketAddrV4>,
  /// Agents of listed targets in this data centre.
  pub local: Vec<SocketAddrV4>,
}

/// Keeps the catalog and replicates it by gossip. A few balancers read the platform and push its
/// updates to all peers. Each status carries the sender's revision, so a process that missed an
/// update notices and pulls it from the sender.
#[derive(Debug)]
pub struct Gossip {
  address: SocketAddrV4,
  catalog: Catalog,
  /// The time over which balancers, one after another, stop placing flows in an evacuated data
  /// centre.
  closing: Duration,
  /// The part of `closing` that was left when the latest evacuation was received; the time since
  /// the platform's previous confirmation, during which it may have been ordered, is subtracted.
  evacuation_left: Duration,
  /// When the platform last confirmed the catalog.
  confirmations: Confirmations,
  /// Whether this process is a balancer.
  balancer: bool,
  data_centre: u32,
  history: History,
  /// When agents in other data centres are sent the next status.
  next_remote_agents: Instant,
  /// Until when this process waits for an update from a peer before it reads the platform itself.
  read_after: Instant,
  incarnation: u32,
  /// Base-2 logarithm of the link's rate in bytes per second; 0 if unknown.
  link: u8,
  /// When the next status is due.
  next: Instant,
  peers: BTreeMap<SocketAddrV4, Peer>,
  /// The peer that an update was requested from, and when.
  pull: Option<(SocketAddrV4, Instant)>,
  /// When this process started.
  started: Instant,
  stopping: bool,
  tuning: Tuning,
  /// The number of updates that have changed the catalog.
  changes: u64,
  /// The update request that is to be sent: the peer, and the revision after which records are
  /// missing.
  wanted: Option<(SocketAddrV4, Revision)>,
}

impl Gossip {
  /// Creates the gossip state; `balancer` is the role of this process, and `incarnation`
  /// distinguishes this start of it from earlier ones.
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
      evacuation_left: Duration::ZERO,
      confirmations: Confirmations::new(incarnation),
      data_centre: digest(&settings.data_centre),
      history: History::new(now, settings.first_start),
      next_remote_agents: now,
      read_after: now + reading::read_delay(settings),
      incarnation,
      link: settings.link.map(Rate::magnitude).unwrap_or_default(),
      next: now,
      peers: others.map(|seed| (*seed, Peer::new(now, true))).collect(),
      pull: None,
      started: now,
      stopping: false,
      tuning,
      changes: 0,
      wanted: None,
    }
  }

  /// The address at which peers reach this process.
  pub fn address(&self) -> SocketAddrV4 {
    self.address
  }

  /// The replicated configuration and targets.
  pub fn catalog(&self) -> &Catalog {
    &self.catalog
  }

  /// How long ago the platform confirmed the catalog; none before the first confirmation.
  pub fn confirmed(&self, now: Instant) -> Option<Duration> {
    let confirmed = self.confirmations.latest()?;
    Some(now.saturating_duration_since(confirmed))
  }

  /// The balancers that have been heard from within the peer timeout.
  pub fn balancers(&self, now: Instant) -> Vec<SocketAddrV4> {
    let live = self.peers.iter();
    let live = live.filter(|(_, peer)| peer.balancer && self.is_alive(now, peer));
    live.map(|(address, _)| *address).collect()
  }

  /// The balancers that may be alive: heard from within the peer timeout, or known for less than
  /// that and not heard from yet.
  pub fn maybe_alive(&self, now: Instant) -> impl Iterator<Item = SocketAddrV4> {
    let timeout = self.tuning.peer_timeout;
    let maybe_alive = move |peer: &Peer| {
      let last = peer.last_heard.unwrap_or(peer.known_since);
      peer.balancer && now.saturating_duration_since(last) < timeout
    };
    let peers = self.peers.iter();
    let peers = peers.filter(move |(_, peer)| maybe_alive(peer));
    peers.map(|(address, _)| *address)
  }

  /// How long flows may still be placed in a data centre whose evacuation was received just now.
  pub fn evacuation_left(&self) -> Duration {
    self.evacuation_left
  }

  /// When the next status is due.
  pub fn deadline(&self) -> Instant {
    self.next
  }

  /// Drops expired tombstones and former backends, and balancers that have not been heard from for
  /// long.
  pub fn expire(&mut self, now: Instant) {
    self.catalog.expire(now);
    self.confirmations.expire();
    self.history.expire(now, self.tuning.flow_lifetime);
    self.peers.retain(|_, peer| {
      let last = peer.last_heard.unwrap_or(peer.known_since);
      now.saturating_duration_since(last) < PEER_TTL
    });
  }

  /// Records that a frame arrived from a process.
  pub fn note_heard(&mut self, now: Instant, from: SocketAddrV4, balancer: bool) {
    let peer = self
      .peers
      .entry(from)
      .or_insert_with(|| Peer::new(now, balancer));
    let expired = |heard| now.saturating_duration_since(heard) >= LOST_AFTER;
    let lost = peer.last_heard.is_none_or(expired);
    peer.last_heard = Some(now);
    if lost && balancer {
      log::info!(peer:% = from; "spread: balancer is heard from.");
    }
  }

  /// The idle timeout of flows.
  pub fn idle(&self) -> Duration {
    let configuration = self.catalog.configuration();
    configuration.map_or(self.tuning.idle, |configuration| {
      configuration.idle.max(IDLE_MIN)
    })
  }

  /// Whether a peer whose catalog is complete up to a revision is ahead of this one. If so,
  /// requests the missing update from it.
  pub fn is_behind(&mut self, now: Instant, peer: SocketAddrV4, synced: Revision) -> bool {
    let behind = synced > self.catalog.synced();
    if behind {
      self.request_update(now, peer, synced);
    }
    behind
  }

  /// Applies an update and returns what it changed. An update from the platform is pushed to all
  /// peers.
  pub fn update(
    &mut self,
    now: Instant,
    origin: Origin,
    update: Update,
    out: &mut Outbox,
  ) -> Change {
    let (after, to) = (self.catalog.synced(), update.to);
    // The change happened since the platform was last heard from.
    let age = self.confirmed(now);
    let missing = update.after.is_some_and(|from| from > after);
    let change = self.catalog.apply_update(now, update);
    if change.has_gap {
      let is_first = after == Revision::default();
      self.history.record_gap(now, is_first, to);
    }
    if origin == Origin::Platform {
      self.confirmations.record_answer(now);
      // The status carries the confirmation to peers; without it, they read the platform
      // themselves.
      self.next = now;
    } else {
      self.pull = None;
    }
    if change.evacuations {
      self.evacuation_left = age.map_or(Duration::ZERO, |age| self.closing.saturating_sub(age));
    }
    if !change.is_empty() {
      self.changes += 1;
      log::info!(
        version:% = self.catalog.version(), revision:% = self.catalog.synced(),
        origin:? = origin, targets = change.targets.len(), configuration = change.configuration,
        has_gap = change.has_gap;
        "spread: update is applied."
      );
    }
    if let (true, Origin::Peer(from)) = (missing, origin) {
      self.request_update(now, from, to);
    }
    // Pushed even if it changes nothing: receivers learn that the catalog is complete up to here
    // and don't request an update.
    if origin == Origin::Platform && self.catalog.synced() > after {
      self.push(now, after, out);
    }
    if change.has_gap {
      self.request_all_history(now, out);
    }
    change
  }

  /// Handles the status of another process.
  pub fn handle_status(&mut self, now: Instant, from: SocketAddrV4, status: &Status) {
    let balancer = status.role == Role::Balancer;
    self.note_heard(now, from, balancer);
    if self.balancer {
      self.add_balancers(now, &status.balancers);
    }
    if let Some(peer) = self.peers.get_mut(&from) {
      peer.balancer = balancer;
      peer.synced = status.synced;
      peer.data_centre = Some(status.data_centre);
      if peer.incarnation.replace(status.incarnation) != Some(status.incarnation) {
        // A new incarnation doesn't know this process yet.
        peer.last_sent = None;
      }
      peer.link = status.link;
      peer.stopping = status.stopping;
    }
    if !self.is_behind(now, from, status.synced)
      && let Some(confirmation) = status.confirmation
    {
      self.confirmations.record_report(now, confirmation);
    }
  }

  /// Adds balancers that a status names, which are then sent one.
  pub fn add_balancers(&mut self, now: Instant, balancers: &[SocketAddrV4]) {
    for other in balancers.iter().filter(|other| **other != self.address) {
      self
        .peers
        .entry(*other)
        .or_insert_with(|| Peer::new(now, true));
    }
  }

  /// The state as JSON, for operators.
  pub fn dump(&self, now: Instant) -> serde_json::Value {
    let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
    let peers = self.peers.iter();
    let peers = peers.map(|(address, peer)| {
      json!({
        "address": address.to_string(),
        "balancer": peer.balancer,
        "complete": peer.synced,
        "heard_ms": peer.last_heard.map(age),
        "stopping": peer.stopping,
      })
    });
    let entries = self.catalog.entries();
    let targets = entries.map(|(id, entry)| {
      json!({
        "gone_ms": entry.removed.map(age),
        "id": id.to_string(),
        "revision": entry.revision,
        "target": entry.target.as_ref(),
      })
    });
    json!({
      "address": self.address.to_string(),
      "closed": self.catalog.evacuations().closed().collect::<Vec<_>>(),
      "complete": self.catalog.synced(),
      "confirmed_ms": self.confirmations.latest().map(age),
      "history_known": self.history.is_known(),
      "incarnation": self.incarnation,
      "peers": peers.collect::<Vec<_>>(),
      "reader": self.is_reader(now),
      "stopping": self.stopping,
      "targets": targets.collect::<Vec<_>>(),
      "version": self.catalog.version(),
    })
  }

  /// Adds the seeds of reloaded settings.
  pub fn add_seeds(&mut self, now: Instant, seeds: &[SocketAddrV4]) {
    for seed in seeds.iter().filter(|seed| **seed != self.address) {
      self
        .peers
        .entry(*seed)
        .or_insert_with(|| Peer::new(now, true));
    }
  }

  /// Announces in the next status, which becomes due now, that this process is stopping.
  pub fn stop(&mut self, now: Instant) {
    self.stopping = true;
    self.next = now;
  }

  /// Ends the pull from a peer that could not be reached.
  pub fn cancel_pull(&mut self, from: SocketAddrV4) {
    if self.pull.is_some_and(|(peer, _)| peer == from) {
      self.pull = None;
    }
  }

  /// Whether a process has never been heard from.
  pub fn is_new(&self, process: SocketAddrV4) -> bool {
    let peer = self.peers.get(&process);
    peer.is_none_or(|peer| peer.last_heard.is_none())
  }

  /// Whether the overlay is a full mesh. Otherwise a process that is never heard from may still be
  /// alive.
  pub fn is_full_mesh(&self) -> bool {
    self.overlay().is_full()
  }

  /// The peers in other data centres that this process exchanges statuses with.
  fn overlay(&self) -> Overlay {
    let balancers = self.peers.values().filter(|peer| peer.balancer);
    Overlay::new(self.address, balancers.count())
  }

  /// Takes the update request that is to be sent next: the peer, and the revision after which
  /// records are missing.
  pub fn take_wanted(&mut self) -> Option<(SocketAddrV4, Revision)> {
    self.wanted.take()
  }

  /// The number of updates that have changed the catalog.
  pub fn changes(&self) -> u64 {
    self.changes
  }

  fn is_alive(&self, now: Instant, peer: &Peer) -> bool {
    peer
      .last_heard
      .is_some_and(|heard| now.saturating_duration_since(heard) < self.tuning.peer_timeout)
  }

  fn request_update(&mut self, now: Instant, from: SocketAddrV4, revision: Revision) {
    let busy = self
      .pull
      .is_some_and(|(_, since)| now.saturating_duration_since(since) < PULL_TIMEOUT);
    if busy {
      return;
    }
    log::debug!(
      peer:% = from, revision:% = revision;
      "spread: peer is ahead; requesting the update."
    );
    self.pull = Some((from, now));
    self.wanted = Some((from, self.catalog.synced()));
  }
}

/// A hash of a name that doesn't depend on the process or build.
fn digest(name: &str) -> u32 {
  xxh3_64(name.as_bytes()) as u32
}
