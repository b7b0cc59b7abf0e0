use {
  nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
  },
  std::{
    ffi::OsStr,
    fs::{self, File},
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
      .stdout(file.try_clone().expect("log file"))
      .stderr(file)
      .spawn()
      .expect("program starts");
    Self { process }
  }

  /// Ends it at once, but not now.
  pub fn kill_soon(&self, after: Duration) {
    let pid = Pid::from_raw(self.process.id().cast_signed());
    std::thread::spawn(move || {
      std::thread::sleep(after);
      let _ = signal::kill(pid, Signal::SIGKILL);
    });
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

  /// The processor time that it has used.
  pub fn processor_time(&self) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id())).expect("stat");
    let (_, rest) = stat.rsplit_once(')').expect("stat");
    let fields = rest.split_whitespace().collect::<Vec<_>>();
    let ticks = |index: usize| fields[index].parse::<u64>().expect("ticks");
    // Fields 14 and 15 of the whole line, in hundredths of a second.
    Duration::from_millis((ticks(11) + ticks(12)) * 10)
  }

  /// The memory that it holds, in bytes.
  pub fn memory(&self) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", self.process.id()));
    let status = status.expect("status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
      .and_then(|text| text.parse::<u64>().ok())
      .expect("memory")
      * 1024
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
