use {
  crate::admission::{Action, Event, Machine, Settings, Ticket},
  std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
  },
  tokio::sync::oneshot,
};

/// The interval at which waiting requests are checked against their deadlines.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The decision about a request: it starts, or its retry delay.
type Admission = Result<(), Duration>;

/// The slots of the agent's upstream and the queue of requests that wait for one.
#[derive(Debug)]
pub struct Slots(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
  machine: Machine,
  last_ticket: u64,
  waiting: HashMap<Ticket, oneshot::Sender<Admission>>,
}

/// A slot that is taken until this is dropped.
#[derive(Debug)]
pub struct Slot {
  inner: Arc<Mutex<Inner>>,
  ticket: Ticket,
}

impl Default for Slots {
  fn default() -> Self {
    Self(Arc::new(Mutex::new(Inner {
      machine: Machine::new(Settings::default()),
      last_ticket: 0,
      waiting: HashMap::new(),
    })))
  }
}

impl Slots {
  /// Takes a slot. If none is free and `may_wait` is set, waits for one until `start_by`.
  ///
  /// Fails with the retry delay, in whole seconds if `may_wait` is set.
  pub async fn acquire(
    &self,
    caller: u64,
    start_by: Instant,
    may_wait: bool,
  ) -> Result<Slot, Duration> {
    let (sender, receiver) = oneshot::channel();
    let slot = {
      let mut inner = lock(&self.0);
      inner.last_ticket += 1;
      let ticket = Ticket(inner.last_ticket);
      inner.waiting.insert(ticket, sender);
      let event = Event::Arrived {
        caller,
        start_by,
        ticket,
        may_wait,
      };
      inner.step(event);
      Slot {
        inner: Arc::clone(&self.0),
        ticket,
      }
    };
    // Dropping `slot` removes the request, also if this future is cancelled or the request refused.
    match receiver.await {
      Ok(Ok(())) => Ok(slot),
      Ok(Err(retry_after)) => Err(retry_after),
      Err(_) => Err(Duration::ZERO),
    }
  }

  /// Records that a peer runs a request of this caller, so that the caller is no longer expected
  /// back.
  pub fn note_hand_off(&self, caller: u64) {
    lock(&self.0).step(Event::HandedOff { caller });
  }

  /// Whether a request would start without waiting.
  pub fn is_free(&self) -> bool {
    lock(&self.0).machine.is_free()
  }

  /// The number of running requests, and of waiting ones.
  pub fn size(&self) -> (usize, usize) {
    lock(&self.0).machine.size()
  }

  /// Sets the number of slots.
  pub fn set_count(&self, slots: usize) {
    lock(&self.0).machine.set_slots(slots);
  }

  /// Refuses waiting requests once their deadline has passed; runs until it is cancelled.
  pub async fn expire_waiting(&self) {
    loop {
      tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
      let mut inner = lock(&self.0);
      if inner.machine.size().1 > 0 {
        inner.step(Event::Tick);
      }
    }
  }
}

impl Inner {
  /// Feeds an event to the machine and notifies the requests that it decides about.
  fn step(&mut self, event: Event) {
    for action in self.machine.step(Instant::now(), event) {
      let (ticket, admission) = match action {
        Action::Shed(ticket, retry_after) => (ticket, Err(retry_after)),
        Action::Start(ticket) => (ticket, Ok(())),
        Action::Wait(_) => continue,
      };
      if let Some(sender) = self.waiting.remove(&ticket) {
        let _ = sender.send(admission);
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
