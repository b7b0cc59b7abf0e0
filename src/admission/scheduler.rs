use {
  super::request::{Request, Ticket},
  crate::fair,
  std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    time::{Duration, Instant},
  },
};

/// A request's deadline for starting and its number.
type Deadline = (Instant, Ticket);

#[derive(Clone, Copy, Debug)]
struct Running {
  caller: u64,
  since: Instant,
}

/// The running and the queued requests. Next to start is the one whose caller has the fewest running
/// requests, and among several the one with the earliest deadline.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
  by_caller: HashMap<u64, BTreeSet<Deadline>>,
  by_deadline: BTreeSet<Deadline>,
  /// The earliest deadline of each caller, whose level is the caller's present number of running
  /// requests.
  heads: fair::Queue<u64, Deadline>,
  newest: fair::Queue<u64, Ticket>,
  queued: BTreeMap<Ticket, Request>,
  running: HashMap<Ticket, Running>,
  running_of: HashMap<u64, usize>,
}

impl Scheduler {
  /// The number of queued requests.
  pub fn queued(&self) -> usize {
    self.queued.len()
  }

  /// The number of running requests.
  pub fn running(&self) -> usize {
    self.running.len()
  }

  /// Queues a request.
  pub fn enqueue(&mut self, request: Request) {
    let deadline = (request.start_by, request.ticket);
    self.remove_head(request.caller);
    self
      .by_caller
      .entry(request.caller)
      .or_default()
      .insert(deadline);
    self.insert_head(request.caller);
    self.by_deadline.insert(deadline);
    self.newest.insert(request.caller, 0, request.ticket);
    self.queued.insert(request.ticket, request);
  }

  /// Removes a request from the queue; none if it isn't queued.
  pub fn dequeue(&mut self, ticket: Ticket) -> Option<Request> {
    let request = self.queued.remove(&ticket)?;
    let deadline = (request.start_by, ticket);
    self.remove_head(request.caller);
    if let Some(deadlines) = self.by_caller.get_mut(&request.caller) {
      deadlines.remove(&deadline);
      if deadlines.is_empty() {
        self.by_caller.remove(&request.caller);
      }
    }
    self.insert_head(request.caller);
    self.by_deadline.remove(&deadline);
    self.newest.remove(request.caller, &ticket);
    Some(request)
  }

  /// Removes the next request to start from the queue.
  pub fn dequeue_next(&mut self) -> Option<Request> {
    let (_, (_, ticket)) = self.heads.first()?;
    self.dequeue(ticket)
  }

  /// Removes the newest request of the caller that has the most queued.
  pub fn dequeue_newest_of_longest(&mut self) -> Option<Request> {
    let (_, ticket) = self.newest.longest()?;
    self.dequeue(ticket)
  }

  /// Removes the requests whose deadline is over, in the order of their numbers.
  pub fn dequeue_expired(&mut self, now: Instant) -> Vec<Request> {
    let expired = self
      .by_deadline
      .iter()
      .take_while(|(start_by, _)| *start_by <= now);
    let mut tickets = expired.map(|(_, ticket)| *ticket).collect::<Vec<_>>();
    tickets.sort_unstable();
    let requests = tickets
      .into_iter()
      .filter_map(|ticket| self.dequeue(ticket));
    requests.collect()
  }

  /// Starts a request that is not queued.
  pub fn start(&mut self, now: Instant, request: Request) {
    let caller = request.caller;
    let running = Running { caller, since: now };
    self.remove_head(caller);
    let previous = self.running.insert(request.ticket, running);
    debug_assert!(previous.is_none(), "a request was started twice");
    *self.running_of.entry(caller).or_default() += 1;
    self.insert_head(caller);
  }

  /// Removes a running request; none if it isn't running. Returns when it started.
  pub fn end(&mut self, ticket: Ticket) -> Option<Instant> {
    let Running { caller, since } = self.running.remove(&ticket)?;
    self.remove_head(caller);
    let running = self.running_of(caller) - 1;
    if running == 0 {
      self.running_of.remove(&caller);
    } else {
      self.running_of.insert(caller, running);
    }
    self.insert_head(caller);
    Some(since)
  }

  /// Whether a new request would start before its deadline if it were queued and each running and
  /// queued request took `run_time`. True as well if the request is the one that a queue of at most
  /// `limit` requests has no room for: it is then rejected by the limit, not by this estimate.
  pub fn would_start(
    &self,
    now: Instant,
    new: Request,
    slots: usize,
    limit: usize,
    run_time: Duration,
  ) -> bool {
    // After this many rounds even the last one has started.
    let rounds = (self.running() + self.queued()) / slots + 1;
    if new.start_by > now + run_time * rounds as u32 {
      return true;
    }
    let mut trial = self.clone();
    trial.enqueue(new);
    if trial.queued() > limit {
      let excess = trial.dequeue_newest_of_longest();
      if excess.is_some_and(|excess| excess.ticket == new.ticket) {
        return true;
      }
    }
    trial.starts(now, new, slots, run_time)
  }

  /// Runs the queue until the request has started or its deadline is over.
  fn starts(mut self, now: Instant, new: Request, slots: usize, run_time: Duration) -> bool {
    let ends = self.running.iter();
    let ends =
      ends.map(|(ticket, running)| Reverse(((running.since + run_time).max(now), *ticket)));
    let mut ends = ends.collect::<BinaryHeap<_>>();
    let mut time = now;
    loop {
      self.dequeue_expired(time);
      while self.running() < slots {
        let Some(next) = self.dequeue_next() else {
          return false;
        };
        if next.ticket == new.ticket {
          return true;
        }
        self.start(time, next);
        ends.push(Reverse((time + run_time, next.ticket)));
      }
      let Some(Reverse((end, ticket))) = ends.pop() else {
        return false;
      };
      if end >= new.start_by {
        return false;
      }
      time = end;
      self.end(ticket);
    }
  }

  fn running_of(&self, caller: u64) -> usize {
    self.running_of.get(&caller).copied().unwrap_or(0)
  }

  fn head(&self, caller: u64) -> Option<Deadline> {
    self.by_caller.get(&caller)?.first().copied()
  }

  fn insert_head(&mut self, caller: u64) {
    if let Some(head) = self.head(caller) {
      self.heads.insert(caller, self.running_of(caller), head);
    }
  }

  fn remove_head(&mut self, caller: u64) {
    if let Some(head) = self.head(caller) {
      self.heads.remove(caller, &head);
    }
  }
}
