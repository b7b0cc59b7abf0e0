//! Statuses and updates that are sent to other processes.

use {
  super::{Agents, Gossip},
  crate::{
    Revision,
    datagram::{
      Frame, Outbox,
      frame::{Role, Status, UPDATE_MAX},
    },
  },
  std::{
    collections::BTreeSet,
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// The most balancers that a status names.
const BALANCERS_MAX: usize = 4;

/// How often an unresponsive balancer is sent a status.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// How long an agent keeps sending statuses to a balancer of another data centre that it has heard
/// from; longer than that balancer's status interval.
const REPLY_FOR: Duration = Duration::from_secs(3);

/// How long a balancer whose data centre is unknown is sent statuses; its own status may have been
/// lost.
const INTRODUCE_FOR: Duration = Duration::from_secs(3);

impl Gossip {
  /// The agents that a balancer's next status is sent to, which then counts as sent. Those in other
  /// data centres get one less often, and unless the overlay is a full mesh, only this process's
  /// neighbours.
  pub fn take_due_agents(&mut self, now: Instant, agents: &Agents) -> Vec<SocketAddrV4> {
    let is_remote_due = now >= self.next_remote_agents;
    if is_remote_due {
      self.next_remote_agents = now + self.tuning.remote_agent_status;
    }
    let overlay = self.overlay();
    let remote = agents.remote.iter().filter(|_| is_remote_due);
    let distant = remote.chain(&agents.former);
    let distant = distant.filter(|agent| overlay.has(**agent));
    agents.local.iter().chain(distant).copied().collect()
  }

  /// Sends a balancer's status to the balancers that are due, and to `agents`.
  pub fn tick(&mut self, now: Instant, role: Role, agents: &[SocketAddrV4], out: &mut Outbox) {
    self.broadcast_status(now, role, out);
    let frame = Frame::Status(self.own_status(now, Role::Balancer));
    for agent in agents {
      out.frame(*agent, &frame, &[]);
    }
  }

  /// Sends a status to the balancers now: to responsive ones of this data centre at each call, to
  /// others less often. Unless the overlay is a full mesh, in other data centres a balancer sends one
  /// only to its neighbours, and an agent only to balancers that it has heard from lately; newly
  /// known balancers are sent one too, and a reader sends one to all.
  pub fn broadcast_status(&mut self, now: Instant, role: Role, out: &mut Outbox) {
    self.next = now + self.tuning.status;
    let frame = Frame::Status(self.own_status(now, role));
    let tuning = self.tuning;
    let overlay = self.overlay();
    let all = overlay.is_full() || self.is_reader(now);
    let balancer = self.balancer;
    for (address, peer) in &mut self.peers {
      let since = |at: Instant| now.saturating_duration_since(at);
      let unresponsive = peer
        .last_heard
        .is_none_or(|heard| since(heard) >= tuning.peer_timeout);
      let local = peer.data_centre == Some(self.data_centre);
      let interval = match (unresponsive, local) {
        (true, _) => RETRY_INTERVAL,
        (false, true) => Duration::ZERO,
        (false, false) => tuning.remote_status,
      };
      let sent = peer.last_sent.is_some_and(|at| since(at) < interval);
      if !peer.balancer || sent {
        continue;
      }
      let recent = peer
        .last_heard
        .is_some_and(|heard| since(heard) < REPLY_FOR);
      let neighbour = if balancer {
        overlay.has(*address)
      } else {
        recent
      };
      let unknown = peer.data_centre.is_none() && since(peer.known_since) < INTRODUCE_FOR;
      if !all && !local && !neighbour && !unknown && peer.last_sent.is_some() {
        continue;
      }
      peer.last_sent = Some(now);
      out.frame(*address, &frame, &[]);
    }
  }

  /// Makes the next status due now.
  pub fn hasten_status(&mut self, now: Instant) {
    self.next = now;
  }

  /// Sends a status to one process.
  pub fn send_status(&self, now: Instant, role: Role, to: SocketAddrV4, out: &mut Outbox) {
    out.frame(to, &Frame::Status(self.own_status(now, role)), &[]);
  }

  fn own_status(&self, now: Instant, role: Role) -> Status {
    let mut balancers = self.balancers(now);
    // Rotates the balancers, so that all are named after a few statuses.
    let turn = now.saturating_duration_since(self.started).as_millis() / 100;
    let first = turn as usize % balancers.len().max(1);
    balancers.rotate_left(first);
    balancers.truncate(BALANCERS_MAX);
    let confirmation = match role {
      // No agent reads the platform, and balancers hear of its answers from each other.
      Role::Agent { .. } => None,
      Role::Balancer => self.confirmations.report(now),
    };
    Status {
      balancers,
      synced: self.catalog.synced(),
      confirmation,
      data_centre: self.data_centre,
      incarnation: self.incarnation,
      link: self.link,
      role,
      stopping: self.stopping,
    }
  }

  /// Pushes the records after a revision to all peers. An update that is too large for a frame is
  /// announced by a status, after which they pull it.
  pub(super) fn push(&mut self, now: Instant, after: Revision, out: &mut Outbox) {
    let update = Frame::Update(self.catalog.since(now, after));
    let mut encoded = Vec::new();
    update.encode(&mut encoded);
    let frame = if encoded.len() <= UPDATE_MAX {
      update
    } else {
      Frame::Status(self.own_status(now, Role::Balancer))
    };
    let mut receivers = self.peers.keys().copied().collect::<BTreeSet<_>>();
    if !self.is_full_mesh() {
      receivers.extend(self.listed_agents());
    }
    for address in receivers {
      out.frame(address, &frame, &[]);
    }
  }

  /// The agents of all listed targets, including those outside the overlay. An entry may name this
  /// process's own instance.
  pub(super) fn listed_agents(&self) -> impl Iterator<Item = SocketAddrV4> {
    let listed = self.catalog.entries();
    let listed = listed.filter(|(_, entry)| entry.removed.is_none());
    let agents =
      listed.map(|(_, entry)| SocketAddrV4::new(*entry.target.address.ip(), self.address.port()));
    agents.filter(|agent| *agent != self.address)
  }
}
