use {
  super::{
    Retry, Settings,
    request::{Request, Ticket},
    scheduler::Scheduler,
  },
  std::time::{Duration, Instant},
};

/// An input of the machine.
#[derive(Clone, Copy, Debug)]
pub enum Event {
  /// A request arrived.
  Arrived {
    /// A hash that identifies its caller.
    caller: u64,
    /// The deadline for starting it; if it hasn't started by then, it is shed.
    start_by: Instant,
    /// The request's number.
    ticket: Ticket,
    /// Whether it may be queued; false for a request that a peer handed off.
    may_wait: bool,
  },
  /// A queued or running request ended or was cancelled.
  Ended(Ticket),
  /// A request of this caller was handed off to a peer, which runs it.
  HandedOff {
    /// A hash that identifies its caller.
    caller: u64,
  },
  /// Time passed; sheds queued requests whose deadline is over.
  Tick,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
  /// It is rejected without having been run; the duration is its retry delay.
  Shed(Ticket, Duration),
  /// It starts.
  Start(Ticket),
  /// It is queued.
  Wait(Ticket),
}

/// The slots of an upstream and the bounded queue before them. Of the queued requests, the one whose
/// caller has the fewest running requests starts next, and among several the one with the earliest
/// deadline.
#[derive(Debug)]
pub struct Machine {
  /// The moving average of the running times.
  mean_run_time: Duration,
  retry: Retry,
  scheduler: Scheduler,
  settings: Settings,
}

impl Machine {
  /// A machine without any requests.
  pub fn new(settings: Settings) -> Self {
    Self {
      mean_run_time: settings.initial_run_time,
      retry: Retry::new(settings.spread),
      scheduler: Scheduler::default(),
      settings,
    }
  }

  /// The numbers of running and of queued requests.
  pub fn size(&self) -> (usize, usize) {
    (self.scheduler.running(), self.scheduler.queued())
  }

  /// Whether a request would start at once.
  pub fn is_free(&self) -> bool {
    self.scheduler.queued() == 0 && self.scheduler.running() < self.slots()
  }

  /// Changes the number of slots, which is at least 1. Running requests are not interrupted.
  pub fn set_slots(&mut self, slots: usize) {
    self.settings.slots = slots.max(1);
  }

  /// Processes an event, sheds queued requests whose deadline is over, and fills free slots.
  pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    match event {
      Event::Arrived {
        caller,
        start_by,
        ticket,
        may_wait,
      } => {
        let request = Request {
          caller,
          returning: may_wait && self.retry.arrive(now, caller),
          start_by,
          ticket,
        };
        self.admit(now, request, may_wait, &mut actions);
      }
      Event::Ended(ticket) => self.remove(now, ticket),
      Event::HandedOff { caller } => {
        self.retry.arrive(now, caller);
      }
      Event::Tick => {}
    }
    for expired in self.scheduler.dequeue_expired(now) {
      actions.push(self.shed(now, expired));
    }
    self.start_queued(now, &mut actions);
    actions
  }

  fn admit(&mut self, now: Instant, new: Request, may_wait: bool, actions: &mut Vec<Action>) {
    if new.start_by > now && self.is_free() {
      self.start(now, new, actions);
      return;
    }
    if !may_wait {
      // The peer that handed it off tells the caller when to come back.
      actions.push(Action::Shed(new.ticket, self.drain()));
      return;
    }
    if new.start_by <= now || self.is_hopeless(now, new) {
      actions.push(self.shed(now, new));
      return;
    }
    self.scheduler.enqueue(new);
    let excess = self.dequeue_excess();
    if excess.is_none_or(|excess| excess.ticket != new.ticket) {
      actions.push(Action::Wait(new.ticket));
    }
    if let Some(excess) = excess {
      actions.push(self.shed(now, excess));
    }
  }

  /// Whether a request cannot start before its deadline. Half of the mean is assumed of running
  /// times, since a request that could have started must not be rejected by an estimate.
  fn is_hopeless(&self, now: Instant, new: Request) -> bool {
    let run_time = self.mean_run_time / 2;
    let (limit, slots) = (self.queue_limit(), self.slots());
    !self.scheduler.would_start(now, new, slots, limit, run_time)
  }

  /// When the queue is too long, removes the newest request of the caller that has the most queued.
  fn dequeue_excess(&mut self) -> Option<Request> {
    if self.scheduler.queued() <= self.queue_limit() {
      return None;
    }
    self.scheduler.dequeue_newest_of_longest()
  }

  fn remove(&mut self, now: Instant, ticket: Ticket) {
    if let Some(since) = self.scheduler.end(ticket) {
      let run_time = now.duration_since(since);
      self.mean_run_time = self.mean_run_time.mul_f64(0.9) + run_time.mul_f64(0.1);
      return;
    }
    self.scheduler.dequeue(ticket);
  }

  fn start_queued(&mut self, now: Instant, actions: &mut Vec<Action>) {
    while self.scheduler.running() < self.slots() {
      let Some(next) = self.scheduler.dequeue_next() else {
        return;
      };
      self.start(now, next, actions);
    }
  }

  fn start(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) {
    self.scheduler.start(now, request);
    actions.push(Action::Start(request.ticket));
  }

  fn shed(&mut self, now: Instant, request: Request) -> Action {
    let Request {
      caller, returning, ..
    } = request;
    let drain = self.drain();
    let service_time = self.service_time();
    let delay = self
      .retry
      .reject(now, caller, returning, drain, service_time);
    Action::Shed(request.ticket, delay)
  }

  /// The estimated time until all requests that now run or are queued have ended.
  fn drain(&self) -> Duration {
    let ahead = self.scheduler.running() + self.scheduler.queued();
    self.service_time() * ahead as u32
  }

  /// The mean time between the ends of two requests while all slots are taken.
  fn service_time(&self) -> Duration {
    self.mean_run_time / self.slots() as u32
  }

  /// The longest queue.
  fn queue_limit(&self) -> usize {
    self.slots() * self.settings.queue_per_slot
  }

  fn slots(&self) -> usize {
    self.settings.slots.max(1)
  }
}
