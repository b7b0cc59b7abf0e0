use {
  super::{fleet::Fleet, wait::until},
  fallwell::caller::Caller,
  std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
  },
};

/// One rider's open feed, read in a task of its own.
pub struct Feed {
  pub caller: Caller,
  state: Arc<State>,
}

#[derive(Default)]
struct State {
  beats: AtomicU64,
  ended: AtomicBool,
  foreign: AtomicBool,
  name: Mutex<Option<String>>,
}

/// Open feeds whose end is counted as a broken flow.
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

  /// How many have ended, by anything but the caller or the upstream.
  pub fn broken(&self) -> usize {
    self.0.iter().filter(|feed| feed.has_ended()).count()
  }

  /// Waits until each that has not ended has gone on for some beats.
  pub async fn go_on(&self, beats: u64) {
    let before = self.0.iter().map(Feed::beats).collect::<Vec<_>>();
    until("every feed goes on", || async {
      let went_on =
        |(feed, before): (&Feed, &u64)| feed.has_ended() || feed.beats() >= before + beats;
      self.0.iter().zip(&before).all(went_on)
    })
    .await;
  }

  /// Fails when a flow is broken or an answer was foreign; prints the figures.
  pub async fn assert_whole(&self, what: &str) {
    self.go_on(3).await;
    let foreign = self.0.iter().filter(|feed| feed.is_foreign()).count();
    let broken = self.broken();
    println!(
      "{what}: {} flows, {broken} broken, {foreign} foreign",
      self.0.len()
    );
    assert_eq!(broken, 0, "{what}: broken flows");
    assert_eq!(foreign, 0, "{what}: foreign answers");
  }
}

impl Feed {
  /// Opens a flow and a feed on it.
  pub async fn open(fleet: &Fleet, service: u16) -> Self {
    let caller = fleet.caller(service).await;
    let mut feed = caller.feed("/feed?interval_ms=50").await.expect("feed");
    let state = Arc::new(State::default());
    tokio::spawn({
      let state = Arc::clone(&state);
      async move {
        let mut text = String::new();
        while let Ok(Some(piece)) = feed.next().await {
          text.push_str(&String::from_utf8_lossy(&piece));
          while let Some(end) = text.find('\n') {
            state.take(&text[..end]);
            text.drain(..=end);
          }
        }
        state.ended.store(true, Ordering::Relaxed);
      }
    });
    let feed = Self { caller, state };
    until("a feed begins", || async {
      feed.beats() > 0 || feed.has_ended()
    })
    .await;
    feed
  }

  pub fn beats(&self) -> u64 {
    self.state.beats.load(Ordering::Relaxed)
  }

  pub fn has_ended(&self) -> bool {
    self.state.ended.load(Ordering::Relaxed)
  }

  pub fn is_foreign(&self) -> bool {
    self.state.foreign.load(Ordering::Relaxed)
  }

  /// The name of the upstream that speaks, service and target.
  pub fn name(&self) -> String {
    self.state.name.lock().unwrap().clone().expect("a name")
  }

  /// The target that speaks.
  pub fn target(&self) -> u32 {
    let name = self.name();
    let (_, target) = name.split_once('-').expect("a target");
    target.parse().expect("a target")
  }
}

impl State {
  /// Takes a line: a name that never changes, and a number that rises by one.
  fn take(&self, line: &str) {
    let (name, number) = line.split_once(' ').expect("name and number");
    let mut first = self.name.lock().unwrap();
    let known = first.get_or_insert_with(|| name.to_owned());
    let number: u64 = number.parse().expect("number");
    if known != name || number != self.beats.load(Ordering::Relaxed) {
      self.foreign.store(true, Ordering::Relaxed);
    }
    self.beats.fetch_add(1, Ordering::Relaxed);
  }
}
