use {
  super::{Flow, Frame, Outbox},
  serde::{Deserialize, Serialize},
  std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// The most flows in one frame: it fits in a datagram of 1,500 bytes.
const FLOWS_MAX: usize = 56;

/// The most parts that are accepted: enough for all flows of a target.
const PARTS_MAX: u16 = 2048;

/// How long after one part the next may arrive. Parts are sent together, so a later one belongs to
/// another incarnation.
const PART_GAP_MAX: Duration = Duration::from_secs(1);

/// How long a handover counts as complete. An agent restarts gracefully within two seconds; later
/// there may have been another incarnation in between, whose handover didn't arrive.
const COMPLETE_FOR: Duration = Duration::from_secs(5);

/// One flow of an agent that is stopping.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FlowRecord {
  /// The flow.
  pub flow: Flow,
  /// Whether the opening is complete; otherwise the caller's next packet may complete it.
  pub open: bool,
  /// The sequence number of the upstream's answer to the opening packet, if known.
  pub sequence: Option<u32>,
}

/// The flow table of an agent that is stopping. It is sent to balancers, which forward it to the
/// agent's next incarnation, in parts that may be lost.
#[derive(Clone, Debug, Default)]
pub struct Handover {
  /// When the latest part arrived; none at the sender.
  at: Option<Instant>,
  parts: BTreeMap<u16, Vec<FlowRecord>>,
  total: u16,
}

impl Handover {
  /// The handover of all flows of an agent.
  pub fn new(mut flows: Vec<FlowRecord>) -> Self {
    // Sorted, so that a simulation is reproducible.
    flows.sort_unstable();
    let mut parts = flows
      .chunks(FLOWS_MAX)
      .map(<[FlowRecord]>::to_vec)
      .collect::<Vec<_>>();
    // An empty table is sent too: the next incarnation then need not test flows at its upstream.
    if parts.is_empty() {
      parts.push(Vec::new());
    }
    let total = u16::try_from(parts.len()).unwrap_or(0);
    Self {
      at: None,
      parts: (0..total).zip(parts).collect(),
      total,
    }
  }

  /// Adds a part; true once all have arrived.
  pub fn add_part(&mut self, now: Instant, part: u16, total: u16, flows: Vec<FlowRecord>) -> bool {
    if total == 0 || total > PARTS_MAX || part >= total {
      return false;
    }
    let is_late = |at: Instant| now.saturating_duration_since(at) >= PART_GAP_MAX;
    if self.total != total || self.at.is_some_and(is_late) {
      self.parts.clear();
      self.total = total;
    }
    self.at = Some(now);
    self.parts.insert(part, flows);
    self.is_complete()
  }

  /// The time since the latest part arrived.
  pub fn age(&self, now: Instant) -> Duration {
    let age = |at| now.saturating_duration_since(at);
    self.at.map(age).unwrap_or_default()
  }

  /// Whether all parts have arrived, recently enough that they are of the previous incarnation.
  pub fn is_complete_at(&self, now: Instant) -> bool {
    self.is_complete() && self.age(now) < COMPLETE_FOR
  }

  /// Sends a process the parts that are here, marked as the whole table if `whole` is set and all
  /// parts are here.
  pub fn send(&self, now: Instant, whole: bool, to: SocketAddrV4, out: &mut Outbox) {
    let whole = whole && self.is_complete_at(now);
    for (part, flows) in &self.parts {
      let frame = Frame::Handover {
        flows: flows.clone(),
        part: *part,
        parts: if whole { self.total } else { 0 },
      };
      out.frame(to, &frame, &[]);
    }
  }

  fn is_complete(&self) -> bool {
    self.total > 0 && self.parts.len() == usize::from(self.total)
  }
}
