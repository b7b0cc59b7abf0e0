use {
  super::Settings,
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
};

/// A request's number at this target.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// What the machine is told.
#[derive(Clone, Copy, Debug)]
pub enum Event {
  /// A request arrived.
  Arrived {
    /// Who sent it, by a hash.
    caller: u64,
    /// When it is of no use any more to start it.
    start_by: Instant,
    /// Its number.
    ticket: Ticket,
    /// Whether it may wait; one that was handed over by a peer may not.
    waits: bool,
  },
  /// A waiting or running request ended or was given up.
  Ended(Ticket),
  /// Time passed.
  Tick,
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
  /// Tell it at once that it was not run, and when to come back.
  Shed(Ticket, Duration),
  /// Start it.
  Start(Ticket),
  /// It waits.
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

/// The slots of an upstream and the short queue before them. Among the waiting, the caller that
/// has the fewest running goes first, then the earliest deadline.
#[derive(Debug)]
pub struct Machine {
  run_time: Duration,
  running: HashMap<Ticket, Running>,
  settings: Settings,
  waiting: Vec<Waiting>,
}

impl Machine {
  /// A machine whose slots are free.
  pub fn new(settings: Settings) -> Self {
    Self {
      run_time: settings.run_time,
      running: HashMap::new(),
      settings,
      waiting: Vec::new(),
    }
  }

  /// How many requests run, and how many wait.
  pub fn size(&self) -> (usize, usize) {
    (self.running.len(), self.waiting.len())
  }

  /// Whether a request would start at once.
  pub fn is_free(&self) -> bool {
    self.waiting.is_empty() && self.running.len() < self.settings.slots
  }

  /// Takes the operator's number of slots into force.
  pub fn set_slots(&mut self, slots: usize) {
    self.settings.slots = slots.max(1);
  }

  /// Takes an event.
  pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    match event {
      Event::Arrived {
        caller,
        start_by,
        ticket,
        waits,
      } => {
        let waiting = Waiting {
          caller,
          start_by,
          ticket,
        };
        self.arrived(now, waiting, waits, &mut actions);
      }
      Event::Ended(ticket) => self.ended(now, ticket),
      Event::Tick => {}
    }
    self.expire(now, &mut actions);
    self.fill(now, &mut actions);
    actions
  }

  fn arrived(&mut self, now: Instant, new: Waiting, waits: bool, actions: &mut Vec<Action>) {
    if new.start_by <= now {
      actions.push(Action::Shed(new.ticket, self.come_back()));
      return;
    }
    if self.is_free() {
      self.start(now, new, actions);
      return;
    }
    if !waits {
      actions.push(Action::Shed(new.ticket, self.come_back()));
      return;
    }
    self.waiting.push(new);
    let shed = self.shed_one();
    if shed != Some(new.ticket) {
      actions.push(Action::Wait(new.ticket));
    }
    if let Some(ticket) = shed {
      actions.push(Action::Shed(ticket, self.come_back()));
    }
  }

  /// When too many wait, the caller with the most of them gives up its latest.
  fn shed_one(&mut self) -> Option<Ticket> {
    if self.waiting.len() <= self.settings.slots * self.settings.queue_per_slot {
      return None;
    }
    let mut counts: HashMap<u64, usize> = HashMap::new();
    for waiting in &self.waiting {
      *counts.entry(waiting.caller).or_default() += 1;
    }
    let place = (0..self.waiting.len()).max_by_key(|place| {
      let waiting = self.waiting[*place];
      (counts[&waiting.caller], waiting.ticket)
    })?;
    Some(self.waiting.remove(place).ticket)
  }

  fn ended(&mut self, now: Instant, ticket: Ticket) {
    if let Some(running) = self.running.remove(&ticket) {
      let took = now.duration_since(running.since);
      self.run_time = self.run_time.mul_f64(0.9) + took.mul_f64(0.1);
      return;
    }
    self.waiting.retain(|waiting| waiting.ticket != ticket);
  }

  /// A request whose time is over is told at once.
  fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
    let come_back = self.come_back();
    self.waiting.retain(|waiting| {
      let over = waiting.start_by <= now;
      if over {
        actions.push(Action::Shed(waiting.ticket, come_back));
      }
      !over
    });
  }

  fn fill(&mut self, now: Instant, actions: &mut Vec<Action>) {
    while self.running.len() < self.settings.slots {
      let mut held: HashMap<u64, usize> = HashMap::new();
      for running in self.running.values() {
        *held.entry(running.caller).or_default() += 1;
      }
      let next = (0..self.waiting.len()).min_by_key(|place| {
        let waiting = self.waiting[*place];
        let held = held.get(&waiting.caller).copied().unwrap_or(0);
        (held, waiting.start_by, waiting.ticket)
      });
      let Some(place) = next else {
        return;
      };
      let waiting = self.waiting.remove(place);
      self.start(now, waiting, actions);
    }
  }

  fn start(&mut self, now: Instant, waiting: Waiting, actions: &mut Vec<Action>) {
    let running = Running {
      caller: waiting.caller,
      since: now,
    };
    let before = self.running.insert(waiting.ticket, running);
    debug_assert!(before.is_none(), "a request was started twice");
    actions.push(Action::Start(waiting.ticket));
  }

  /// How long it takes until those that run and wait are through.
  fn come_back(&self) -> Duration {
    let ahead = self.running.len() + self.waiting.len();
    let turns = ahead.div_ceil(self.settings.slots.max(1)) as u32;
    self.run_time * turns
  }
}
