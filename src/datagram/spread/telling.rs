//! What a process tells others of itself and of the platform.

use {
  super::{Agents, Spread},
  crate::{
    Revision,
    datagram::{
      Frame, Outbox,
      frame::{NEWS_MAX, Role, Status},
    },
  },
  std::{
    collections::BTreeSet,
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// How many balancers a status names.
const NAMED_MAX: usize = 4;

/// How often one that is not heard of is told.
const TOLD_EVERY: Duration = Duration::from_secs(1);

/// How long an agent tells a balancer of another data centre of itself after that one has spoken: longer
/// than the pauses between its words.
const TALKS: Duration = Duration::from_secs(3);

/// How long a balancer that has not said where it stands is told again: its word may be lost.
const INTRODUCED: Duration = Duration::from_secs(3);

impl Spread {
  /// Tells of this process where that is due; `role` is what it is, `agents` further receivers.
  pub fn tick(&mut self, now: Instant, role: Role, agents: &Agents, out: &mut Outbox) {
    if now < self.next {
      return;
    }
    self.tell_now(now, role, out);
    let frame = Frame::Status(self.own_status(now, Role::Balancer));
    for agent in &agents.near {
      out.frame(*agent, &frame, &[]);
    }
    if now < self.far_agents {
      return;
    }
    self.far_agents = now + self.tuning.far_agent;
    let links = self.links();
    for agent in agents.far.iter().filter(|agent| links.has(**agent)) {
      out.frame(*agent, &frame, &[]);
    }
  }

  /// Tells balancers of this process now: those near at each call, the others less often, and where they
  /// are many only those that it keeps in touch with. The reader's word is for all.
  pub fn tell_now(&mut self, now: Instant, role: Role, out: &mut Outbox) {
    self.next = now + self.tuning.status;
    let frame = Frame::Status(self.own_status(now, role));
    let tuning = self.tuning;
    let links = self.links();
    let all = links.are_all() || self.is_reader(now);
    let balancer = self.balancer;
    for (address, peer) in &mut self.peers {
      let since = |at: Instant| now.saturating_duration_since(at);
      let quiet = peer.heard.is_none_or(|heard| since(heard) >= tuning.silent);
      let near = peer.data_centre == Some(self.data_centre);
      let pause = match (quiet, near) {
        (true, _) => TOLD_EVERY,
        (false, true) => Duration::ZERO,
        (false, false) => tuning.far,
      };
      let told = peer.told.is_some_and(|told| since(told) < pause);
      if !peer.balancer || told {
        continue;
      }
      let recent = peer.heard.is_some_and(|heard| since(heard) < TALKS);
      let linked = if balancer {
        links.has(*address)
      } else {
        recent
      };
      let unknown = peer.data_centre.is_none() && since(peer.since) < INTRODUCED;
      if !all && !near && !linked && !unknown && peer.told.is_some() {
        continue;
      }
      peer.told = Some(now);
      out.frame(*address, &frame, &[]);
    }
  }

  /// Tells one process of this one now.
  pub fn greet(&self, now: Instant, role: Role, to: SocketAddrV4, out: &mut Outbox) {
    out.frame(to, &Frame::Status(self.own_status(now, role)), &[]);
  }

  fn own_status(&self, now: Instant, role: Role) -> Status {
    let mut balancers = self.balancers(now);
    // Each status names others, so that after a few all are named.
    let turn = now.saturating_duration_since(self.started).as_millis() / 100;
    let first = turn as usize % balancers.len().max(1);
    balancers.rotate_left(first);
    balancers.truncate(NAMED_MAX);
    Status {
      balancers,
      complete: self.catalog.complete(),
      confirmed_ms: self.confirmed(now).map(|age| age.as_millis() as u32),
      data_centre: self.data_centre,
      incarnation: self.incarnation,
      link: self.link,
      role,
      stopping: self.stopping,
    }
  }

  /// Sends what came after a revision to all peers; where it is too large, a status tells them to
  /// ask for it.
  pub(super) fn push(&mut self, now: Instant, after: Revision, out: &mut Outbox) {
    let news = Frame::News(self.catalog.since(after));
    let mut size = Vec::new();
    news.encode(&mut size);
    let frame = if size.len() <= NEWS_MAX {
      news
    } else {
      Frame::Status(self.own_status(now, Role::Balancer))
    };
    let mut told = self.peers.keys().copied().collect::<BTreeSet<_>>();
    if !self.knows_all() {
      told.extend(self.listed_agents());
    }
    for address in told {
      out.frame(address, &frame, &[]);
    }
  }

  /// The agents of all listed targets: those that do not keep in touch are told too.
  fn listed_agents(&self) -> impl Iterator<Item = SocketAddrV4> {
    let listed = self.catalog.entries();
    let listed = listed.filter(|(_, entry)| entry.gone.is_none());
    listed.map(|(_, entry)| SocketAddrV4::new(*entry.target.address.ip(), self.address.port()))
  }
}
