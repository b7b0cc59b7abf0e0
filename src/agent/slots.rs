use {
  crate::admission::{Action, Event, Machine, Settings, Ticket},
  std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
  },
  tokio::sync::oneshot,
};

/// How often waiting requests are looked at.
const TICK: Duration = Duration::from_millis(20);

/// Whether a request starts, or when it is to come back.
type Word = Result<(), Duration>;

/// The slots of the upstream beside, with the requests that wait for them.
#[derive(Debug)]
pub struct Slots(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
  machine: Machine,
  next: u64,
  waiting: HashMap<Ticket, oneshot::Sender<Word>>,
}

/// A slot that is held; it is free again when this is dropped.
#[derive(Debug)]
pub struct Slot {
  inner: Arc<Mutex<Inner>>,
  ticket: Ticket,
}

impl Default for Slots {
  fn default() -> Self {
    Self(Arc::new(Mutex::new(Inner {
      machine: Machine::new(Settings::default()),
      next: 0,
      waiting: HashMap::new(),
    })))
  }
}

impl Slots {
  /// Waits for a slot, if it may; what is refused is told when to come back, at once.
  pub async fn enter(&self, caller: u64, start_by: Instant, waits: bool) -> Result<Slot, Duration> {
    let (sender, receiver) = oneshot::channel();
    let slot = {
      let mut inner = lock(&self.0);
      inner.next += 1;
      let ticket = Ticket(inner.next);
      inner.waiting.insert(ticket, sender);
      let event = Event::Arrived {
        caller,
        start_by,
        ticket,
        waits,
      };
      inner.step(event);
      Slot {
        inner: Arc::clone(&self.0),
        ticket,
      }
    };
    // The slot is given back when this is dropped while it waits, or when it is refused.
    match receiver.await {
      Ok(Ok(())) => Ok(slot),
      Ok(Err(come_back)) => Err(come_back),
      Err(_) => Err(Duration::ZERO),
    }
  }

  /// Whether a request would start at once.
  pub fn is_free(&self) -> bool {
    lock(&self.0).machine.is_free()
  }

  /// How many requests run, and how many wait.
  pub fn size(&self) -> (usize, usize) {
    lock(&self.0).machine.size()
  }

  /// Takes the operator's number of slots into force.
  pub fn set(&self, slots: usize) {
    lock(&self.0).machine.set_slots(slots);
  }

  /// Tells waiting requests at once when their time is over.
  pub async fn run(&self) {
    loop {
      tokio::time::sleep(TICK).await;
      let mut inner = lock(&self.0);
      if inner.machine.size().1 > 0 {
        inner.step(Event::Tick);
      }
    }
  }
}

impl Inner {
  fn step(&mut self, event: Event) {
    for action in self.machine.step(Instant::now(), event) {
      let (ticket, word) = match action {
        Action::Shed(ticket, come_back) => (ticket, Err(come_back)),
        Action::Start(ticket) => (ticket, Ok(())),
        Action::Wait(_) => continue,
      };
      if let Some(sender) = self.waiting.remove(&ticket) {
        let _ = sender.send(word);
      }
    }
  }
}

impl Drop for Slot {
  fn drop(&mut self) {
    let mut inner = lock(&self.inner);
    inner.waiting.remove(&self.ticket);
    inner.step(Event::Ended(self.ticket));
  }
}

fn lock(inner: &Arc<Mutex<Inner>>) -> std::sync::MutexGuard<'_, Inner> {
  inner.lock().unwrap_or_else(PoisonError::into_inner)
}
