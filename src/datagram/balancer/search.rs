use {
  crate::{Revision, datagram::service::Digest},
  smallvec::SmallVec,
  std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// How many packets of a flow are buffered: a caller's window.
const PACKETS_MAX: usize = 16;

/// The most times that agents which have not answered are queried again.
const RETRIES_MAX: u32 = 3;

type Agents = SmallVec<[SocketAddrV4; 12]>;

/// Agents with the services of their upstreams.
type AgentsOfServices = SmallVec<[(SocketAddrV4, Digest); 12]>;

/// A search for the agent that owns a flow.
#[derive(Clone, Debug)]
pub struct Search {
  /// What the caller last acknowledged.
  pub acknowledges: u32,
  /// When agents that have not answered are queried again.
  pub deadline: Instant,
  /// The agents that have denied the flow.
  pub denied: Agents,
  /// The agents that could not answer since the query did not name the services of their upstreams,
  /// with these services.
  pub foreign: AgentsOfServices,
  /// Whether agents of other data centres are queried too.
  pub is_wide: bool,
  /// The agents that counted as lost before they had answered.
  pub lost: Agents,
  /// The packets that have come during the search.
  packets: Vec<Vec<u8>>,
  /// The agents that have neither confirmed nor denied the flow.
  pub pending: Agents,
  /// The agents that were queried, and the one that had denied the flow before.
  pub queried: Agents,
  /// The revision up to which this balancer has to know the target list before denials of all
  /// agents prove the flow lost.
  pub required_revision: Revision,
  /// How many times agents that have not answered were queried again.
  retries: u32,
  /// When it began.
  pub started: Instant,
  /// The index of the buffered packet that agents were sent as a test.
  test_packet: Option<usize>,
  /// The agents that were sent the test.
  tested: Agents,
  /// The agents that were sent the test since they were last queried.
  testing: Agents,
  /// The agents that cannot answer without a test, with the services of their upstreams.
  unsure: AgentsOfServices,
}

impl Search {
  /// A new search; `except` has already denied the flow.
  pub fn new(now: Instant, acknowledges: u32, except: Option<SocketAddrV4>) -> Self {
    Self {
      acknowledges,
      deadline: now,
      denied: except.into_iter().collect(),
      foreign: AgentsOfServices::new(),
      is_wide: false,
      lost: Agents::new(),
      packets: Vec::new(),
      pending: Agents::new(),
      queried: except.into_iter().collect(),
      required_revision: Revision::default(),
      retries: 0,
      started: now,
      test_packet: None,
      tested: Agents::new(),
      testing: Agents::new(),
      unsure: AgentsOfServices::new(),
    }
  }

  /// Adds the agents that were not queried yet, and returns them.
  pub fn add_queried(&mut self, holders: impl Iterator<Item = SocketAddrV4>) -> Agents {
    let mut new = Agents::new();
    for holder in holders {
      // An agent may be named for several services.
      if !self.queried.contains(&holder) && !new.contains(&holder) {
        new.push(holder);
      }
    }
    self.queried.extend_from_slice(&new);
    self.pending.extend_from_slice(&new);
    new
  }

  /// Buffers a packet until the flow is found, if there is space. Returns the bytes added.
  pub fn buffer(&mut self, packet: &[u8]) -> usize {
    if self.packets.len() >= PACKETS_MAX {
      return 0;
    }
    self.packets.push(packet.to_vec());
    packet.len()
  }

  /// The size of all buffered packets.
  pub fn buffered_bytes(&self) -> usize {
    self.packets.iter().map(Vec::len).sum()
  }

  /// Schedules the next round of queries, after `first` times a power of two; false if no retry is
  /// left.
  pub fn schedule_retry(&mut self, now: Instant, first: Duration) -> bool {
    if self.retries >= RETRIES_MAX {
      return false;
    }
    self.retries += 1;
    self.testing.clear();
    self.deadline = now + first * 2_u32.pow(self.retries);
    true
  }

  /// Whether no agent was queried again yet.
  pub fn is_first_round(&self) -> bool {
    self.retries == 0
  }

  /// Records that an agent cannot answer without a test.
  pub fn mark_unsure(&mut self, agent: SocketAddrV4, service: Digest) {
    let known = self.unsure.iter().any(|(unsure, _)| *unsure == agent);
    if self.pending.contains(&agent) && !known {
      self.unsure.push((agent, service));
    }
  }

  /// Records that an agent denies the flow.
  pub fn record_denial(&mut self, agent: SocketAddrV4) {
    if self.pending.contains(&agent) {
      self.denied.push(agent);
    }
    self.retain_pending(|other| other != agent);
  }

  /// Records that an agent could not answer a query that did not name its upstream's `service`.
  pub fn record_foreign(&mut self, agent: SocketAddrV4, service: Digest) {
    if self.pending.contains(&agent) {
      self.foreign.push((agent, service));
    }
    self.retain_pending(|other| other != agent);
  }

  /// Waits again for the agents that could not answer, now that the flow may belong to one of
  /// `services`. Returns those whose upstreams are of these.
  pub fn retry_foreign(&mut self, services: &[Digest]) -> Agents {
    let is_named = |(_, service): &(SocketAddrV4, Digest)| services.contains(service);
    let named = self.foreign.iter().filter(|foreign| is_named(foreign));
    let named = named.map(|(agent, _)| *agent).collect::<Agents>();
    self.foreign.retain(|foreign| !is_named(foreign));
    self.pending.extend_from_slice(&named);
    named
  }

  /// Stops waiting for agents that are lost.
  pub fn record_lost(&mut self, is_lost: impl Fn(SocketAddrV4) -> bool) {
    let lost = self.pending.iter().filter(|agent| is_lost(**agent));
    self.lost.extend(lost.copied());
    self.retain_pending(|agent| !is_lost(agent));
  }

  /// Stops waiting for agents other than those `kept`.
  fn retain_pending(&mut self, kept: impl Fn(SocketAddrV4) -> bool) {
    self.pending.retain(|agent| kept(*agent));
    self.unsure.retain(|(agent, _)| kept(*agent));
    self.testing.retain(|agent| kept(*agent));
  }

  /// Whether an agent that may own the flow has not answered, including those not queried yet.
  pub fn has_unanswered(&self) -> bool {
    !self.is_wide || self.has_unanswered_queries()
  }

  /// Whether a queried agent has not answered.
  pub fn has_unanswered_queries(&self) -> bool {
    self.pending.len() > self.unsure.len()
  }

  /// Whether most of the agents of all data centres cannot answer without a test.
  pub fn is_majority_unsure(&self) -> bool {
    self.is_wide && 2 * self.unsure.len() > self.queried.len()
  }

  /// The agents to be sent a test, with the services of their upstreams.
  pub fn to_test(&self) -> AgentsOfServices {
    if self.testing.len() == self.unsure.len() {
      return AgentsOfServices::new();
    }
    let unsure = self.unsure.iter().copied();
    unsure
      .filter(|(agent, _)| !self.testing.contains(agent))
      .collect()
  }

  /// Records that agents are sent a test. Returns the packet for it, which is the smallest unless
  /// one was sent before; none if no packet is buffered.
  pub fn start_test(&mut self, agents: &[(SocketAddrV4, Digest)]) -> Option<&[u8]> {
    for (agent, _) in agents {
      self.testing.push(*agent);
      if !self.tested.contains(agent) {
        self.tested.push(*agent);
      }
    }
    let sizes = self.packets.iter().enumerate();
    let smallest = || sizes.min_by_key(|(_, packet)| packet.len());
    let index = self
      .test_packet
      .or_else(|| smallest().map(|(index, _)| index));
    self.test_packet = index;
    Some(&self.packets[index?])
  }

  /// Discards what the previous incarnation of a restarted agent has answered.
  pub fn test_again(&mut self, agent: SocketAddrV4) {
    self.testing.retain(|testing| *testing != agent);
    self.unsure.retain(|(unsure, _)| *unsure != agent);
  }

  /// The buffered packets except the one, if any, that the agent was sent as a test.
  pub fn packets_for(&self, agent: SocketAddrV4) -> impl Iterator<Item = &[u8]> {
    let sent = self.test_packet.filter(|_| self.tested.contains(&agent));
    let packets = self.packets.iter().enumerate();
    packets
      .filter(move |(index, _)| Some(*index) != sent)
      .map(|(_, packet)| packet.as_slice())
  }
}
