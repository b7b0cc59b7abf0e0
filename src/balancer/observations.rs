use {
  crate::{id, membership::Member, routing::Loads},
  std::collections::HashMap,
};

/// What a worker saw of the targets: their loads, and who was heard of and sent to since the last
/// report.
#[derive(Debug, Default)]
pub struct Observations {
  seen: HashMap<Member, Seen>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
  heard: bool,
  load: u8,
  sent: bool,
}

impl Observations {
  /// A frame came from a target, which says how busy it is.
  pub fn heard(&mut self, member: Member, load: u8) {
    let seen = self.seen.entry(member).or_default();
    seen.heard = true;
    seen.load = load;
  }

  /// A frame went to a target.
  pub fn sent(&mut self, member: Member) {
    self.seen.entry(member).or_default().sent = true;
  }

  /// Who was heard of and sent to since this was asked last.
  pub fn take(&mut self) -> (Vec<Member>, Vec<Member>) {
    let mut heard = Vec::new();
    let mut sent = Vec::new();
    for (member, seen) in &mut self.seen {
      if std::mem::take(&mut seen.heard) {
        heard.push(*member);
      }
      if std::mem::take(&mut seen.sent) {
        sent.push(*member);
      }
    }
    (heard, sent)
  }

  /// Forgets the targets that do not fit.
  pub fn retain(&mut self, fits: impl Fn(Member) -> bool) {
    self.seen.retain(|member, _| fits(*member));
  }
}

impl Loads for Observations {
  fn load(&self, service: id::Service, target: id::Target) -> u8 {
    self
      .seen
      .get(&(service, target))
      .map_or(0, |seen| seen.load)
  }
}
