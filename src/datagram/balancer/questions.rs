use {
  crate::{
    Revision,
    datagram::{Flow, Frame, Outbox, Rate, frame::ASKED_MAX, service::Digest},
  },
  smallvec::SmallVec,
  std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// The least time that each question and each packet to try takes of the budget: 2,500 a second, an
/// eighth of a link of 10 Mbit/s.
const EACH: Duration = Duration::from_micros(400);

/// The part of a link that they may take, whatever it carries.
const PART: f64 = 0.125;

/// The bytes of a question about one flow, with the network's own head.
const SIZE: f64 = 64.0;

/// The services that may have a flow.
pub type Digests = SmallVec<[Digest; 2]>;

/// Questions about flows that wait to be sent. The more there are, the more flows each names: they
/// leave at a bounded rate, so that searching never fills the link that the answers need.
#[derive(Debug)]
pub struct Questions {
  /// When the budget allows the next ones.
  allowed: Instant,
  /// The time that each takes.
  each: Duration,
  /// By the agent and the services that may have the flows.
  pending: BTreeMap<(SocketAddrV4, Digests), Vec<(Flow, u32)>>,
}

impl Questions {
  /// No questions over a link, where its rate is known.
  pub fn new(now: Instant, link: Option<Rate>) -> Self {
    let second = Duration::from_secs(1);
    let each = link.map(|link| SIZE / (link.bytes_in(second) * PART));
    let each = each.map(Duration::from_secs_f64).unwrap_or_default();
    Self {
      allowed: now,
      each: each.max(EACH),
      pending: BTreeMap::new(),
    }
  }

  /// Adds a question to an agent about a flow whose caller last acknowledged `acknowledges`.
  pub fn add(
    &mut self,
    now: Instant,
    agent: SocketAddrV4,
    services: &Digests,
    flow: Flow,
    acknowledges: u32,
  ) {
    self.allowed = self.allowed.max(now);
    let flows = self.pending.entry((agent, services.clone())).or_default();
    if flows.last() != Some(&(flow, acknowledges)) {
      flows.push((flow, acknowledges));
    }
  }

  /// When they are to be sent; none where there are none.
  pub fn deadline(&self) -> Option<Instant> {
    (!self.pending.is_empty()).then_some(self.allowed)
  }

  /// Sends all, if the budget allows it; `complete` is the revision up to which the list is known.
  pub fn send(&mut self, now: Instant, complete: Revision, out: &mut Outbox) {
    if self.deadline().is_none_or(|deadline| deadline > now) {
      return;
    }
    for ((agent, services), flows) in std::mem::take(&mut self.pending) {
      for flows in flows.chunks(ASKED_MAX) {
        self.spend(now);
        let flows = flows.to_vec();
        let frame = Frame::Ask {
          complete,
          flows,
          services: services.to_vec(),
        };
        out.frame(agent, &frame, &[]);
      }
    }
  }

  /// A datagram more was sent for a search.
  pub fn spend(&mut self, now: Instant) {
    self.allowed = self.allowed.max(now) + self.each;
  }
}
