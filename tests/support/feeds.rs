//! Streaming answers (feeds) that a test keeps open to detect broken flows.

use {
  super::{fleet::Fleet, wait::until},
  fallwell::caller::Caller,
  std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
  },
};

/// A feed on a flow of its own, read in a background task.
pub struct Feed {
  pub caller: Caller,
  state: Arc<State>,
}

#[derive(Default)]
struct State {
  lines: AtomicU64,
  ended: AtomicBool,
  corrupt: AtomicBool,
  upstream: Mutex<Option<String>>,
}

/// Open feeds; one that ends counts as a broken flow.
pub struct Feeds(pub Vec<Feed>);

impl Feeds {
  /// Opens feeds to a service, each over a flow of its own.
  pub async fn open(fleet: &Fleet, service: u16, count: usize) -> Self {
    let mut feeds = Vec::new();
    for _ in 0..count {
      feeds.push(Feed::open(fleet, service).await);
    }
    Self(feeds)
  }

  /// How many feeds have ended.
  pub fn broken(&self) -> usize {
    self.0.iter().filter(|feed| feed.has_ended()).count()
  }

  /// Waits until every feed has received this many more lines or has ended.
  pub async fn wait_for_lines(&self, count: u64) {
    let before = self.0.iter().map(Feed::lines).collect::<Vec<_>>();
    until("every feed has received more lines", || async {
      let is_done =
        |(feed, before): (&Feed, &u64)| feed.has_ended() || feed.lines() >= before + count;
      self.0.iter().zip(&before).all(is_done)
    })
    .await;
  }

  /// Waits for three more lines of each feed, then asserts that no flow is broken and no feed is
  /// corrupt; prints both counts.
  pub async fn assert_intact(&self, scenario: &str) {
    self.wait_for_lines(3).await;
    let corrupt = self.0.iter().filter(|feed| feed.is_corrupt()).count();
    let broken = self.broken();
    println!(
      "{scenario}: {} flows, {broken} broken, {corrupt} corrupt",
      self.0.len()
    );
    assert_eq!(broken, 0, "{scenario}: broken flows");
    assert_eq!(corrupt, 0, "{scenario}: corrupt feeds");
  }
}

impl Feed {
  /// Opens a flow and a feed on it, and waits for the first line.
  pub async fn open(fleet: &Fleet, service: u16) -> Self {
    let caller = fleet.caller(service).await;
    let mut feed = caller.feed("/feed?interval_ms=50").await.expect("feed");
    let state = Arc::new(State::default());
    tokio::spawn({
      let state = Arc::clone(&state);
      async move {
        let mut buffer = String::new();
        while let Ok(Some(chunk)) = feed.next().await {
          buffer.push_str(&String::from_utf8_lossy(&chunk));
          while let Some(end) = buffer.find('\n') {
            state.record_line(&buffer[..end]);
            buffer.drain(..=end);
          }
        }
        state.ended.store(true, Ordering::Relaxed);
      }
    });
    let feed = Self { caller, state };
    until("a feed has begun or ended", || async {
      feed.lines() > 0 || feed.has_ended()
    })
    .await;
    feed
  }

  /// How many lines were received.
  pub fn lines(&self) -> u64 {
    self.state.lines.load(Ordering::Relaxed)
  }

  pub fn has_ended(&self) -> bool {
    self.state.ended.load(Ordering::Relaxed)
  }

  /// Whether a line came from another upstream or out of sequence.
  pub fn is_corrupt(&self) -> bool {
    self.state.corrupt.load(Ordering::Relaxed)
  }

  /// The name of the upstream that sends the feed, as `SERVICE-TARGET`.
  pub fn upstream(&self) -> String {
    self
      .state
      .upstream
      .lock()
      .unwrap()
      .clone()
      .expect("upstream's name")
  }

  /// The number of the target that sends the feed.
  pub fn target(&self) -> u32 {
    let name = self.upstream();
    let (_, target) = name.split_once('-').expect("service and target");
    target.parse().expect("target's number")
  }
}

impl State {
  /// Checks a line, which consists of the upstream's name and the line's number, counted from 0.
  fn record_line(&self, line: &str) {
    let (name, number) = line.split_once(' ').expect("name and number");
    let mut upstream = self.upstream.lock().unwrap();
    let expected = upstream.get_or_insert_with(|| name.to_owned());
    let number: u64 = number.parse().expect("number");
    if expected != name || number != self.lines.load(Ordering::Relaxed) {
      self.corrupt.store(true, Ordering::Relaxed);
    }
    self.lines.fetch_add(1, Ordering::Relaxed);
  }
}
