//! The platform's store, as far as the system reads it: range reads and watches over HTTP/1.1.

use std::{
  collections::BTreeMap,
  fmt::Write as _,
  io::{Read, Write},
  net::{SocketAddrV4, TcpListener, TcpStream},
  sync::{Arc, Mutex},
  thread,
  time::{Duration, Instant},
};

#[derive(Clone)]
struct Item {
  created: u64,
  revision: u64,
  value: String,
}

#[derive(Default)]
struct State {
  items: BTreeMap<String, Item>,
  /// Each change: its key and, unless it is a removal, the item.
  log: Vec<(String, Option<Item>)>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
  pub fn start(address: SocketAddrV4) -> std::io::Result<Self> {
    let store = Self::default();
    let listener = TcpListener::bind(address)?;
    let serving = store.clone();
    thread::spawn(move || {
      for stream in listener.incoming().flatten() {
        let store = serving.clone();
        thread::spawn(move || store.serve(stream));
      }
    });
    Ok(store)
  }

  /// Writes an item; the return is its acknowledgement.
  pub fn put(&self, key: &str, value: &str) {
    let mut state = self.0.lock().unwrap();
    let revision = state.log.len() as u64 + 1;
    let created = state.items.get(key).map_or(revision, |item| item.created);
    let item = Item {
      created,
      revision,
      value: base64(value.as_bytes()),
    };
    state.items.insert(key.into(), item.clone());
    state.log.push((key.into(), Some(item)));
  }

  /// Removes an item; the return is its acknowledgement.
  pub fn remove(&self, key: &str) {
    let mut state = self.0.lock().unwrap();
    state.items.remove(key);
    state.log.push((key.into(), None));
  }

  fn serve(&self, mut stream: TcpStream) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let mut head = Vec::new();
    let mut buffer = [0; 2048];
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
      match stream.read(&mut buffer) {
        Ok(length) if length > 0 => head.extend_from_slice(&buffer[..length]),
        _ => return,
      }
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let target = head.split(' ').nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let parameter = |name: &str| {
      let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
      pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
        .next()
    };
    let prefix = parameter("PathPrefix").unwrap_or_default();
    let (status, body) = match path {
      "/v1/kv-range" => ("200 OK", self.range(&prefix, parameter("after"))),
      "/v1/kv-watch" => {
        let number = |name| {
          parameter(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
        };
        (
          "200 OK",
          self.watch(
            &prefix,
            number("after"),
            Duration::from_millis(number("WaitMs")),
          ),
        )
      }
      _ => ("404 Not Found", String::from("{}")),
    };
    let _ = stream.write_all(
      format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
      )
      .as_bytes(),
    );
  }

  fn range(&self, prefix: &str, after: Option<String>) -> String {
    let state = self.0.lock().unwrap();
    let items = state
      .items
      .iter()
      .filter(|(key, _)| key.starts_with(prefix));
    let items = items.filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
    let items = items
      .map(|(key, item)| render(key, Some(item), 0))
      .collect::<Vec<_>>();
    let as_of = state.log.len();
    format!(
      "{{\"items\":[{}],\"HasMore\":false,\"AsOf\":{as_of}}}",
      items.join(",")
    )
  }

  fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
    let end = Instant::now() + wait;
    loop {
      {
        let state = self.0.lock().unwrap();
        let changes = state.log.iter().enumerate().skip(after as usize);
        let changes = changes.filter(|(_, (key, _))| key.starts_with(prefix));
        let events = changes
          .map(|(index, (key, item))| render(key, item.as_ref(), index as u64 + 1))
          .collect::<Vec<_>>();
        if !events.is_empty() || Instant::now() >= end {
          let as_of = state.log.len();
          return format!("{{\"events\":[{}],\"AsOf\":{as_of}}}", events.join(","));
        }
      }
      thread::sleep(Duration::from_millis(4));
    }
  }
}

fn render(key: &str, item: Option<&Item>, revision: u64) -> String {
  match item {
    Some(Item {
      created,
      revision,
      value,
    }) => format!(
      "{{\"PrivateKey\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\
       \"Created\":{created},\"Lease\":0}}"
    ),
    None => {
      format!("{{\"PrivateKey\":\"{key}\",\"Revision\":{revision},\"Removed\":true}}")
    }
  }
}

fn base64(bytes: &[u8]) -> String {
  const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  let mut text = String::new();
  for chunk in bytes.chunks(3) {
    let mut group = [0; 3];
    group[..chunk.len()].copy_from_slice(chunk);
    let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
    for digit in 0..4 {
      if digit <= chunk.len() {
        let _ = text.write_char(char::from(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63]));
      } else {
        text.push('=');
      }
    }
  }
  text
}
