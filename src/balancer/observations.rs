use {
  crate::{id, membership::Member, routing::Loads},
  std::collections::HashMap,
};

/// A worker's observations of targets: their loads, and which of them frames were received from and
/// sent to since the last report.
#[derive(Debug, Default)]
pub struct Observations {
  observed: HashMap<Member, Observed>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Observed {
  heard: bool,
  load: u8,
  sent: bool,
}

impl Observations {
  /// Records a frame from a target and the load that it reports.
  pub fn note_heard(&mut self, member: Member, load: u8) {
    let observed = self.observed.entry(member).or_default();
    observed.heard = true;
    observed.load = load;
  }

  /// Records a frame that is sent to a target.
  pub fn note_sent(&mut self, member: Member) {
    self.observed.entry(member).or_default().sent = true;
  }

  /// Returns the targets that frames were received from, and those that frames were sent to, since
  /// the last call.
  pub fn take(&mut self) -> (Vec<Member>, Vec<Member>) {
    let mut heard = Vec::new();
    let mut sent = Vec::new();
    for (member, observed) in &mut self.observed {
      if std::mem::take(&mut observed.heard) {
        heard.push(*member);
      }
      if std::mem::take(&mut observed.sent) {
        sent.push(*member);
      }
    }
    (heard, sent)
  }

  /// Forgets the targets that `filter` rejects.
  pub fn retain(&mut self, filter: impl Fn(Member) -> bool) {
    self.observed.retain(|member, _| filter(*member));
  }
}

impl Loads for Observations {
  fn load(&self, service: id::Service, target: id::Target) -> u8 {
    self
      .observed
      .get(&(service, target))
      .map_or(0, |observed| observed.load)
  }
}
