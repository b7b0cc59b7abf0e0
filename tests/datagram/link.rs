//! Pacing of a balancer's output on a slow link, to which callers upload a window at a time.

use {
  crate::{
    balancing::{Balancer, balancer_with, carried},
    plain::Packet,
    support::{Sent, flow, found},
  },
  fallwell::datagram::{Event, Frame, Rate, frame::Handling},
  std::time::Duration,
};

/// The number of packets that a caller has in flight.
const WINDOW: u32 = 16;

const DATA_BYTES: u16 = 1200;

/// The interval of the balancer's timer events.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The capacity of the link's own queue, as sending time.
const QUEUE_MAX: Duration = Duration::from_millis(50);

fn slow_rate() -> Rate {
  Rate::megabits(2.0).expect("a rate")
}

/// The headers of a datagram below its payload, in bytes.
const HEADER_BYTES: f64 = 46.0;

/// A link with a limited rate and queue that drops what exceeds them.
struct Link {
  queued_bytes: f64,
  arrived: Vec<Packet>,
  lost: usize,
  rate: Rate,
}

impl Link {
  fn new(rate: Rate) -> Self {
    Self {
      queued_bytes: 0.0,
      arrived: Vec::new(),
      lost: 0,
      rate,
    }
  }

  fn elapse(&mut self, time: Duration) {
    self.queued_bytes = (self.queued_bytes - self.rate.bytes_in(time)).max(0.0);
  }

  fn receive(&mut self, sent: &[Sent]) {
    for sent in sent {
      let Sent::Frame(_, Frame::Carry { .. }, bytes) = sent else {
        continue;
      };
      let packet = Packet::read(bytes).expect("packet");
      if self.queued_bytes > self.rate.bytes_in(QUEUE_MAX) {
        self.lost += 1;
        continue;
      }
      self.queued_bytes += bytes.len() as f64;
      self.arrived.push(packet);
    }
  }
}

/// A balancer that knows that the flows of the ports 1 to `flows` are at host 11.
fn with_flows(link: Option<Rate>, flows: u16) -> Balancer {
  let mut balancer = balancer_with(link);
  for port in 1..=flows {
    balancer.frame(11, &found(flow(port, 1)), &[]);
  }
  balancer
}

fn upload(port: u16, number: u32) -> Packet {
  Packet {
    data: DATA_BYTES,
    ..Packet::data(flow(port, 1), number, 100)
  }
}

/// Feeds a packet together with its data.
fn send(balancer: &mut Balancer, packet: Packet) -> Vec<Sent> {
  let mut bytes = packet.write();
  bytes.resize(bytes.len() + usize::from(packet.data), 0);
  balancer.step(Event::Packet(&mut bytes))
}

/// Feeds a full window of each flow at once.
fn send_windows(balancer: &mut Balancer, link: &mut Link, flows: u16) {
  for number in 0..WINDOW {
    for port in 1..=flows {
      link.receive(&send(balancer, upload(port, number)));
    }
  }
}

fn pass(balancer: &mut Balancer, link: &mut Link, time: Duration) {
  for _ in 0..time.as_millis() / POLL_INTERVAL.as_millis() {
    link.elapse(POLL_INTERVAL);
    link.receive(&balancer.pass(POLL_INTERVAL));
  }
}

#[test]
fn bursts_are_paced_to_the_rate_of_the_link() {
  let (mut balancer, mut link) = (with_flows(Some(slow_rate()), 3), Link::new(slow_rate()));
  send_windows(&mut balancer, &mut link, 3);
  pass(&mut balancer, &mut link, Duration::from_millis(400));
  assert_eq!((link.lost, link.arrived.len()), (0, 3 * WINDOW as usize));
}

/// Guards against pacing by payloads alone: the headers of many small datagrams then overfill the
/// link, and it drops packets of all flows.
#[test]
fn the_headers_of_small_packets_leave_less_of_the_link_to_large_ones() {
  let (mut balancer, mut link) = (with_flows(Some(slow_rate()), 60), Link::new(slow_rate()));
  for round in 0..200 {
    for port in 1..=60 {
      let is_upload = round % 4 == 0 && port <= 3;
      let sent = if is_upload {
        send(&mut balancer, upload(port, round))
      } else if port % 10 == round as u16 % 10 {
        balancer.packet(Packet::data(flow(port, 1), round, 100))
      } else {
        Vec::new()
      };
      link.queued_bytes += HEADER_BYTES * sent.len() as f64;
      link.receive(&sent);
    }
    link.elapse(POLL_INTERVAL);
    let sent = balancer.pass(POLL_INTERVAL);
    link.queued_bytes += HEADER_BYTES * sent.len() as f64;
    link.receive(&sent);
  }
  assert_eq!(link.lost, 0);
}

