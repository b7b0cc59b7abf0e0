//! What every program does: it reads its settings, starts its parts, waits for a signal, and
//! stops them in order.

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

/// A signal that a process acts on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
  /// SIGHUP: read files again.
  Reload,
  /// SIGINT or SIGTERM: stop as planned.
  Stop,
}

/// What a program is started with: `--settings FILE`, and `--check` to read it and stop.
pub fn start<T: DeserializeOwned>(
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
  let only_check = arguments.contains("--check");
  let rest = arguments.finish();
  if let Some(first) = rest.first() {
    return Err(Fault::new(
      Code::ArgumentInvalid,
      format!(
        "found `{}`, expected `--settings` or `--check`",
        first.display()
      ),
    ));
  }
  let read = settings::read(&path)?;
  check(&read)?;
  if only_check {
    println!("{}: settings are valid", path.display());
    return Ok(None);
  }
  Ok(Some(read))
}

/// Runs a program's body and turns its fault into a message and an exit code.
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

/// The parts of a process and the signals that it waits for.
pub struct Process {
  signals: Receiver<Signal>,
  /// The parts.
  pub tree: Tree,
}

impl Process {
  /// A process without parts.
  pub fn new(counter: Arc<Counter>) -> Result<Self, Fault> {
    let failed = |error| Fault::new(Code::ChildFailed, error);
    let mut caught = Signals::new([SIGHUP, SIGINT, SIGTERM]).map_err(failed)?;
    let (sender, signals) = channel::unbounded();
    let builder = thread::Builder::new().name("signals".into());
    let forward = move || {
      for signal in caught.forever() {
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

  /// Waits until a signal comes or a part has failed too often.
  pub fn wait(&mut self) -> Result<Signal, Fault> {
    select! {
      recv(self.signals) -> signal => signal.map_err(|error| Fault::new(Code::ChildFailed, error)),
      recv(self.tree.given_up()) -> fault => {
        Err(fault.unwrap_or_else(|error| Fault::new(Code::ChildFailed, error)))
      }
    }
  }
}
