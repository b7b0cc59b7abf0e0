use {
  super::{Flow, Frame, Outbox},
  std::{collections::BTreeMap, net::SocketAddrV4},
};

/// How many flows one frame names: it fits a common datagram.
const FLOWS_MAX: usize = 64;

/// The most parts that are collected: flows for all that a target may hold.
const PARTS_MAX: u16 = 2048;

/// The flows of an agent that stops, as it tells them to balancers, who tell them to its next run.
/// It arrives in parts, of which some may be lost.
#[derive(Clone, Debug, Default)]
pub struct Handover {
  parts: BTreeMap<u16, Vec<Flow>>,
  total: u16,
}

impl Handover {
  /// Takes a part; true when all are there.
  pub fn take(&mut self, part: u16, total: u16, flows: Vec<Flow>) -> bool {
    if total == 0 || total > PARTS_MAX || part >= total {
      return false;
    }
    if self.total != total {
      self.parts.clear();
      self.total = total;
    }
    self.parts.insert(part, flows);
    self.is_whole()
  }

  /// Whether all parts are there.
  pub fn is_whole(&self) -> bool {
    self.total > 0 && self.parts.len() == usize::from(self.total)
  }

  /// Sends all flows that are there to a process.
  pub fn send(&self, to: SocketAddrV4, out: &mut Outbox) {
    let whole = self.is_whole();
    for (part, flows) in &self.parts {
      let frame = Frame::Held {
        flows: flows.clone(),
        part: *part,
        parts: if whole { self.total } else { 0 },
      };
      out.frame(to, &frame, &[]);
    }
  }
}

impl FromIterator<Flow> for Handover {
  fn from_iter<T: IntoIterator<Item = Flow>>(flows: T) -> Self {
    let mut flows = flows.into_iter().collect::<Vec<_>>();
    // In one order, so that a run can be played again.
    flows.sort_unstable();
    let mut parts = flows
      .chunks(FLOWS_MAX)
      .map(<[Flow]>::to_vec)
      .collect::<Vec<_>>();
    // No flows are news too: the next run needs to ask its upstream about none.
    if parts.is_empty() {
      parts.push(Vec::new());
    }
    let total = u16::try_from(parts.len()).unwrap_or(0);
    Self {
      parts: (0..total).zip(parts).collect(),
      total,
    }
  }
}
