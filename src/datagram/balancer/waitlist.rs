use {
  super::{
    drain::Drain,
    patience::Patience,
    queue::{FIRST_FLOW, Queued},
    reason::Reason,
    supply::Supply,
  },
  crate::fair,
  std::{
    collections::{BTreeSet, HashMap},
    net::Ipv4Addr,
    time::{Duration, Instant},
  },
};

/// A flow that arrives at the queue.
#[derive(Clone, Copy, Debug)]
pub struct Newcomer {
  /// The time within which its request is to be answered, counted from its start.
  pub objective: Duration,
  /// When its caller started, and the flow.
  pub queued: Queued,
}

impl Newcomer {
  /// When its request is to be answered. No objective extends beyond the patience: a later answer
  /// does not reach the caller.
  fn deadline(&self, patience: Patience) -> Instant {
    self.queued.0 + self.objective.min(patience.total)
  }
}

/// What is kept for a flow that waits.
#[derive(Clone, Copy, Debug)]
struct Entry {
  /// When its request is to be answered.
  deadline: Instant,
  is_late: bool,
  /// Its level in the fair queue.
  level: usize,
}

/// The flows of one class that wait.
#[derive(Debug)]
pub struct Waitlist {
  /// The placements of the class.
  pub drain: Drain,
  entries: HashMap<Queued, Entry>,
  /// When a flow last was too late for its objective, was rejected or displaced, or expired.
  excess: Option<Instant>,
  /// All flows, by when their callers started.
  flows: fair::Queue<Ipv4Addr, Queued>,
  /// The flows that are too late for their objective, in the order of the fair queue.
  late: BTreeSet<(usize, Queued)>,
  /// The flows of `late`, by when their callers started.
  late_by_start: BTreeSet<Queued>,
  /// The flows that can still be answered within their objective, the earliest deadline first.
  on_time: BTreeSet<(Instant, Queued)>,
  /// The objective of the flow that arrived last.
  objective: Duration,
  patience: Patience,
  /// Since when the list has not been empty.
  standing_since: Option<Instant>,
  /// Whether the class was overloaded when it was last logged.
  pub was_overloaded: bool,
}

impl Waitlist {
  /// An empty list.
  pub fn new(patience: Patience) -> Self {
    Self {
      drain: Drain::new(patience.window()),
      entries: HashMap::new(),
      excess: None,
      flows: fair::Queue::new(),
      late: BTreeSet::new(),
      late_by_start: BTreeSet::new(),
      on_time: BTreeSet::new(),
      objective: Duration::ZERO,
      patience,
      standing_since: None,
      was_overloaded: false,
    }
  }

  /// How many flows wait.
  pub fn len(&self) -> usize {
    self.entries.len()
  }

  /// Whether no flow waits.
  pub fn is_empty(&self) -> bool {
    self.entries.is_empty()
  }

  /// How many callers have flows that wait.
  pub fn callers(&self) -> usize {
    self.flows.callers()
  }

  /// How many flows of a caller wait.
  pub fn flows_of(&self, caller: Ipv4Addr) -> usize {
    self.flows.flows_of(caller)
  }

  /// The newest flow of the caller that has the most.
  pub fn longest(&self) -> Option<Queued> {
    self.flows.longest().map(|(_, queued)| queued)
  }

  /// Whether a flow waits that is too late for its objective.
  pub fn is_late(&self, queued: Queued) -> bool {
    let entry = self.entries.get(&queued);
    entry.is_some_and(|entry| entry.is_late)
  }

  /// Whether the class is overloaded: flows have been waiting for as long as callers go on trying, some
  /// were placed in the last window, and some were too late, rejected, displaced or expired in it.
  /// Flows that all wait for less than their objective are served in time; but where others were
  /// turned away to achieve that, the overload goes on.
  pub fn is_overloaded(&self, now: Instant, supply: &Supply) -> bool {
    let window = self.patience.window();
    let age = |at: Instant| now.saturating_duration_since(at);
    self
      .standing_since
      .is_some_and(|since| age(since) >= self.patience.persistence())
      && self.excess.is_some_and(|excess| age(excess) < window)
      && self.drain.is_active(now)
      && supply.is_measured(now, window)
  }

  /// Why a new flow of an overloaded class has to be rejected; none if it can wait.
  pub fn excess_of(&self, now: Instant, supply: &Supply, newcomer: &Newcomer) -> Option<Reason> {
    let late_limit = self.late_limit(now, newcomer.queued);
    let deadline = newcomer.deadline(self.patience);
    if is_late(now, deadline, supply.answer()) {
      return (self.late.len() as f64 >= late_limit).then_some(Reason::Late);
    }
    let limit = self.on_time_limit(now, deadline, supply.answer());
    // On-time flows beyond their own limit become late, and need a place among the late ones.
    let fits = (self.on_time.len() as f64) < limit || (self.len() as f64) < limit + late_limit;
    (!fits).then_some(Reason::OnTime)
  }

  /// How many flows of an overloaded class may wait, as the limits apply to a flow that starts now and
  /// has the objective of the last one.
  pub fn limit(&self, now: Instant, supply: &Supply) -> f64 {
    let on_time = self.on_time_limit(
      now,
      now + self.objective.min(self.patience.total),
      supply.answer(),
    );
    on_time + self.late_limit(now, (now, FIRST_FLOW))
  }