#[test]
fn bursts_overflow_a_slow_link_of_unknown_rate() {
  let (mut balancer, mut link) = (with_flows(None, 3), Link::new(slow_rate()));
  send_windows(&mut balancer, &mut link, 3);
  pass(&mut balancer, &mut link, Duration::from_millis(400));
  assert!(link.lost > 30, "lost {}", link.lost);
}

#[test]
fn a_fast_link_delays_no_packets() {
  let mut balancer = with_flows(Rate::megabits(1000.0), 3);
  for port in 1..=3 {
    for number in 0..WINDOW {
      let sent = send(&mut balancer, upload(port, number));
      assert_eq!(carried(&sent), [(11, Handling::Deliver)]);
    }
  }
}

#[test]
fn small_and_opening_packets_overtake_queued_large_ones() {
  let (mut balancer, mut link) = (with_flows(Some(slow_rate()), 3), Link::new(slow_rate()));
  send_windows(&mut balancer, &mut link, 2);
  let small = Packet::data(flow(3, 1), 2, 100);
  let sent = balancer.packet(small);
  assert!(sent.iter().any(|sent| carries(sent, small)), "{sent:?}");
  let opening = Packet::open(flow(4, 1), 0);
  let sent = balancer.packet(opening);
  assert!(sent.iter().any(|sent| carries(sent, opening)), "{sent:?}");
}

fn carries(sent: &Sent, packet: Packet) -> bool {
  matches!(sent, Sent::Frame(_, Frame::Carry { .. }, bytes) if *bytes == packet.write())
}

#[test]
fn a_retransmission_of_a_queued_packet_is_dropped() {
  let (mut balancer, mut link) = (with_flows(Some(slow_rate()), 1), Link::new(slow_rate()));
  send_windows(&mut balancer, &mut link, 1);
  for number in 12..WINDOW {
    link.receive(&send(&mut balancer, upload(1, number)));
  }
  pass(&mut balancer, &mut link, Duration::from_millis(400));
  assert_eq!(link.arrived.len(), WINDOW as usize);
}

#[test]
fn the_egress_queue_is_bounded() {
  let (mut balancer, mut link) = (with_flows(Some(slow_rate()), 40), Link::new(slow_rate()));
  send_windows(&mut balancer, &mut link, 40);
  pass(&mut balancer, &mut link, Duration::from_secs(10));
  assert_eq!(link.lost, 0);
  let packets = link.arrived.len();
  assert!(packets < 40 * WINDOW as usize, "sent {packets}");
}

#[test]
fn buffered_packets_of_a_found_flow_are_paced() {
  let (mut balancer, mut link) = (balancer_with(Some(slow_rate())), Link::new(slow_rate()));
  for number in 0..WINDOW {
    send(&mut balancer, upload(1, number));
  }
  pass(&mut balancer, &mut link, POLL_INTERVAL);
  link.receive(&balancer.frame(11, &found(flow(1, 1)), &[]));
  pass(&mut balancer, &mut link, Duration::from_millis(400));
  assert_eq!((link.lost, link.arrived.len()), (0, WINDOW as usize));
}

#[test]
fn queries_take_only_a_fraction_of_a_slow_link() {
  let mut balancer = balancer_with(Some(slow_rate()));
  let mut queries = 0;
  for port in 1..=2000 {
    balancer.packet(Packet::data(flow(port, 1), 2, 100));
    let sent = balancer.pass(Duration::from_micros(500));
    let is_query = |sent: &&Sent| matches!(sent, Sent::Frame(_, Frame::Query { .. }, _));
    queries += sent.iter().filter(is_query).count();
  }
  // An eighth of the link carries 488 queries in this second.
  assert!((100..600).contains(&queries), "sent {queries} queries");
}
