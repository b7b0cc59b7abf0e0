use std::{
  collections::{BTreeMap, BTreeSet},
  net::SocketAddrV4,
  time::{Duration, Instant},
};

/// How often a balancer is asked that has not answered: a few times before its next word of itself.
const AGAIN: Duration = Duration::from_millis(150);

/// How long an answer may be on its way in parts.
const TOGETHER: Duration = Duration::from_secs(1);

/// What a balancer has heard of a peer's memory.
#[derive(Clone, Debug)]
struct Answer {
  asked: Instant,
  /// When the newest part came, and all parts that did.
  parts: Option<(Instant, BTreeSet<u16>)>,
  /// Whether the peer has said all that it remembers.
  whole: bool,
}

/// Whether a balancer knows which targets left the list before it started. The platform names only
/// those that are listed, and one that is not may live and have flows: until its peers have told,
/// the no of all that are known is no proof that a flow is nowhere.
#[derive(Debug)]
pub struct History {
  answers: BTreeMap<SocketAddrV4, Answer>,
  known: bool,
  started: Instant,
}

impl History {
  /// The history of a process that has just started; nothing was before the system's `first_start`.
  pub fn new(now: Instant, first_start: bool) -> Self {
    Self {
      answers: BTreeMap::new(),
      known: first_start,
      started: now,
    }
  }

  /// Whether a balancer is to be asked now for what it remembers.
  pub fn asks(&mut self, now: Instant, peer: SocketAddrV4) -> bool {
    if self.known {
      return false;
    }
    let asked = Answer {
      asked: now,
      parts: None,
      whole: false,
    };
    let Some(answer) = self.answers.get_mut(&peer) else {
      self.answers.insert(peer, asked);
      return true;
    };
    let due = !answer.whole && now.saturating_duration_since(answer.asked) >= AGAIN;
    if due {
      answer.asked = now;
    }
    due
  }

  /// Whether all is known that left the list in the lifetime of the flows.
  pub fn is_known(&self) -> bool {
    self.known
  }

  /// Whether nobody is left to ask: all of `peers` have said what they remember.
  pub fn is_told(&self, mut peers: impl Iterator<Item = SocketAddrV4>) -> bool {
    let whole = |peer| self.answers.get(&peer).is_some_and(|answer| answer.whole);
    self.known || peers.all(whole)
  }

  /// A balancer answers, in parts; `known` where it knows all that left the list.
  pub fn take(&mut self, now: Instant, peer: SocketAddrV4, part: u16, parts: u16, known: bool) {
    let Some(answer) = self.answers.get_mut(&peer) else {
      return;
    };
    let old = |at: Instant| now.saturating_duration_since(at) >= TOGETHER;
    let before = answer.parts.take().filter(|(at, _)| !old(*at));
    let (_, mut taken) = before.unwrap_or((now, BTreeSet::new()));
    taken.insert(part);
    answer.whole |= taken.len() >= usize::from(parts);
    answer.parts = Some((now, taken));
    self.known |= known && answer.whole;
  }

  /// Time passes: what left the list before the oldest flow began no longer counts.
  pub fn expire(&mut self, now: Instant, life: Duration) {
    self.known |= now.saturating_duration_since(self.started) >= life;
    if self.known {
      self.answers.clear();
    }
  }
}
