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

/// The delay before the first restart of a failed part; it doubles with each failure.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// The longest delay before a restart.
const RESTART_DELAY_MAX: Duration = Duration::from_secs(5);

/// A part that fails this often within `FAILURE_WINDOW` is not restarted. The process exits, and
/// its service manager restarts it.
const FAILURES_MAX: u32 = 5;

/// The period in which failures are counted.
const FAILURE_WINDOW: Duration = Duration::from_mins(1);

/// Supervises the parts of a process. Each part is a thread; they are stopped in the reverse order
/// of their start.
#[derive(Debug)]
pub struct Tree {
  parts: Vec<Part>,
  counter: Arc<Counter>,
  fatal_faults: Receiver<Fault>,
  fatal_sender: Sender<Fault>,
}

#[derive(Debug)]
struct Part {
  handle: JoinHandle<()>,
  name: &'static str,
  stop: Stop,
}

impl Tree {
  /// Creates a supervisor without parts. Failures are counted in `counter`.
  pub fn new(counter: Arc<Counter>) -> Self {
    let (fatal_sender, fatal_faults) = channel::unbounded();
    Self {
      parts: Vec::new(),
      counter,
      fatal_faults,
      fatal_sender,
    }
  }

  /// Receives the last fault of each part that has failed too often to be restarted.
  pub fn fatal_faults(&self) -> &Receiver<Fault> {
    &self.fatal_faults
  }

  /// Starts a part in its own thread and restarts it when it fails or panics. A part that returns
  /// `Ok` is not restarted.
  pub fn start(
    &mut self,
    name: &'static str,
    part: impl Fn(&Stop) -> Result<(), Fault> + Send + 'static,
  ) -> Result<(), Fault> {
    let stop = Stop::default();
    let counter = Arc::clone(&self.counter);
    let fatal_sender = self.fatal_sender.clone();
    let handle = thread::Builder::new()
      .name(name.into())
      .spawn({
        let stop = stop.clone();
        move || {
          if let Err(fault) = supervise(name, &stop, &counter, part) {
            let _ = fatal_sender.send(fault);
          }
        }
      })
      .map_err(|error| Fault::new(Code::ChildGivenUp, format!("{name}: {error}")))?;
    self.parts.push(Part { handle, name, stop });
    Ok(())
  }

  /// Stops the parts in the reverse order of their start, waiting for each to end.
  pub fn stop(&mut self) {
    while let Some(part) = self.parts.pop() {
      part.stop.set();
      if part.handle.join().is_err() {
        log::error!("supervisor: thread of {} panicked.", part.name);
      }
    }
  }
}

fn supervise(
  name: &'static str,
  stop: &Stop,
  counter: &Counter,
  part: impl Fn(&Stop) -> Result<(), Fault>,
) -> Result<(), Fault> {
  let mut failures = 0;
  let mut restart_delay = RESTART_DELAY;
  let mut window_start = Instant::now();
  loop {
    let result = panic::catch_unwind(AssertUnwindSafe(|| part(stop)));
    if stop.is_set() {
      return Ok(());
    }
    let reason = match result {
      Ok(Ok(())) => return Ok(()),
      Ok(Err(fault)) => fault.to_string(),
      Err(_) => "panic".into(),
    };
    counter.count(Code::ChildFailed);
    if window_start.elapsed() > FAILURE_WINDOW {
      window_start = Instant::now();
      failures = 0;
      restart_delay = RESTART_DELAY;
    }
    failures += 1;
    log::error!("supervisor: {name} failed: {reason}.");
    if failures >= FAILURES_MAX {
      counter.count(Code::ChildGivenUp);
      return Err(Fault::new(Code::ChildGivenUp, format!("{name}: {reason}")));
    }
    stop.wait_for(restart_delay);
    restart_delay = (restart_delay * 2).min(RESTART_DELAY_MAX);
  }
}