  /// Adds a flow.
  pub fn insert(&mut self, now: Instant, newcomer: &Newcomer, answer: Duration) {
    let Newcomer { queued, .. } = *newcomer;
    let (_, flow) = queued;
    let caller = *flow.caller.ip();
    self.drain.expire(now);
    let running = self.drain.flows_of(caller);
    let deadline = newcomer.deadline(self.patience);
    let entry = Entry {
      deadline,
      is_late: is_late(now, deadline, answer),
      level: running + self.flows.flows_of(caller),
    };
    self.objective = newcomer.objective;
    self.flows.insert(caller, running, queued);
    if entry.is_late {
      self.late.insert((entry.level, queued));
      self.late_by_start.insert(queued);
    } else {
      self.on_time.insert((deadline, queued));
    }
    self.entries.insert(queued, entry);
    self.standing_since.get_or_insert(now);
  }

  /// Removes a flow.
  pub fn remove(&mut self, queued: Queued) {
    let (_, flow) = queued;
    let Some(entry) = self.entries.remove(&queued) else {
      return;
    };
    self.flows.remove(*flow.caller.ip(), &queued);
    self.late.remove(&(entry.level, queued));
    self.late_by_start.remove(&queued);
    self.on_time.remove(&(entry.deadline, queued));
    if self.is_empty() {
      self.standing_since = None;
    }
  }

  /// Records that a flow was rejected or displaced, or expired.
  pub fn record_excess(&mut self, now: Instant) {
    self.excess = Some(now);
  }

  /// Marks the flows that have become too late for their objective.
  pub fn mark_late(&mut self, now: Instant, answer: Duration) {
    while let Some((deadline, queued)) = self.on_time.first().copied() {
      if !is_late(now, deadline, answer) {
        break;
      }
      self.on_time.pop_first();
      if let Some(entry) = self.entries.get_mut(&queued) {
        entry.is_late = true;
        self.late.insert((entry.level, queued));
        self.late_by_start.insert(queued);
      }
    }
    if !self.late.is_empty() {
      self.excess = Some(now);
    }
  }

  /// A late flow that will not be placed before its caller gives up: one whose caller is not certain
  /// to be still waiting, which is overtaken by all others, or else the last in order. One flow may
  /// always wait, so that the rates stay known.
  pub fn hopeless(&self, now: Instant) -> Option<Queued> {
    let (_, last) = *self.late.last()?;
    if self.len() < 2 {
      return None;
    }
    let ahead = (self.late.len() - 1) as f64;
    let overtaken = self.late_by_start.first().copied();
    let overtaken = overtaken.filter(|(first, _)| *first < self.certain_since(now));
    let mut judged = overtaken.into_iter().chain([last]);
    judged.find(|queued| ahead >= self.late_limit(now, *queued))
  }

  /// The flow to be placed first at a target where its request would be answered after `wait`.
  pub fn next(&self, now: Instant, supply: &Supply, wait: Duration) -> Option<Queued> {
    let (_, newest) = self.flows.last()?;
    let in_time = if self.is_overloaded(now, supply) {
      self.earliest_deadline(now, wait)
    } else {
      self.is_in_time(now, newest, wait).then_some(newest)
    };
    let certain = (self.certain_since(now), FIRST_FLOW);
    let oldest = || self.flows.first_since(&certain);
    in_time
      .or_else(|| oldest().map(|(_, queued)| queued))
      .or(Some(newest))
  }

  /// Discards what was observed: nothing of it may hold after a pause of the process.
  pub fn restart(&mut self, now: Instant) {
    self.drain = Drain::new(self.patience.window());
    self.excess = None;
    self.standing_since = self.standing_since.map(|_| now);
  }

  /// The flow of the lowest level, and of that the one with the earliest deadline, among those that
  /// are answered in time after `wait`.
  fn earliest_deadline(&self, now: Instant, wait: Duration) -> Option<Queued> {
    let oldest = now.checked_sub(self.patience.total).unwrap_or(now);
    let mut in_time = self.on_time.range((now + wait, (oldest, FIRST_FLOW))..);
    let (_, earliest) = *in_time.next()?;
    let fairest = self.flows.first_since(&earliest);
    let fairest = fairest.map(|(_, queued)| queued);
    // Where routes of the class have different objectives, a newer flow may be late already.
    let fairest = fairest.filter(|queued| self.is_in_time(now, *queued, wait));
    fairest.or(Some(earliest))
  }

  /// Callers that started since then are certain to be still waiting.
  fn certain_since(&self, now: Instant) -> Instant {
    now.checked_sub(self.patience.certain).unwrap_or(now)
  }

  fn is_in_time(&self, now: Instant, queued: Queued, wait: Duration) -> bool {
    let entry = self.entries.get(&queued);
    entry.is_some_and(|entry| now + wait <= entry.deadline)
  }

  fn on_time_limit(&self, now: Instant, deadline: Instant, answer: Duration) -> f64 {
    let may_wait = deadline.saturating_duration_since(now + answer);
    self.drain.rate(now).within(may_wait)
  }

  fn late_limit(&self, now: Instant, (first, _): Queued) -> f64 {
    let left = self.patience.left(now, first);
    self.drain.late_rate(now).within(left)
  }
}

/// Whether a flow can no longer be answered by its deadline.
fn is_late(now: Instant, deadline: Instant, answer: Duration) -> bool {
  now + answer > deadline
}
