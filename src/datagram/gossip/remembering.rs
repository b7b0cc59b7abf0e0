//! Exchanges history between processes: targets that were removed from the target list, and services
//! that addresses were routed to. Balancers and agents hold the same, so that it is known as long as
//! any process of either role remembers it.

use {
  super::{Gossip, history},
  crate::{
    Revision,
    datagram::{
      Frame, Outbox, Service,
      age::{age_ms, time_of},
      former_backends::Removed,
      frame::{FormerBackend, History, Tombstone, UPDATE_MAX},
    },
  },
  serde::Serialize,
  std::{net::SocketAddrV4, time::Instant},
};

/// How many requests for history are unanswered at a time, except those from balancers to balancers.
/// An answer takes many datagrams after a release.
const REQUESTS_MAX: usize = 16;

impl Gossip {
  /// Whether all changes within the lifetime of a flow are known here.
  pub fn is_history_known(&self) -> bool {
    self.history.is_known()
  }

  /// Whether the history is known, or every process has been asked that may know more than this one:
  /// the balancers, and if none of them knows it, the agents.
  pub fn is_history_complete(&self, now: Instant) -> bool {
    if self.history.is_known() {
      return true;
    }
    let have_answered = || {
      let mut agents = self.agents(now);
      agents.all(|agent| self.history.has_answered(agent))
    };
    self.have_balancers_answered(now) && (self.history.is_late(now) || have_answered())
  }

  /// Whether the history is lost for good, as after a loss of power everywhere: this process has
  /// just started, and none of the processes that have answered knows the whole history.
  pub fn is_history_lost(&self, now: Instant) -> bool {
    !self.history.is_known() && self.history.is_starting(now) && self.is_history_complete(now)
  }

  /// Requests the history of another process, unless it is known or the request was sent recently.
  /// A balancer asks agents once the balancers have answered.
  pub fn request_history(&mut self, now: Instant, from: SocketAddrV4, out: &mut Outbox) {
    // Called for each status: whether the balancers have answered takes a pass over all peers.
    if self.history.is_known() || self.history.has_answered(from) {
      return;
    }
    let is_balancer = self.peers.get(&from).is_some_and(|peer| peer.balancer);
    let may_ask = is_balancer || (self.balancer && self.have_balancers_answered(now));
    let limit = if self.balancer && is_balancer {
      usize::MAX
    } else {
      REQUESTS_MAX
    };
    if may_ask && self.history.take_due(now, from, limit) {
      out.frame(from, &Frame::HistoryRequest, &[]);
    }
  }

  /// Requests the history of all live processes that have not answered.
  pub fn request_all_history(&mut self, now: Instant, out: &mut Outbox) {
    if self.history.is_known() {
      return;
    }
    let live = self.maybe_alive(now).chain(self.agents(now));
    for peer in live.collect::<Vec<_>>() {
      self.request_history(now, peer, out);
    }
  }

  /// Sends the targets that were removed, and the services that addresses were routed to.
  /// `flows_known` says whether this process knows all flows of its upstream.
  pub fn send_history(&self, now: Instant, to: SocketAddrV4, flows_known: bool, out: &mut Outbox) {
    let mut parts = Parts::default();
    for tombstone in self.catalog.tombstones(now) {
      parts.part_for(&tombstone).tombstones.push(tombstone);
    }
    for backend in self.former_backends(now) {
      parts.part_for(&backend).former_backends.push(backend);
    }
    let count = parts.all.len() as u16;
    for (number, part) in parts.all.into_iter().enumerate() {
      let history = History {
        flows_known,
        known: self.history.is_known(),
        part: number as u16,
        parts: count,
        synced: self.catalog.synced(),
        ..part
      };
      out.frame(to, &Frame::History(history), &[]);
    }
  }

  /// Imports the history that another process has sent; true if it names a target that was not
  /// known.
  pub fn take_history(&mut self, now: Instant, from: SocketAddrV4, history: &History) -> bool {
    for backend in &history.former_backends {
      let removed = Removed {
        at: time_of(now, backend.age_ms),
        last: Revision::default(),
        service: backend.service.clone(),
      };
      self.catalog.import_backend(backend.address, removed);
    }
    let is_new = self.import_targets(now, &history.tombstones);
    let part = history::Part {
      number: history.part,
      count: history.parts,
      flows_known: history.flows_known,
      is_known: history.known,
      synced: history.synced,
    };
    let was_known = self.history.is_known();
    self.history.add_part(now, from, part);
    if !was_known && self.history.is_known() {
      log::info!(from:% = from; "spread: history is known.");
    }
    is_new
  }

  /// Whether a process has sent its history since this one has asked for it.
  pub fn has_sent_history(&self, process: SocketAddrV4) -> bool {
    self.history.has_answered(process)
  }

  /// Whether an agent has said that it does not know all flows of its upstream.
  pub fn lacks_flows(&self, agent: SocketAddrV4) -> bool {
    self.history.lacks_flows(agent)
  }

  /// Imports targets of a service that were removed from the target list, each with its age in
  /// milliseconds; true if one of them was not known.
  pub fn import_removed(
    &mut self,
    now: Instant,
    service: &Service,
    removed: &[(SocketAddrV4, u32)],
  ) -> bool {
    let tombstones = removed.iter().map(|(address, age_ms)| Tombstone {
      address: *address,
      age_ms: *age_ms,
      service: service.clone(),
    });
    self.import_targets(now, &tombstones.collect::<Vec<_>>())
  }

  /// The services that addresses were routed to before.
  fn former_backends(&self, now: Instant) -> Vec<FormerBackend> {
    let all = self.catalog.former_backends().all();
    let routed = all.filter(|(address, _)| self.catalog.route(address).is_some());
    let former_backends = routed.map(|(address, removed)| FormerBackend {
      address,
      age_ms: age_ms(now, removed.at),
      service: removed.service.clone(),
    });
    former_backends.collect()
  }

  fn have_balancers_answered(&self, now: Instant) -> bool {
    self.history.have_answered(now, self.maybe_alive(now))
  }

  /// The agents that may be alive: heard from within the peer timeout, or listed and not heard from
  /// yet.
  fn agents(&self, now: Instant) -> impl Iterator<Item = SocketAddrV4> {
    let live = self.peers.iter();
    let live = live.filter(move |(_, peer)| !peer.balancer && self.is_alive(now, peer));
    let unheard = self.listed_agents().filter(|agent| self.is_new(*agent));
    live.map(|(address, _)| *address).chain(unheard)
  }

  fn import_targets(&mut self, now: Instant, tombstones: &[Tombstone]) -> bool {
    let mut is_new = false;
    for tombstone in tombstones {
      let at = time_of(now, tombstone.age_ms);
      is_new |= self
        .catalog
        .import_target(*tombstone.address.ip(), &tombstone.service, at);
    }
    is_new
  }
}

/// A history in parts, each of which fits in a frame.
struct Parts {
  all: Vec<History>,
  /// The bytes that are left in the last part.
  left: usize,
}

impl Default for Parts {
  /// One part without items.
  fn default() -> Self {
    Self {
      all: vec![History::default()],
      left: UPDATE_MAX,
    }
  }
}

impl Parts {
  /// The part that an item is to be added to.
  fn part_for<T: Serialize>(&mut self, item: &T) -> &mut History {
    let size = postcard::to_allocvec(item).map_or(0, |bytes| bytes.len());
    if size > self.left {
      self.all.push(History::default());
      self.left = UPDATE_MAX;
    }
    self.left = self.left.saturating_sub(size);
    self.all.last_mut().expect("at least one part")
  }
}
