use {
  crate::{
    Revision,
    datagram::{Flow, Frame, Outbox, Rate, frame::QUERY_MAX, service::Digest},
  },
  smallvec::SmallVec,
  std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// The shortest interval between datagrams of searches, for fast links.
const INTERVAL_MIN: Duration = Duration::from_micros(400);

/// The fraction of the link's rate that queries and tests may take.
const LINK_SHARE: f64 = 0.125;

/// The size of a query about one flow in bytes, with lower-layer headers.
const QUERY_BYTES: f64 = 64.0;

/// Digests of the services that a flow may belong to.
pub type Digests = SmallVec<[Digest; 2]>;

/// Queries about flows, batched by agent and sent at a bounded rate, so that they leave the link
/// free for answers. The more are pending, the more flows a datagram names.
#[derive(Debug)]
pub struct Queries {
  /// The interval between datagrams.
  interval: Duration,
  /// When the next datagram may be sent.
  next_send: Instant,
  /// The flows to query with what their callers last acknowledged, by agent and the services that
  /// they may belong to.
  pending: BTreeMap<(SocketAddrV4, Digests), Vec<(Flow, u32)>>,
}

impl Queries {
  /// No queries. The rate is derived from that of the link, if it is known.
  pub fn new(now: Instant, link: Option<Rate>) -> Self {
    let second = Duration::from_secs(1);
    let interval = link.map(|link| QUERY_BYTES / (link.bytes_in(second) * LINK_SHARE));
    let interval = interval.map(Duration::from_secs_f64).unwrap_or_default();
    Self {
      interval: interval.max(INTERVAL_MIN),
      next_send: now,
      pending: BTreeMap::new(),
    }
  }

  /// Adds a query to an agent about a flow whose caller last acknowledged `acknowledges`.
  pub fn add(
    &mut self,
    now: Instant,
    agent: SocketAddrV4,
    services: &Digests,
    flow: Flow,
    acknowledges: u32,
  ) {
    self.next_send = self.next_send.max(now);
    let flows = self.pending.entry((agent, services.clone())).or_default();
    if flows.last() != Some(&(flow, acknowledges)) {
      flows.push((flow, acknowledges));
    }
  }

  /// When the queries are to be sent; none if there are none.
  pub fn deadline(&self) -> Option<Instant> {
    (!self.pending.is_empty()).then_some(self.next_send)
  }

  /// Sends all queries if the rate allows; `synced` is the revision up to which this balancer
  /// knows the target list.
  pub fn send(&mut self, now: Instant, synced: Revision, out: &mut Outbox) {
    if self.deadline().is_none_or(|deadline| deadline > now) {
      return;
    }
    for ((agent, services), flows) in std::mem::take(&mut self.pending) {
      for flows in flows.chunks(QUERY_MAX) {
        self.charge(now);
        let flows = flows.to_vec();
        let frame = Frame::Query {
          synced,
          flows,
          services: services.to_vec(),
        };
        out.frame(agent, &frame, &[]);
      }
    }
  }

  /// Accounts for a datagram of a search.
  pub fn charge(&mut self, now: Instant) {
    self.next_send = self.next_send.max(now) + self.interval;
  }
}
