//! Functions common to all programs: reading settings, handling signals, and reporting the result.

use {
  crate::{
    code::{Code, Fault},
    counter::Counter,
    settings,
    supervisor::Tree,
  },
  crossbeam::channel::{self, Receiver, select},
  pico_args::Arguments,
  serde::de::DeserializeOwned,
  signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
  },
  std::{path::PathBuf, process::ExitCode, sync::Arc, thread},
};

/// A signal that a process handles.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
  /// SIGHUP: reload files.
  Reload,
  /// SIGINT or SIGTERM: shut down gracefully.
  Stop,
}

/// Parses a program's arguments, and reads and checks its settings. Returns none if there is
/// nothing to run, because of `--check` or `--help`.
pub fn load_settings<T: DeserializeOwned>(
  help: &str,
  check: impl Fn(&T) -> Result<(), Fault>,
) -> Result<Option<T>, Fault> {
  let mut arguments = Arguments::from_env();
  if arguments.contains(["-h", "--help"]) {
    print!("{help}");
    return Ok(None);
  }
  let invalid = |error: pico_args::Error| Fault::new(Code::ArgumentInvalid, error);
  let path: PathBuf = arguments.value_from_str("--settings").map_err(invalid)?;
  let is_check = arguments.contains("--check");
  let unused = arguments.finish();
  if let Some(first) = unused.first() {
    return Err(Fault::new(
      Code::ArgumentInvalid,
      format!(
        "found `{}`, expected `--settings` or `--check`",
        first.display()
      ),
    ));
  }
  let settings = settings::read(&path)?;
  check(&settings)?;
  if is_check {
    println!("{}: settings are valid", path.display());
    return Ok(None);
  }
  Ok(Some(settings))
}

/// Prints a program's fault, if any, and returns its exit code: 3 if a wait has timed out, 2 if an
/// argument, a document or settings are not valid, 1 for any other fault.
pub fn finish(name: &str, result: Result<(), Fault>) -> ExitCode {
  match result {
    Ok(()) => ExitCode::SUCCESS,
    Err(fault) => {
      eprintln!("{name}: {fault}");
      ExitCode::from(match fault.code {
        Code::WaitTimedOut => 3,
        code if code.number() < 200 => 2,
        _ => 1,
      })
    }
  }
}

/// A running process: its supervised parts and the signals sent to it.
pub struct Process {
  signals: Receiver<Signal>,
  /// The supervised parts.
  pub tree: Tree,
}

impl Process {
  /// Creates a process without parts and starts to catch signals.
  pub fn new(counter: Arc<Counter>) -> Result<Self, Fault> {
    let failed = |error| Fault::new(Code::ChildFailed, error);
    let mut os_signals = Signals::new([SIGHUP, SIGINT, SIGTERM]).map_err(failed)?;
    let (sender, signals) = channel::unbounded();
    let builder = thread::Builder::new().name("signals".into());
    let forward = move || {
      for signal in os_signals.forever() {
        let signal = match signal {
          SIGHUP => Signal::Reload,
          _ => Signal::Stop,
        };
        if sender.send(signal).is_err() {
          return;
        }
      }
    };
    builder.spawn(forward).map_err(failed)?;
    Ok(Self {
      signals,
      tree: Tree::new(counter),
    })
  }

  /// Waits for a signal; fails once a part has failed too often to be restarted.
  pub fn wait(&mut self) -> Result<Signal, Fault> {
    select! {
      recv(self.signals) -> signal => signal.map_err(|error| Fault::new(Code::ChildFailed, error)),
      recv(self.tree.fatal_faults()) -> fault => {
        Err(fault.unwrap_or_else(|error| Fault::new(Code::ChildFailed, error)))
      }
    }
  }
}
