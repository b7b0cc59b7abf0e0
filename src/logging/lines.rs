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

/// The largest write, in bytes: a pipe that polls as writable accepts this much without blocking
/// (`PIPE_BUF` on Linux).
const WRITE_MAX: usize = 4096;

/// Buffered lines are written once they reach this size, in bytes.
const FLUSH_BYTES: usize = 2048;

/// How long a line may stay in the buffer.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// The capacity of the buffer, in bytes. Lines beyond it are dropped and counted.
const BUFFER_MAX: usize = 64 << 10;

/// The largest number of bytes logged per second. Lines beyond it are dropped and counted.
const BYTES_PER_SECOND: usize = 128 << 10;

/// The log buffer of the process.
static BUFFER: Mutex<Buffer> = Mutex::new(Buffer::new());

/// Lines that have not been written yet.
struct Buffer {
  bytes: Vec<u8>,
  /// Whether a thread flushes the buffer in time, so that lines need not be written at once.
  deferred: bool,
  dropped: u64,
  /// The start of the second that `window_bytes` counts in.
  window_start: Option<Instant>,
  /// When the oldest line was buffered, or when the last write left some unwritten.
  oldest: Option<Instant>,
  /// Bytes logged in the current second.
  window_bytes: usize,
}

impl Buffer {
  const fn new() -> Self {
    Self {
      bytes: Vec::new(),
      deferred: false,
      dropped: 0,
      window_start: None,
      oldest: None,
      window_bytes: 0,
    }
  }

  fn push(&mut self, now: Instant, line: &[u8]) {
    let is_expired = self
      .window_start
      .is_none_or(|window_start| now.duration_since(window_start) >= Duration::from_secs(1));
    if is_expired {
      self.window_start = Some(now);
      self.window_bytes = 0;
    }
    if self.window_bytes + line.len() > BYTES_PER_SECOND
      || self.bytes.len() + line.len() > BUFFER_MAX
    {
      self.dropped += 1;
      return;
    }
    if self.dropped > 0 {
      let count = std::mem::take(&mut self.dropped);
      self
        .bytes
        .extend_from_slice(format!("logs: {count} lines were left out.\n").as_bytes());
    }
    self.window_bytes += line.len();
    self.bytes.extend_from_slice(line);
    self.oldest.get_or_insert(now);
    if !self.deferred || self.bytes.len() >= FLUSH_BYTES {
      self.write();
    }
  }

  /// Writes as much as standard output accepts without blocking.
  fn write(&mut self) {
    let mut output = io::stdout().lock();
    while !self.bytes.is_empty() && is_writable() {
      let length = self.bytes.len().min(WRITE_MAX);
      // There is nowhere to report a failure of the log itself.
      let written = output.write_all(&self.bytes[..length]);
      let _ = written.and_then(|()| output.flush());
      self.bytes.drain(..length);
    }
    self.oldest = (!self.bytes.is_empty()).then(Instant::now);
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

/// The time at which the buffer has to be flushed; none if it is empty. From the first call on,
/// lines are no longer written at once: the caller has to call [`flush_if_due`] at that time.
pub fn defer_flush() -> Option<Instant> {
  let mut buffer = buffer();
  buffer.deferred = true;
  buffer.oldest.map(|oldest| oldest + FLUSH_DELAY)
}

/// Writes the buffered lines, as far as standard output accepts them without blocking.
pub fn flush() {
  buffer().write();
}

/// Writes the buffered lines if the oldest has been buffered for long enough.
pub fn flush_if_due(now: Instant) {
  let mut buffer = buffer();
  if buffer
    .oldest
    .is_some_and(|oldest| now >= oldest + FLUSH_DELAY)
  {
    buffer.write();
  }
}

/// Formats log records as lines and adds them to the buffer.
#[derive(Debug)]
pub struct LineAppender(Format);

impl LineAppender {
  /// Creates an appender for a format.
  pub fn new(format: Format) -> Self {
    Self(format)
  }
}

impl Append for LineAppender {
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

/// The time of a record, in milliseconds since the Unix epoch; 0 if the system clock is before it.
fn unix_ms(record: &Record) -> u64 {
  let unix_ms = record.time().duration_since(UNIX_EPOCH);
  unix_ms.map_or(0, |unix_ms| unix_ms.as_millis() as u64)
}

fn json(record: &Record) -> String {
  let mut line = Map::new();
  line.insert("at".into(), unix_ms(record).into());
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
    unix_ms(record),
    record.level().name(),
    record.payload()
  );
  for (key, value) in record.key_values().iter() {
    // Writing to a `String` cannot fail.
    let _ = write!(line, " {key}={value}");
  }
  line.push('\n');
  line
}
