//! A thin link before a balancer: callers' uploads arrive a window at a time, faster than it carries.

use {
  crate::{
    balancing::{Balancer, balancer_with, carried},
    plain::Packet,
    support::{Sent, flow, found},
  },
  fallwell::datagram::{Event, Frame, Rate, frame::Purpose},
  std::time::Duration,
};

/// What a caller keeps under way.
const WINDOW: u32 = 16;

/// The bytes of data in a packet of an upload.
const DATA: u16 = 1200;

/// How often the balancer is told of the time.
const STEP: Duration = Duration::from_millis(5);

/// How much the link's own queue takes before it drops.
const QUEUE: Duration = Duration::from_millis(50);

fn thin() -> Rate {
  Rate::megabits(2.0).expect("a rate")
}

/// A link of bounded rate and queue, as it meets what a balancer sends.
struct Link {
  ahead: f64,
  arrived: Vec<Packet>,
  lost: usize,
  rate: Rate,
}

impl Link {
  fn new(rate: Rate) -> Self {
    Self {
      ahead: 0.0,
      arrived: Vec::new(),
      lost: 0,
      rate,
    }
  }

  fn pass(&mut self, time: Duration) {
    self.ahead = (self.ahead - self.rate.bytes_in(time)).max(0.0);
  }

  fn take(&mut self, sent: &[Sent]) {
    for sent in sent {
      let Sent::Frame(_, Frame::Carry { .. }, bytes) = sent else {
        continue;
      };
      let packet = Packet::read(bytes).expect("packet");
      if self.ahead > self.rate.bytes_in(QUEUE) {
        self.lost += 1;
        continue;
      }
      self.ahead += bytes.len() as f64;
      self.arrived.push(packet);
    }
  }
}

/// A balancer that knows where the flows of the ports 1 to `flows` are.
fn with_flows(link: Option<Rate>, flows: u16) -> Balancer {
  let mut balancer = balancer_with(link);
  for port in 1..=flows {
    balancer.frame(11, &found(flow(port, 1)), &[]);
  }
  balancer
}

fn upload(port: u16, number: u32) -> Packet {
  Packet {
    data: DATA,
    ..Packet::data(flow(port, 1), number, 100)
  }
}

/// Feeds a packet with all of its data.
fn send(balancer: &mut Balancer, packet: Packet) -> Vec<Sent> {
  let mut bytes = packet.write();
  bytes.resize(bytes.len() + usize::from(packet.data), 0);
  balancer.step(Event::Packet(&mut bytes))
}

/// Sends each flow's window at once.
fn send_windows(balancer: &mut Balancer, link: &mut Link, flows: u16) {
  for number in 0..WINDOW {
    for port in 1..=flows {
      link.take(&send(balancer, upload(port, number)));
    }
  }
}

fn pass(balancer: &mut Balancer, link: &mut Link, time: Duration) {
  for _ in 0..time.as_millis() / STEP.as_millis() {
    link.pass(STEP);
    link.take(&balancer.pass(STEP));
  }
}

#[test]
fn windows_that_arrive_at_once_leave_as_fast_as_the_link_carries() {
  let (mut balancer, mut link) = (with_flows(Some(thin()), 3), Link::new(thin()));
  send_windows(&mut balancer, &mut link, 3);
  pass(&mut balancer, &mut link, Duration::from_millis(400));
  assert_eq!((link.lost, link.arrived.len()), (0, 3 * WINDOW as usize));
}

#[test]
fn without_the_links_rate_a_thin_link_loses_most_of_them() {
  let (mut balancer, mut link) = (with_flows(None, 3), Link::new(thin()));
  send_windows(&mut balancer, &mut link, 3);
  pass(&mut balancer, &mut link, Duration::from_millis(400));
  assert!(link.lost > 30, "lost {}", link.lost);
}

#[test]
fn a_broad_link_holds_nothing_back() {
  let mut balancer = with_flows(Rate::megabits(1000.0), 3);
  for port in 1..=3 {
    for number in 0..WINDOW {
      let sent = send(&mut balancer, upload(port, number));
      assert_eq!(carried(&sent), [(11, Purpose::Deliver)]);
    }
  }
}

#[test]
fn small_and_opening_packets_go_before_large_ones_that_wait() {
  let (mut balancer, mut link) = (with_flows(Some(thin()), 3), Link::new(thin()));
  send_windows(&mut balancer, &mut link, 2);
  let small = Packet::data(flow(3, 1), 2, 100);
  let sent = balancer.packet(small);
  assert!(sent.iter().any(|sent| is_of(sent, small)), "{sent:?}");
  let opening = Packet::open(flow(4, 1), 0);
  let sent = balancer.packet(opening);
  assert!(sent.iter().any(|sent| is_of(sent, opening)), "{sent:?}");
}

fn is_of(sent: &Sent, packet: Packet) -> bool {
  matches!(sent, Sent::Frame(_, Frame::Carry { .. }, bytes) if *bytes == packet.write())
}

#[test]
fn a_packet_that_is_sent_again_while_it_waits_leaves_once() {
  let (mut balancer, mut link) = (with_flows(Some(thin()), 1), Link::new(thin()));
  send_windows(&mut balancer, &mut link, 1);
  for number in 12..WINDOW {
    link.take(&send(&mut balancer, upload(1, number)));
  }
  pass(&mut balancer, &mut link, Duration::from_millis(400));
  assert_eq!(link.arrived.len(), WINDOW as usize);
}

#[test]
fn what_waits_for_the_link_is_bounded() {
  let (mut balancer, mut link) = (with_flows(Some(thin()), 40), Link::new(thin()));
  send_windows(&mut balancer, &mut link, 40);
  pass(&mut balancer, &mut link, Duration::from_secs(10));
  assert_eq!(link.lost, 0);
  let packets = link.arrived.len();
  assert!(packets < 40 * WINDOW as usize, "sent {packets}");
}

#[test]
fn packets_of_a_flow_that_is_found_wait_for_the_link_too() {
  let (mut balancer, mut link) = (balancer_with(Some(thin())), Link::new(thin()));
  for number in 0..WINDOW {
    send(&mut balancer, upload(1, number));
  }
  pass(&mut balancer, &mut link, STEP);
  link.take(&balancer.frame(11, &found(flow(1, 1)), &[]));
  pass(&mut balancer, &mut link, Duration::from_millis(400));
  assert_eq!((link.lost, link.arrived.len()), (0, WINDOW as usize));
}

#[test]
fn questions_take_a_part_of_a_thin_link_only() {
  let mut balancer = balancer_with(Some(thin()));
  let mut questions = 0;
  for port in 1..=2000 {
    balancer.packet(Packet::data(flow(port, 1), 2, 100));
    let sent = balancer.pass(Duration::from_micros(500));
    let asks = |sent: &&Sent| matches!(sent, Sent::Frame(_, Frame::Ask { .. }, _));
    questions += sent.iter().filter(asks).count();
  }
  // An eighth of the link carries 488 of them in the second.
  assert!((100..600).contains(&questions), "asked {questions}");
}
