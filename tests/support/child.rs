//! Child processes of tests and benchmarks.

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

/// A child process that is killed when it is dropped.
pub struct Child {
  process: Process,
}

impl Child {
  /// Starts a program and appends its output to a log file.
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

  /// Kills the process after a delay, from another thread.
  pub fn kill_after(&self, delay: Duration) {
    let pid = Pid::from_raw(self.process.id().cast_signed());
    std::thread::spawn(move || {
      std::thread::sleep(delay);
      let _ = signal::kill(pid, Signal::SIGKILL);
    });
  }

  /// Kills the process and waits for its exit.
  pub fn kill(&mut self) {
    let _ = self.process.kill();
    let _ = self.process.wait();
  }

  /// Suspends the process with SIGSTOP.
  pub fn suspend(&self) {
    self.signal(Signal::SIGSTOP);
  }

  /// Resumes the process with SIGCONT.
  pub fn resume(&self) {
    self.signal(Signal::SIGCONT);
  }

  /// Requests a graceful shutdown with SIGTERM.
  pub fn stop(&self) {
    self.signal(Signal::SIGTERM);
  }

  /// Makes the process reload its files with SIGHUP.
  pub fn reload(&self) {
    self.signal(Signal::SIGHUP);
  }

  /// User and system CPU time used so far.
  pub fn cpu_time(&self) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id())).expect("stat");
    let (_, rest) = stat.rsplit_once(')').expect("stat");
    let fields = rest.split_whitespace().collect::<Vec<_>>();
    let ticks = |index: usize| fields[index].parse::<u64>().expect("ticks");
    // utime and stime, fields 14 and 15 of the whole line, in ticks of 10 ms.
    Duration::from_millis((ticks(11) + ticks(12)) * 10)
  }

  /// Resident memory, in bytes.
  pub fn resident_bytes(&self) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", self.process.id()));
    let status = status.expect("status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
      .and_then(|text| text.parse::<u64>().ok())
      .expect("memory")
      * 1024
  }

  /// Waits for the exit; panics after the timeout.
  pub fn wait(&mut self, timeout: Duration) -> ExitStatus {
    let deadline = Instant::now() + timeout;
    loop {
      if let Ok(Some(status)) = self.process.try_wait() {
        return status;
      }
      assert!(Instant::now() < deadline, "process did not exit in time");
      std::thread::sleep(Duration::from_millis(20));
    }
  }

  fn signal(&self, signal: Signal) {
    let _ = signal::kill(Pid::from_raw(self.process.id().cast_signed()), signal);
  }
}

impl Drop for Child {
  fn drop(&mut self) {
    self.resume();
    self.kill();
  }
}
