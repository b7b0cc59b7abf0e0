use {
  crate::Revision,
  std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// The time after which the request is sent again to a process that has not answered; shorter than
/// the interval of statuses.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// The longest time between two parts of an answer.
const PARTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Up to this many balancers, all must answer; of more, at least this many.
const FEW_PEERS: usize = 8;

/// How long the answers of more than `FEW_PEERS` balancers, and those of agents, are waited for;
/// longer than two intervals of statuses.
const ANSWERS_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a process counts as starting: the time that other processes which lost power with it
/// may take to restart.
const STARTING: Duration = Duration::from_secs(10);

/// The answer of another process to a request for its history.
#[derive(Clone, Debug)]
struct Answer {
  /// Whether all parts have come.
  is_finished: bool,
  /// Whether the process does not know all flows of its upstream.
  lacks_flows: bool,
  /// When the newest part came, and the numbers of all that have come.
  parts: Option<(Instant, BTreeSet<u16>)>,
  requested: Instant,
}

/// Whether a process knows all changes within a flow's lifetime: which targets were removed from the
/// target list, and which services addresses were routed to. It does not after its start, nor after
/// it has missed changes, until a process that does has sent its history. Meanwhile a flow that all
/// known agents deny is not proved to be lost.
#[derive(Debug)]
pub struct History {
  answers: BTreeMap<SocketAddrV4, Answer>,
  is_known: bool,
  /// The changes up to this revision were not all received here; none before the first update.
  missed_to: Option<Revision>,
  /// When the process started or last missed changes.
  since: Instant,
  started: Instant,
}

/// A part of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Part {
  /// The number of the part.
  pub number: u16,
  /// The number of parts.
  pub count: u16,
  /// Whether the sender knows all flows of its upstream.
  pub flows_known: bool,
  /// Whether the sender knows all changes within a flow's lifetime.
  pub is_known: bool,
  /// The revision up to which it knows them.
  pub synced: Revision,
}

impl History {
  /// The history of a process that has just started. It is known to be empty on the `first_start`
  /// of the whole system.
  pub fn new(now: Instant, first_start: bool) -> Self {
    Self {
      answers: BTreeMap::new(),
      is_known: first_start,
      missed_to: first_start.then(Revision::default),
      since: now,
      started: now,
    }
  }

  /// Records that changes up to a revision were missed. The first update does not miss any on the
  /// first start of the whole system.
  pub fn record_gap(&mut self, now: Instant, is_first: bool, to: Revision) {
    if is_first && self.missed_to.is_some() {
      return;
    }
    self.answers.clear();
    self.is_known = false;
    self.missed_to = Some(to);
    self.since = now;
  }

  /// Whether a process is due to be sent a request for its history, which then counts as sent. At
  /// most `limit` requests are unanswered at a time. Before the first update none is due: an answer
  /// does not tell what was missed between it and the update.
  pub fn take_due(&mut self, now: Instant, peer: SocketAddrV4, limit: usize) -> bool {
    if self.is_known || self.missed_to.is_none() {
      return false;
    }
    let is_open = |answer: &Answer| {
      !answer.is_finished && now.saturating_duration_since(answer.requested) < RETRY_INTERVAL
    };
    let answer = self.answers.get(&peer);
    if answer.is_some_and(|answer| answer.is_finished || is_open(answer)) {
      return false;
    }
    if self
      .answers
      .values()
      .filter(|answer| is_open(answer))
      .count()
      >= limit
    {
      return false;
    }
    let parts = answer.and_then(|answer| answer.parts.clone());
    let request = Answer {
      is_finished: false,
      lacks_flows: false,
      parts,
      requested: now,
    };
    self.answers.insert(peer, request);
    true
  }

  /// Whether all changes within the lifetime of a flow are known.
  pub fn is_known(&self) -> bool {
    self.is_known
  }

  /// Whether a process has answered.
  pub fn has_answered(&self, peer: SocketAddrV4) -> bool {
    let answer = self.answers.get(&peer);
    answer.is_some_and(|answer| answer.is_finished)
  }

  /// Whether a process has answered that it does not know all flows of its upstream.
  pub fn lacks_flows(&self, peer: SocketAddrV4) -> bool {
    let answer = self.answers.get(&peer);
    answer.is_some_and(|answer| answer.lacks_flows)
  }

  /// Whether enough of `balancers` have sent their history: all of a few; half of many, or any number
  /// after a timeout. If all processes have lost their history at once, waiting for the last of
  /// many balancers takes longer than callers wait.
  pub fn have_answered(&self, now: Instant, balancers: impl Iterator<Item = SocketAddrV4>) -> bool {
    let (mut total, mut answered) = (0, 0);
    for balancer in balancers {
      total += 1;
      answered += usize::from(self.has_answered(balancer));
    }
    let is_majority = answered >= FEW_PEERS && 2 * answered >= total;
    answered == total || is_majority || (self.is_late(now) && total > FEW_PEERS)
  }

  /// Whether answers are no longer waited for.
  pub fn is_late(&self, now: Instant) -> bool {
    now.saturating_duration_since(self.since) >= ANSWERS_TIMEOUT
  }

  /// Whether the process has started recently.
  pub fn is_starting(&self, now: Instant) -> bool {
    now.saturating_duration_since(self.started) < STARTING
  }

  /// Adds a part of the answer of another process. One that has not received all changes that were
  /// missed here has to answer again.
  pub fn add_part(&mut self, now: Instant, peer: SocketAddrV4, part: Part) {
    let Some(answer) = self.answers.get_mut(&peer) else {
      return;
    };
    let is_old = |at: Instant| now.saturating_duration_since(at) >= PARTS_TIMEOUT;
    let before = answer.parts.take().filter(|(at, _)| !is_old(*at));
    let (_, mut received) = before.unwrap_or((now, BTreeSet::new()));
    received.insert(part.number);
    let is_complete = received.len() >= usize::from(part.count);
    if is_complete && Some(part.synced) < self.missed_to {
      return;
    }
    answer.parts = Some((now, received));
    if is_complete {
      answer.is_finished = true;
      answer.lacks_flows = !part.flows_known;
      self.is_known |= part.is_known;
    }
  }

  /// Marks the history as known once the process has missed nothing for longer than a flow lives.
  pub fn expire(&mut self, now: Instant, life: Duration) {
    self.is_known |= now.saturating_duration_since(self.since) >= life;
    if self.is_known {
      self.answers.clear();
    }
  }
}
