use {
  crate::{Revision, datagram::service::Digest},
  smallvec::SmallVec,
  std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// How many packets of a flow are held: as many as an end keeps under way.
const HELD_MAX: usize = 16;

/// How often those are asked again that are silent.
const AGAIN_MAX: u32 = 3;

/// Agents.
type Agents = SmallVec<[SocketAddrV4; 12]>;

/// Agents, with the services of their upstreams.
type Serving = SmallVec<[(SocketAddrV4, Digest); 12]>;

/// A flow that is being looked for.
#[derive(Clone, Debug)]
pub struct Search {
  /// What the caller last acknowledged.
  pub acknowledges: u32,
  /// How often the silent ones were asked again.
  again: u32,
  /// Who was asked, and who had said no before that.
  pub asked: Agents,
  /// When it began.
  pub began: Instant,
  /// When those that are silent are asked again.
  pub deadline: Instant,
  /// The packets that came meanwhile.
  held: Vec<Vec<u8>>,
  /// The list has to be known up to here for the no of all to be proof.
  pub needs: Revision,
  /// Which of the held packets agents were given to try.
  probe: Option<usize>,
  /// Who was given it.
  tried: Agents,
  /// Who of them was given it since the last question.
  trying: Agents,
  /// Who of them could not say, and the service of its upstream.
  unsure: Serving,
  /// Who has not said yes or no.
  pub waiting: Agents,
  /// Whether those of other data centres are asked too.
  pub wide: bool,
}

impl Search {
  /// A search that begins; `except` has said no already.
  pub fn new(now: Instant, acknowledges: u32, except: Option<SocketAddrV4>) -> Self {
    Self {
      acknowledges,
      again: 0,
      asked: except.into_iter().collect(),
      began: now,
      deadline: now,
      held: Vec::new(),
      needs: Revision::default(),
      probe: None,
      tried: Agents::new(),
      trying: Agents::new(),
      unsure: Serving::new(),
      waiting: Agents::new(),
      wide: false,
    }
  }

  /// Adds whoever was not asked yet, and returns them.
  pub fn extend(&mut self, holders: impl Iterator<Item = SocketAddrV4>) -> Agents {
    let new = holders.filter(|holder| !self.asked.contains(holder));
    let new = new.collect::<Agents>();
    self.asked.extend_from_slice(&new);
    self.waiting.extend_from_slice(&new);
    new
  }

  /// Keeps a packet until the flow is found; returns the bytes that it takes.
  pub fn hold(&mut self, packet: &[u8]) -> usize {
    if self.held.len() >= HELD_MAX {
      return 0;
    }
    self.held.push(packet.to_vec());
    packet.len()
  }

  /// The bytes that are held.
  pub fn bytes(&self) -> usize {
    self.held.iter().map(Vec::len).sum()
  }

  /// Sets the next deadline; false when all was tried.
  pub fn ask_again(&mut self, now: Instant, first: Duration) -> bool {
    if self.again >= AGAIN_MAX {
      return false;
    }
    self.again += 1;
    self.trying.clear();
    self.deadline = now + first * 2_u32.pow(self.again);
    true
  }

  /// Whether silent ones were asked again.
  pub fn is_first(&self) -> bool {
    self.again == 0
  }

  /// An agent cannot say whether it has the flow without a packet of it to try.
  pub fn is_unsure(&mut self, agent: SocketAddrV4, service: Digest) {
    let known = self.unsure.iter().any(|(unsure, _)| *unsure == agent);
    if self.waiting.contains(&agent) && !known {
      self.unsure.push((agent, service));
    }
  }

  /// An agent does not have the flow.
  pub fn said_no(&mut self, agent: SocketAddrV4) {
    self.keep(|other| other != agent);
  }

  /// Waits only for those agents.
  pub fn keep(&mut self, kept: impl Fn(SocketAddrV4) -> bool) {
    self.waiting.retain(|agent| kept(*agent));
    self.unsure.retain(|(agent, _)| kept(*agent));
    self.trying.retain(|agent| kept(*agent));
  }

  /// Whether some that may have the flow have not said anything.
  pub fn has_silent(&self) -> bool {
    !self.wide || self.has_silent_asked()
  }

  /// Whether some of those that were asked have not said anything.
  pub fn has_silent_asked(&self) -> bool {
    self.waiting.len() > self.unsure.len()
  }

  /// Whether most of those that were asked cannot say.
  pub fn is_mostly_unsure(&self) -> bool {
    self.wide && 2 * self.unsure.len() > self.asked.len()
  }

  /// Who may be given a packet to try, and the services of their upstreams.
  pub fn to_try(&self) -> Serving {
    if self.trying.len() == self.unsure.len() {
      return Serving::new();
    }
    let unsure = self.unsure.iter().copied();
    unsure
      .filter(|(agent, _)| !self.trying.contains(agent))
      .collect()
  }

  /// The packet that tells agents whether their upstreams have the flow: the smallest.
  pub fn probe(&mut self, agents: &[(SocketAddrV4, Digest)]) -> Option<&[u8]> {
    for (agent, _) in agents {
      self.trying.push(*agent);
      if !self.tried.contains(agent) {
        self.tried.push(*agent);
      }
    }
    let sizes = self.held.iter().enumerate();
    let smallest = || sizes.min_by_key(|(_, packet)| packet.len());
    let index = self.probe.or_else(|| smallest().map(|(index, _)| index));
    self.probe = index;
    Some(&self.held[index?])
  }

  /// An agent has started again: what its run before said no longer counts.
  pub fn try_again(&mut self, agent: SocketAddrV4) {
    self.trying.retain(|trying| *trying != agent);
    self.unsure.retain(|(unsure, _)| *unsure != agent);
  }

  /// The held packets that an agent has not been given.
  pub fn packets_for(&self, agent: SocketAddrV4) -> impl Iterator<Item = &[u8]> {
    let given = self.probe.filter(|_| self.tried.contains(&agent));
    let held = self.held.iter().enumerate();
    held
      .filter(move |(index, _)| Some(*index) != given)
      .map(|(_, packet)| packet.as_slice())
  }
}
