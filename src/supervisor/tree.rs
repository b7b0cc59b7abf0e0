use {
  super::Stop,
  crate::{
    code::{Code, Fault},
    counter::Counter,
  },
  crossbeam::channel::{self, Receiver, Sender},
  std::{
    panic::{self, AssertUnwindSafe},
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
  },
};

/// The first wait before a failed part is started again; it doubles with each failure.
const BACK_OFF: Duration = Duration::from_millis(100);

/// The longest wait.
const BACK_OFF_MAX: Duration = Duration::from_secs(5);

/// A part that fails so often within `WINDOW` takes the process down, so that whoever runs it
/// starts it anew.
const FAILURES_MAX: u32 = 5;

/// The time in which failures are counted.
const WINDOW: Duration = Duration::from_mins(1);

/// The root of a process: its parts are threads, started in order and stopped in reverse.
#[derive(Debug)]
pub struct Tree {
  children: Vec<Child>,
  counter: Arc<Counter>,
  given_up: (Sender<Fault>, Receiver<Fault>),
}

#[derive(Debug)]
struct Child {
  handle: JoinHandle<()>,
  name: &'static str,
  stop: Stop,
}

impl Tree {
  /// A tree without parts.
  pub fn new(counter: Arc<Counter>) -> Self {
    Self {
      children: Vec::new(),
      counter,
      given_up: channel::unbounded(),
    }
  }

  /// Where a part's fault arrives once it has failed too often.
  pub fn given_up(&self) -> &Receiver<Fault> {
    &self.given_up.1
  }

  /// Starts a part, and starts it again when it fails.
  pub fn start(
    &mut self,
    name: &'static str,
    part: impl Fn(&Stop) -> Result<(), Fault> + Send + 'static,
  ) -> Result<(), Fault> {
    let stop = Stop::default();
    let counter = Arc::clone(&self.counter);
    let given_up = self.given_up.0.clone();
    let handle = thread::Builder::new()
      .name(name.into())
      .spawn({
        let stop = stop.clone();
        move || {
          if let Err(fault) = keep(name, &stop, &counter, part) {
            let _ = given_up.send(fault);
          }
        }
      })
      .map_err(|error| Fault::new(Code::ChildGivenUp, format!("{name}: {error}")))?;
    self.children.push(Child { handle, name, stop });
    Ok(())
  }

  /// Stops the parts, the last started first, and waits for each.
  pub fn stop(&mut self) {
    while let Some(child) = self.children.pop() {
      child.stop.set();
      if child.handle.join().is_err() {
        log::error!("supervisor: {} ended badly.", child.name);
      }
    }
  }
}

fn keep(
  name: &'static str,
  stop: &Stop,
  counter: &Counter,
  part: impl Fn(&Stop) -> Result<(), Fault>,
) -> Result<(), Fault> {
  let mut failures = 0;
  let mut back_off = BACK_OFF;
  let mut since = Instant::now();
  loop {
    let result = panic::catch_unwind(AssertUnwindSafe(|| part(stop)));
    if stop.is_set() {
      return Ok(());
    }
    let why = match result {
      Ok(Ok(())) => return Ok(()),
      Ok(Err(fault)) => fault.to_string(),
      Err(_) => "panic".into(),
    };
    counter.count(Code::ChildFailed);
    if since.elapsed() > WINDOW {
      since = Instant::now();
      failures = 0;
      back_off = BACK_OFF;
    }
    failures += 1;
    log::error!("supervisor: {name} failed: {why}.");
    if failures >= FAILURES_MAX {
      counter.count(Code::ChildGivenUp);
      return Err(Fault::new(Code::ChildGivenUp, format!("{name}: {why}")));
    }
    stop.wait_for(back_off);
    back_off = (back_off * 2).min(BACK_OFF_MAX);
  }
}
