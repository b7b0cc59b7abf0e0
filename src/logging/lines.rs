use {
  super::Format,
  logforth::{Append, Diagnostic, Error, record::Record},
  nix::poll::{PollFd, PollFlags, PollTimeout, poll},
  serde_json::{Map, Value},
  std::{
    fmt::Write as _,
    io::{self, Write as _},
    os::fd::AsFd,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, UNIX_EPOCH},
  },
};

/// What one write may hold: a pipe that polls as writable takes so much without blocking
/// (`PIPE_BUF` on Linux).
const CHUNK: usize = 4096;

/// Lines that wait are written once there are so many bytes of them.
const ENOUGH: usize = 2048;

/// How long a line may wait.
const WAIT: Duration = Duration::from_millis(100);

/// The most bytes that wait. Lines beyond that are left out and counted.
const MOST: usize = 64 << 10;

/// The most bytes of lines in a second. Lines beyond that are left out and counted.
const RATE: usize = 128 << 10;

/// The lines of the process.
static BUFFER: Mutex<Buffer> = Mutex::new(Buffer::new());

/// Lines that wait to be written.
struct Buffer {
  bytes: Vec<u8>,
  /// Whether a thread promises to look at `due`.
  deferred: bool,
  left_out: u64,
  second: Option<Instant>,
  since: Option<Instant>,
  taken: usize,
}

impl Buffer {
  const fn new() -> Self {
    Self {
      bytes: Vec::new(),
      deferred: false,
      left_out: 0,
      second: None,
      since: None,
      taken: 0,
    }
  }

  fn push(&mut self, now: Instant, line: &[u8]) {
    let over = self
      .second
      .is_none_or(|second| now.duration_since(second) >= Duration::from_secs(1));
    if over {
      self.second = Some(now);
      self.taken = 0;
    }
    if self.taken + line.len() > RATE || self.bytes.len() + line.len() > MOST {
      self.left_out += 1;
      return;
    }
    if self.left_out > 0 {
      let count = std::mem::take(&mut self.left_out);
      self
        .bytes
        .extend_from_slice(format!("logs: {count} lines were left out.\n").as_bytes());
    }
    self.taken += line.len();
    self.bytes.extend_from_slice(line);
    self.since.get_or_insert(now);
    if !self.deferred || self.bytes.len() >= ENOUGH {
      self.write();
    }
  }

  /// Writes as much as standard output takes without blocking.
  fn write(&mut self) {
    let mut output = io::stdout().lock();
    while !self.bytes.is_empty() && is_writable() {
      let length = self.bytes.len().min(CHUNK);
      // Nobody is left to be told that the log cannot be written.
      let written = output.write_all(&self.bytes[..length]);
      let _ = written.and_then(|()| output.flush());
      self.bytes.drain(..length);
    }
    self.since = (!self.bytes.is_empty()).then(Instant::now);
  }
}

fn is_writable() -> bool {
  let output = io::stdout();
  let mut descriptors = [PollFd::new(output.as_fd(), PollFlags::POLLOUT)];
  poll(&mut descriptors, PollTimeout::ZERO).is_ok_and(|ready| ready > 0)
}

fn buffer() -> MutexGuard<'static, Buffer> {
  BUFFER.lock().unwrap_or_else(PoisonError::into_inner)
}

/// When lines are to be written at the latest. Whoever asks promises to call `flush_if_due` then.
pub fn due() -> Option<Instant> {
  let mut buffer = buffer();
  buffer.deferred = true;
  buffer.since.map(|since| since + WAIT)
}

/// Writes what waits.
pub fn flush() {
  buffer().write();
}

/// Writes what has waited long enough.
pub fn flush_if_due(now: Instant) {
  let mut buffer = buffer();
  if buffer.since.is_some_and(|since| now >= since + WAIT) {
    buffer.write();
  }
}

/// Takes the process's log records as lines.
#[derive(Debug)]
pub struct Lines(Format);

impl Lines {
  /// Lines of a format.
  pub fn new(format: Format) -> Self {
    Self(format)
  }
}

impl Append for Lines {
  fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
    let line = match self.0 {
      Format::Json => json(record),
      Format::Text => text(record),
    };
    buffer().push(Instant::now(), line.as_bytes());
    Ok(())
  }

  fn flush(&self) -> Result<(), Error> {
    flush();
    Ok(())
  }
}

/// Milliseconds since 1970 by the clock of the day, which may jump.
fn at(record: &Record) -> u64 {
  let at = record.time().duration_since(UNIX_EPOCH);
  at.map_or(0, |at| at.as_millis() as u64)
}

fn json(record: &Record) -> String {
  let mut line = Map::new();
  line.insert("at".into(), at(record).into());
  line.insert("level".into(), record.level().name().into());
  line.insert("message".into(), record.payload().to_string().into());
  for (key, value) in record.key_values().iter() {
    let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
    line.insert(key.to_string(), value);
  }
  let mut line = Value::Object(line).to_string();
  line.push('\n');
  line
}

fn text(record: &Record) -> String {
  let mut line = format!(
    "{} {} {}",
    at(record),
    record.level().name(),
    record.payload()
  );
  for (key, value) in record.key_values().iter() {
    // Writing to a text cannot fail.
    let _ = write!(line, " {key}={value}");
  }
  line.push('\n');
  line
}
