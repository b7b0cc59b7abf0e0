use std::{
  collections::{BTreeMap, BTreeSet},
  net::SocketAddrV4,
  time::{Duration, Instant},
};

/// The time after which the request is sent again to a peer that has not answered; shorter than the
/// interval of statuses.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// The longest time between two parts of an answer.
const PARTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Up to this many peers, all must answer; of more, at least this many.
const FEW_PEERS: usize = 8;

/// How long the answers of more than `FEW_PEERS` are waited for; longer than two intervals of
/// statuses.
const ANSWERS_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a process counts as starting: the time that other processes which lost power with it
/// may take to restart.
const STARTING: Duration = Duration::from_secs(10);

/// A peer's answer to a request for its history.
#[derive(Clone, Debug)]
struct Answer {
  /// Whether all parts have come.
  is_finished: bool,
  /// When the newest part came, and the numbers of all that have come.
  parts: Option<(Instant, BTreeSet<u16>)>,
  requested: Instant,
}

/// Whether a balancer knows which targets were removed from the target list before it started. Such
/// a target may still run and own flows. Until peers have sent their history, a flow that all known
/// agents deny is not proved to be lost.
#[derive(Debug)]
pub struct History {
  answers: BTreeMap<SocketAddrV4, Answer>,
  known: bool,
  started: Instant,
}

impl History {
  /// The history of a process that has just started. It is known to be empty on the `first_start`
  /// of the whole system.
  pub fn new(now: Instant, first_start: bool) -> Self {
    Self {
      answers: BTreeMap::new(),
      known: first_start,
      started: now,
    }
  }

  /// Whether a peer is due to be sent a request for its history, which then counts as sent.
  pub fn take_due(&mut self, now: Instant, peer: SocketAddrV4) -> bool {
    if self.known {
      return false;
    }
    let request = Answer {
      is_finished: false,
      parts: None,
      requested: now,
    };
    let Some(answer) = self.answers.get_mut(&peer) else {
      self.answers.insert(peer, request);
      return true;
    };
    let due =
      !answer.is_finished && now.saturating_duration_since(answer.requested) >= RETRY_INTERVAL;
    if due {
      answer.requested = now;
    }
    due
  }

  /// Whether all targets are known that were removed within the lifetime of a flow.
  pub fn is_known(&self) -> bool {
    self.known
  }

  /// Whether enough of `peers` have sent their history: all of a few; half of many, or any number
  /// after a timeout. If all processes have lost their history at once, waiting for the last of
  /// many peers takes longer than callers wait.
  pub fn is_complete(&self, now: Instant, peers: impl Iterator<Item = SocketAddrV4>) -> bool {
    if self.known {
      return true;
    }
    let (mut total, mut answered) = (0, 0);
    for peer in peers {
      total += 1;
      answered += usize::from(
        self
          .answers
          .get(&peer)
          .is_some_and(|answer| answer.is_finished),
      );
    }
    let is_majority = answered >= FEW_PEERS && 2 * answered >= total;
    let is_late = now.saturating_duration_since(self.started) >= ANSWERS_TIMEOUT;
    answered == total || is_majority || (is_late && total > FEW_PEERS)
  }

  /// Whether the process has started recently.
  pub fn is_starting(&self, now: Instant) -> bool {
    now.saturating_duration_since(self.started) < STARTING
  }

  /// Adds one of the `parts` of a peer's answer; `known` if the peer itself knows the whole
  /// history.
  pub fn add_part(&mut self, now: Instant, peer: SocketAddrV4, part: u16, parts: u16, known: bool) {
    let Some(answer) = self.answers.get_mut(&peer) else {
      return;
    };
    let is_old = |at: Instant| now.saturating_duration_since(at) >= PARTS_TIMEOUT;
    let before = answer.parts.take().filter(|(at, _)| !is_old(*at));
    let (_, mut received) = before.unwrap_or((now, BTreeSet::new()));
    received.insert(part);
    answer.is_finished |= received.len() >= usize::from(parts);
    answer.parts = Some((now, received));
    self.known |= known && answer.is_finished;
  }

  /// Marks the history as known once the process has run for longer than a flow lives.
  pub fn expire(&mut self, now: Instant, life: Duration) {
    self.known |= now.saturating_duration_since(self.started) >= life;
    if self.known {
      self.answers.clear();
    }
  }
}
