use {
  super::{Flow, Frame, Outbox},
  serde::{Deserialize, Serialize},
  std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// How many flows one frame names: it fits a common datagram.
const FLOWS_MAX: usize = 56;

/// The most parts that are collected: flows for all that a target may hold.
const PARTS_MAX: u16 = 2048;

/// How long after the first part the others may come: they leave together, and an older part is of
/// an earlier run's list.
const TOGETHER: Duration = Duration::from_secs(1);

/// How long a list counts as whole: an agent that stops as planned is started again within two
/// seconds. Later a run between, whose list did not come here, may have had more flows.
const WHOLE: Duration = Duration::from_secs(5);

/// A flow of an agent that stops.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Passed {
  /// The flow.
  pub flow: Flow,
  /// Whether its caller has opened it; the next packet may do so else.
  pub open: bool,
  /// The sequence number of the upstream's answer to its opening packet, where that is known.
  pub sequence: Option<u32>,
}

/// The flows of an agent that stops, as it tells them to balancers with its last word, who tell
/// them to its next run. It arrives in parts, of which some may be lost.
#[derive(Clone, Debug, Default)]
pub struct Handover {
  /// When the newest part came.
  at: Option<Instant>,
  parts: BTreeMap<u16, Vec<Passed>>,
  total: u16,
}

impl Handover {
  /// All flows of an agent.
  pub fn new(mut flows: Vec<Passed>) -> Self {
    // In one order, so that a run can be played again.
    flows.sort_unstable();
    let mut parts = flows
      .chunks(FLOWS_MAX)
      .map(<[Passed]>::to_vec)
      .collect::<Vec<_>>();
    // No flows are news too: the next run needs to ask its upstream about none.
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

  /// Takes a part; true when all are there.
  pub fn take(&mut self, now: Instant, part: u16, total: u16, flows: Vec<Passed>) -> bool {
    if total == 0 || total > PARTS_MAX || part >= total {
      return false;
    }
    let earlier = |at: Instant| now.saturating_duration_since(at) >= TOGETHER;
    if self.total != total || self.at.is_some_and(earlier) {
      self.parts.clear();
      self.total = total;
    }
    self.at = Some(now);
    self.parts.insert(part, flows);
    self.is_whole()
  }

  /// How long ago its newest part came.
  pub fn age(&self, now: Instant) -> Duration {
    let age = |at| now.saturating_duration_since(at);
    self.at.map(age).unwrap_or_default()
  }

  /// Whether all parts are there, and the run that names them was the last one.
  pub fn is_whole_at(&self, now: Instant) -> bool {
    self.is_whole() && self.age(now) < WHOLE
  }

  /// Sends all flows that are there to a process; as a whole list only where it is one.
  pub fn send(&self, now: Instant, whole: bool, to: SocketAddrV4, out: &mut Outbox) {
    let whole = whole && self.is_whole_at(now);
    for (part, flows) in &self.parts {
      let frame = Frame::Handover {
        flows: flows.clone(),
        part: *part,
        parts: if whole { self.total } else { 0 },
      };
      out.frame(to, &frame, &[]);
    }
  }

  fn is_whole(&self) -> bool {
    self.total > 0 && self.parts.len() == usize::from(self.total)
  }
}
