use {
  nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
  },
  std::{
    ffi::OsStr,
    fs::File,
    path::Path,
    process::{Child as Process, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
  },
};

/// A process that a test started, ended with the test.
pub struct Child {
  process: Process,
}

impl Child {
  /// Starts a program whose log goes to a file.
  pub fn start<S: AsRef<OsStr>>(program: &str, arguments: &[S], log: &Path) -> Self {
    let file = File::options()
      .append(true)
      .create(true)
      .open(log)
      .expect("log file");
    let process = Command::new(program)
      .args(arguments)
      .stdin(Stdio::null())
      .stdout(Stdio::null())
      .stderr(file)
      .spawn()
      .expect("program starts");
    Self { process }
  }

  /// Ends it at once.
  pub fn kill(&mut self) {
    let _ = self.process.kill();
    let _ = self.process.wait();
  }

  /// Freezes it.
  pub fn freeze(&self) {
    self.signal(Signal::SIGSTOP);
  }

  /// Lets it go on.
  pub fn thaw(&self) {
    self.signal(Signal::SIGCONT);
  }

  /// Asks it to stop as planned.
  pub fn stop(&self) {
    self.signal(Signal::SIGTERM);
  }

  /// Asks it to read its files again.
  pub fn reload(&self) {
    self.signal(Signal::SIGHUP);
  }

  /// Waits for its end.
  pub fn wait(&mut self, limit: Duration) -> ExitStatus {
    let end = Instant::now() + limit;
    loop {
      if let Ok(Some(status)) = self.process.try_wait() {
        return status;
      }
      assert!(Instant::now() < end, "process did not end in time");
      std::thread::sleep(Duration::from_millis(20));
    }
  }

  fn signal(&self, signal: Signal) {
    let _ = signal::kill(Pid::from_raw(self.process.id().cast_signed()), signal);
  }
}

impl Drop for Child {
  fn drop(&mut self) {
    self.thaw();
    self.kill();
  }
}
