use {
  crate::datagram::{Flow, Head, Rate},
  std::{
    collections::{HashSet, VecDeque},
    time::{Duration, Instant},
  },
};

/// The headers of a datagram below its payload, in bytes: IPv4, UDP and Ethernet. At a thousand small
/// datagrams a second they take a sixth of a link of 2 Mbit/s.
const HEADER_BYTES: usize = 46;

/// How much the balancer lets into the link's own queue, as sending time; the link drops packets if
/// that queue is full.
const LINK_QUEUE_MAX: Duration = Duration::from_millis(15);

/// The fraction of the link's rate that is used; the rest is for lower-layer headers and for
/// traffic of other threads.
const LINK_SHARE: f64 = 0.9;

/// From this many bytes of data on, a packet is queued while the link is busy. Smaller packets,
/// opening packets and frames between processes are not.
const LARGE_BYTES: u16 = 512;

/// The capacity of the queue, as sending time: a packet that is queued for longer has been
/// retransmitted by its caller.
const QUEUE_CAPACITY: Duration = Duration::from_millis(1500);

/// A caller's packet in the queue.
#[derive(Clone, Debug)]
pub struct QueuedPacket {
  /// Its parsed header.
  pub head: Head,
  /// Its bytes, with the header.
  pub packet: Vec<u8>,
}

/// Paces the large packets of callers to the rate of the instance's link. Callers send a window at
/// once; without pacing, a slow link drops most of it, and other packets with it, which are sent again
/// after 200 ms or more.
#[derive(Debug)]
pub struct Egress {
  /// The bytes in the link's own queue as of `updated`.
  link_bytes: f64,
  queue: VecDeque<QueuedPacket>,
  /// Flows and sequence numbers in the queue, to drop retransmissions.
  queued: HashSet<(Flow, u32)>,
  queued_bytes: usize,
  rate: Option<Rate>,
  updated: Instant,
}

impl Egress {
  /// An idle link; packets are not paced if `rate` is none.
  pub fn new(now: Instant, rate: Option<Rate>) -> Self {
    Self {
      link_bytes: 0.0,
      queue: VecDeque::new(),
      queued: HashSet::new(),
      queued_bytes: 0,
      rate,
      updated: now,
    }
  }

  /// When the first packet in the queue may be sent; none if the queue is empty.
  pub fn deadline(&self) -> Option<Instant> {
    let rate = self.rate.filter(|_| !self.queue.is_empty())?;
    let excess = (self.link_bytes - rate.bytes_in(LINK_QUEUE_MAX)).max(0.0);
    Some(
      self.updated
        + Duration::from_secs_f64(excess / (rate.bytes_in(Duration::from_secs(1)) * LINK_SHARE)),
    )
  }

  /// Whether a packet has to be queued now.
  pub fn must_queue(&mut self, now: Instant, head: &Head) -> bool {
    self.is_paced(head) && (!self.queue.is_empty() || !self.has_link_capacity(now))
  }

  /// Whether packets of this kind are queued while the link is busy.
  pub fn is_paced(&self, head: &Head) -> bool {
    self.rate.is_some() && head.data >= LARGE_BYTES
  }

  /// How many packets are queued.
  pub fn len(&self) -> usize {
    self.queue.len()
  }

  /// Accounts for datagrams that were sent, with the bytes of their payloads.
  pub fn charge(&mut self, now: Instant, datagrams: usize, bytes: usize) {
    self.update(now);
    self.link_bytes += (bytes + datagrams * HEADER_BYTES) as f64;
  }

  /// Queues a packet; false if the queue is full. A retransmission of a queued packet is dropped
  /// and counts as queued.
  pub fn push(&mut self, head: Head, packet: &[u8]) -> bool {
    let capacity = self.rate.map_or(0.0, |rate| rate.bytes_in(QUEUE_CAPACITY));
    let key = (head.flow, head.sequence);
    if self.queued.contains(&key) {
      return true;
    }
    if self.queued_bytes as f64 >= capacity {
      return false;
    }
    self.queued.insert(key);
    self.queued_bytes += packet.len();
    let packet = packet.to_vec();
    self.queue.push_back(QueuedPacket { head, packet });
    true
  }

  /// Takes the next packet off the queue; none if the link is busy or the queue is empty.
  pub fn pop(&mut self, now: Instant) -> Option<QueuedPacket> {
    if !self.has_link_capacity(now) {
      return None;
    }
    let next = self.queue.pop_front()?;
    self.queued_bytes -= next.packet.len();
    self.queued.remove(&(next.head.flow, next.head.sequence));
    Some(next)
  }

  fn has_link_capacity(&mut self, now: Instant) -> bool {
    self.update(now);
    self
      .rate
      .is_none_or(|rate| self.link_bytes <= rate.bytes_in(LINK_QUEUE_MAX))
  }

  fn update(&mut self, now: Instant) {
    let Some(rate) = self.rate else {
      return;
    };
    let time = now.saturating_duration_since(self.updated);
    self.updated = self.updated.max(now);
    self.link_bytes = (self.link_bytes - rate.bytes_in(time) * LINK_SHARE).max(0.0);
  }
}
