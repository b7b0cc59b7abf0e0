use {
  super::Settings,
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
};

/// The number of a request, unique within its machine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

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

#[derive(Clone, Copy, Debug)]
struct Running {
  caller: u64,
  since: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
  caller: u64,
  start_by: Instant,
  ticket: Ticket,
}

/// The slots of an upstream and the bounded queue before them. Of the queued requests, the one whose
/// caller has the fewest running requests starts next, and among several the one with the earliest
/// deadline.
#[derive(Debug)]
pub struct Machine {
  /// The moving average of the running times.
  mean_run_time: Duration,
  running: HashMap<Ticket, Running>,
  settings: Settings,
  waiting: Vec<Waiting>,
}

impl Machine {
  /// A machine without any requests.
  pub fn new(settings: Settings) -> Self {
    Self {
      mean_run_time: settings.initial_run_time,
      running: HashMap::new(),
      settings,
      waiting: Vec::new(),
    }
  }

  /// The numbers of running and of queued requests.
  pub fn size(&self) -> (usize, usize) {
    (self.running.len(), self.waiting.len())
  }

  /// Whether a request would start at once.
  pub fn is_free(&self) -> bool {
    self.waiting.is_empty() && self.running.len() < self.settings.slots
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
        let waiting = Waiting {
          caller,
          start_by,
          ticket,
        };
        self.admit(now, waiting, may_wait, &mut actions);
      }
      Event::Ended(ticket) => self.remove(now, ticket),
      Event::Tick => {}
    }
    self.expire(now, &mut actions);
    self.start_waiting(now, &mut actions);
    actions
  }

  fn admit(&mut self, now: Instant, new: Waiting, may_wait: bool, actions: &mut Vec<Action>) {
    if new.start_by <= now {
      actions.push(Action::Shed(new.ticket, self.retry_after()));
      return;
    }
    if self.is_free() {
      self.start(now, new, actions);
      return;
    }
    if !may_wait {
      actions.push(Action::Shed(new.ticket, self.retry_after()));
      return;
    }
    self.waiting.push(new);
    let shed = self.shed_excess();
    if shed != Some(new.ticket) {
      actions.push(Action::Wait(new.ticket));
    }
    if let Some(ticket) = shed {
      actions.push(Action::Shed(ticket, self.retry_after()));
    }
  }

  /// When the queue is too long, removes the newest request of the caller that has the most queued.
  fn shed_excess(&mut self) -> Option<Ticket> {
    if self.waiting.len() <= self.settings.slots * self.settings.queue_per_slot {
      return None;
    }
    let mut counts: HashMap<u64, usize> = HashMap::new();
    for waiting in &self.waiting {
      *counts.entry(waiting.caller).or_default() += 1;
    }
    let index = (0..self.waiting.len()).max_by_key(|index| {
      let waiting = self.waiting[*index];
      (counts[&waiting.caller], waiting.ticket)
    })?;
    Some(self.waiting.remove(index).ticket)
  }

  fn remove(&mut self, now: Instant, ticket: Ticket) {
    if let Some(running) = self.running.remove(&ticket) {
      let run_time = now.duration_since(running.since);
      self.mean_run_time = self.mean_run_time.mul_f64(0.9) + run_time.mul_f64(0.1);
      return;
    }
    self.waiting.retain(|waiting| waiting.ticket != ticket);
  }

  /// Sheds queued requests whose deadline for starting is over.
  fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
    let retry_after = self.retry_after();
    self.waiting.retain(|waiting| {
      let expired = waiting.start_by <= now;
      if expired {
        actions.push(Action::Shed(waiting.ticket, retry_after));
      }
      !expired
    });
  }

  fn start_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
    while self.running.len() < self.settings.slots {
      let mut running_by_caller: HashMap<u64, usize> = HashMap::new();
      for running in self.running.values() {
        *running_by_caller.entry(running.caller).or_default() += 1;
      }
      let next = (0..self.waiting.len()).min_by_key(|index| {
        let waiting = self.waiting[*index];
        let running = running_by_caller.get(&waiting.caller).copied().unwrap_or(0);
        (running, waiting.start_by, waiting.ticket)
      });
      let Some(index) = next else {
        return;
      };
      let waiting = self.waiting.remove(index);
      self.start(now, waiting, actions);
    }
  }

  fn start(&mut self, now: Instant, waiting: Waiting, actions: &mut Vec<Action>) {
    let running = Running {
      caller: waiting.caller,
      since: now,
    };
    let previous = self.running.insert(waiting.ticket, running);
    debug_assert!(previous.is_none(), "a request was started twice");
    actions.push(Action::Start(waiting.ticket));
  }

  /// The estimated time until all requests that now run or are queued have ended.
  fn retry_after(&self) -> Duration {
    let ahead = self.running.len() + self.waiting.len();
    let rounds = ahead.div_ceil(self.settings.slots.max(1)) as u32;
    self.mean_run_time * rounds
  }
}
