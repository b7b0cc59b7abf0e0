use {
  crate::datagram::{Flow, Head, Rate},
  std::{
    collections::{HashSet, VecDeque},
    time::{Duration, Instant},
  },
};

/// How much the link may have to send of what has left already: a link of 2 Mbit/s dropped all
/// beyond 50 ms (ten of each window of 16 packets arrived, by the agents' logs).
const AHEAD: Duration = Duration::from_millis(15);

/// The part of the link's rate that is counted on: the rest is for what the packet thread does not
/// send, and for the heads of the network's own.
const PART: f64 = 0.9;

/// From how many bytes of data on a packet waits for the link. Smaller ones, opening packets and
/// what processes tell each other go before.
const LARGE: u16 = 512;

/// What may wait at most: as much as the link carries in this time, after which callers send again.
const ROOM: Duration = Duration::from_millis(1500);

/// A caller's packet that waits for the link.
#[derive(Clone, Debug)]
pub struct Waiting {
  /// What it says.
  pub head: Head,
  /// The packet.
  pub packet: Vec<u8>,
}

/// What leaves over the instance's link, and the large packets of callers that wait for it. They
/// arrive a window at a time, as fast as the fabric sends them; what leaves faster than a thin link
/// carries is lost and sent again after 200 ms and more, and all others are lost with it.
#[derive(Debug)]
pub struct Egress {
  /// The bytes that have left and are not sent yet, at the time below.
  ahead: f64,
  at: Instant,
  bytes: usize,
  /// What waits: a packet that is sent again meanwhile need not wait twice.
  known: HashSet<(Flow, u32)>,
  queue: VecDeque<Waiting>,
  rate: Option<Rate>,
}

impl Egress {
  /// An idle link; nothing waits where its rate is not known.
  pub fn new(now: Instant, rate: Option<Rate>) -> Self {
    Self {
      ahead: 0.0,
      at: now,
      bytes: 0,
      known: HashSet::new(),
      queue: VecDeque::new(),
      rate,
    }
  }

  /// When the first packet may leave; none where none waits.
  pub fn deadline(&self) -> Option<Instant> {
    let rate = self.rate.filter(|_| !self.queue.is_empty())?;
    let over = (self.ahead - rate.bytes_in(AHEAD)).max(0.0);
    Some(self.at + Duration::from_secs_f64(over / (rate.bytes_in(Duration::from_secs(1)) * PART)))
  }

  /// Whether a packet has to wait.
  pub fn holds(&mut self, now: Instant, head: &Head) -> bool {
    self.paces(head) && (!self.queue.is_empty() || !self.is_open(now))
  }

  /// Whether a packet is one that waits while the link is busy.
  pub fn paces(&self, head: &Head) -> bool {
    self.rate.is_some() && head.data >= LARGE
  }

  /// How many packets wait.
  pub fn len(&self) -> usize {
    self.queue.len()
  }

  /// So many bytes leave.
  pub fn charge(&mut self, now: Instant, bytes: usize) {
    self.pass(now);
    self.ahead += bytes as f64;
  }

  /// Lets a packet wait; false where it cannot. One that waits already counts as taken.
  pub fn push(&mut self, head: Head, packet: &[u8]) -> bool {
    let most = self.rate.map_or(0.0, |rate| rate.bytes_in(ROOM));
    let key = (head.flow, head.sequence);
    if self.known.contains(&key) {
      return true;
    }
    if self.bytes as f64 >= most {
      return false;
    }
    self.known.insert(key);
    self.bytes += packet.len();
    let packet = packet.to_vec();
    self.queue.push_back(Waiting { head, packet });
    true
  }

  /// The next packet that may leave.
  pub fn pop(&mut self, now: Instant) -> Option<Waiting> {
    if !self.is_open(now) {
      return None;
    }
    let waiting = self.queue.pop_front()?;
    self.bytes -= waiting.packet.len();
    self
      .known
      .remove(&(waiting.head.flow, waiting.head.sequence));
    Some(waiting)
  }

  fn is_open(&mut self, now: Instant) -> bool {
    self.pass(now);
    self
      .rate
      .is_none_or(|rate| self.ahead <= rate.bytes_in(AHEAD))
  }

  fn pass(&mut self, now: Instant) {
    let Some(rate) = self.rate else {
      return;
    };
    let time = now.saturating_duration_since(self.at);
    self.at = self.at.max(now);
    self.ahead = (self.ahead - rate.bytes_in(time) * PART).max(0.0);
  }
}
