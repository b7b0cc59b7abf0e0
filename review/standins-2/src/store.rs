//! The platform's store: linearizable reads and watches over HTTP/1.1. Each machine reaches it at an
//! address of its own, so that one machine's path can be cut.

use std::{
  collections::BTreeMap,
  io::{BufRead, BufReader, Write},
  net::{SocketAddrV4, TcpListener, TcpStream},
  sync::{
    Arc, Condvar, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
  },
  thread,
  time::{Duration, Instant},
};

/// How long the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The most items of a page.
const PAGE: usize = 50;

#[derive(Clone)]
struct Item {
  value: String,
  revision: u64,
  created: u64,
}

#[derive(Default)]
struct Inner {
  revision: u64,
  items: BTreeMap<String, Item>,
  /// All changes in order; none is forgotten in a run, which is shorter than the history is kept.
  log: Vec<(u64, String, Option<Item>)>,
}

#[derive(Default)]
pub struct Store {
  inner: Mutex<Inner>,
  changed: Condvar,
}

/// One machine's path to the store.
#[derive(Default)]
pub struct Path {
  cut: AtomicBool,
  calls: AtomicU64,
}

impl Path {
  /// Cuts the path in both directions, silently; also what is under way.
  pub fn set_cut(&self, cut: bool) {
    self.cut.store(cut, Ordering::SeqCst);
  }

  pub fn is_cut(&self) -> bool {
    self.cut.load(Ordering::SeqCst)
  }

  /// How many calls the machine has sent.
  pub fn calls(&self) -> u64 {
    self.calls.load(Ordering::SeqCst)
  }
}

impl Store {
  fn inner(&self) -> MutexGuard<'_, Inner> {
    self.inner.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Writes a value; it is acknowledged when this returns.
  pub fn put(&self, key: &str, json: &str) {
    let mut inner = self.inner();
    inner.revision += 1;
    let revision = inner.revision;
    let created = inner.items.get(key).map_or(revision, |item| item.created);
    let item = Item {
      value: base64(json.as_bytes()),
      revision,
      created,
    };
    inner.items.insert(key.to_owned(), item.clone());
    inner.log.push((revision, key.to_owned(), Some(item)));
    self.changed.notify_all();
  }

  pub fn remove(&self, key: &str) {
    let mut inner = self.inner();
    inner.revision += 1;
    let revision = inner.revision;
    inner.items.remove(key);
    inner.log.push((revision, key.to_owned(), None));
    self.changed.notify_all();
  }

  /// Serves one machine at an address, until the process ends.
  pub fn serve(self: &Arc<Self>, address: SocketAddrV4) -> Arc<Path> {
    let listener = TcpListener::bind(address).expect("address of the store");
    let path = Arc::new(Path::default());
    let (store, shared) = (Arc::clone(self), Arc::clone(&path));
    thread::spawn(move || {
      for stream in listener.incoming().flatten() {
        let (store, path) = (Arc::clone(&store), Arc::clone(&shared));
        thread::spawn(move || store.answer_all(stream, &path));
      }
    });
    path
  }

  fn answer_all(&self, mut stream: TcpStream, path: &Path) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    loop {
      let mut first = String::new();
      if !matches!(reader.read_line(&mut first), Ok(length) if length > 0) {
        return;
      }
      loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
          Ok(length) if length > 0 && line.trim().is_empty() => break,
          Ok(length) if length > 0 => {}
          _ => return,
        }
      }
      if path.is_cut() {
        // A cut says nothing; a connection that has lost bytes says nothing further.
        thread::sleep(Duration::from_secs(8));
        return;
      }
      path.calls.fetch_add(1, Ordering::SeqCst);
      let target = first.split(' ').nth(1).unwrap_or_default().to_owned();
      let (status, body) = self.answer(&target, path);
      thread::sleep(ANSWER_TIME);
      if path.is_cut() {
        thread::sleep(Duration::from_secs(8));
        return;
      }
      let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
      );
      if stream.write_all((head + &body).as_bytes()).is_err() {
        return;
      }
    }
  }

  fn answer(&self, target: &str, path: &Path) -> (&'static str, String) {
    let (call, query) = target.split_once('?').unwrap_or((target, ""));
    let parameter = |name: &str| {
      let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
      pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    let prefix = parameter("PathPrefix").unwrap_or_default();
    match call {
      "/v1/kv-range" => (
        "200 OK",
        self.range(prefix, parameter("after").unwrap_or_default()),
      ),
      "/v1/kv-watch" => {
        let number = |name| parameter(name).and_then(|text| text.parse::<u64>().ok());
        let wait = number("WaitMs").unwrap_or(0).min(30_000);
        let after = number("after").unwrap_or(0);
        (
          "200 OK",
          self.watch(prefix, after, Duration::from_millis(wait), path),
        )
      }
      _ => ("404 Not Found", String::new()),
    }
  }

  fn range(&self, prefix: &str, after: &str) -> String {
    let inner = self.inner();
    let matching = inner.items.iter();
    let matching = matching.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
    let mut items = matching
      .map(|(key, item)| show(key, Some(item), 0))
      .collect::<Vec<_>>();
    let more = items.len() > PAGE;
    items.truncate(PAGE);
    format!(
      "{{\"items\":[{}],\"HasMore\":{more},\"AsOf\":{}}}",
      items.join(","),
      inner.revision
    )
  }

  fn watch(&self, prefix: &str, after: u64, wait: Duration, path: &Path) -> String {
    let end = Instant::now() + wait;
    let mut inner = self.inner();
    loop {
      let events = inner.log.iter();
      let events = events.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
      let events = events
        .map(|(revision, key, item)| show(key, item.as_ref(), *revision))
        .collect::<Vec<_>>();
      let left = end.saturating_duration_since(Instant::now());
      if !events.is_empty() || left.is_zero() || path.is_cut() {
        return format!(
          "{{\"events\":[{}],\"AsOf\":{}}}",
          events.join(","),
          inner.revision
        );
      }
      let part = left.min(Duration::from_millis(50));
      inner = self
        .changed
        .wait_timeout(inner, part)
        .unwrap_or_else(PoisonError::into_inner)
        .0;
    }
  }
}

fn show(key: &str, item: Option<&Item>, revision: u64) -> String {
  match item {
    Some(item) => format!(
      "{{\"PrivateKey\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"Created\":{},\"Lease\":0}}",
      item.value, item.revision, item.created
    ),
    None => format!("{{\"PrivateKey\":\"{key}\",\"Revision\":{revision},\"Removed\":true}}"),
  }
}

fn base64(bytes: &[u8]) -> String {
  const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  let mut out = String::new();
  for part in bytes.chunks(3) {
    let word = u32::from(part[0]) << 16
      | u32::from(*part.get(1).unwrap_or(&0)) << 8
      | u32::from(*part.get(2).unwrap_or(&0));
    for digit in 0..4 {
      if digit > part.len() {
        out.push('=');
      } else {
        out.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char);
      }
    }
  }
  out
}
