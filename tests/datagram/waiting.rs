//! New flows wait in a balancer until a target can take them.

use {
  crate::{
    balancing::{Balancer, balancer, busy, but_backlog, carried, is_reset, search, tell},
    plain::Packet,
    support::{Sent, Stepped, configured, configured_first, elsewhere, flow, listed, news},
  },
  assert_matches::assert_matches,
  fallwell::{
    config::Presence,
    datagram::{
      Flow, Frame, Load,
      frame::{Purpose, Refusal},
    },
  },
  std::time::Duration,
};

/// Both targets have so much to do that a new flow waits too long.
fn full(balancer: &mut Balancer) {
  tell(balancer, 11, 1, busy(24));
  tell(balancer, 12, 1, busy(24));
}

/// Sends the opening packet of a flow; nobody gets it at once.
fn park_at(balancer: &mut Balancer, flow: Flow) {
  assert_eq!(balancer.packet(Packet::open(flow, 0)), []);
}

/// Sends the opening packet of the flow `flow(port, 1)`; nobody gets it.
fn park(balancer: &mut Balancer, port: u16, copy: u32) {
  assert_eq!(balancer.packet(Packet::open(flow(port, 1), copy)), []);
}

/// The flows that were sent to targets, in order.
fn opened(sent: &[Sent]) -> Vec<Flow> {
  let frames = sent.iter().filter_map(|sent| match sent {
    Sent::Frame(
      _,
      Frame::Carry {
        purpose: Purpose::Open,
        ..
      },
      packet,
    ) => Some(Packet::read(packet).expect("packet").flow),
    _ => None,
  });
  frames.collect()
}

#[test]
fn what_would_wait_too_long_everywhere_waits_for_a_free_target() {
  let mut balancer = balancer();
  full(&mut balancer);
  park(&mut balancer, 1, 0);
  assert_eq!(but_backlog(balancer.pass(Duration::from_millis(300))), []);
  tell(&mut balancer, 12, 1, busy(1));
  let sent = balancer.pass(Duration::from_millis(10));
  assert_eq!(carried(&sent), [(12, Purpose::Open)]);
}

#[test]
fn a_free_target_elsewhere_is_better_than_waiting_too_long() {
  let mut balancer = balancer();
  balancer.platform(news(Some(4), 5, &[elsewhere(5, "up-13", 13, "a")]));
  // Crossing costs a request of so many bytes more than any wait here.
  let large = |work| Load {
    bytes: 60_000,
    work,
    ..Load::default()
  };
  for host in [11, 12] {
    tell(&mut balancer, host, 1, large(6));
  }
  tell(&mut balancer, 13, 1, large(0));
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert_matches!(carried(&sent)[..], [(11 | 12, Purpose::Open)]);
  full(&mut balancer);
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert_eq!(carried(&sent), [(13, Purpose::Open)]);
}

#[test]
fn a_flow_that_all_targets_refuse_waits_for_a_free_one() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let (first, _) = carried(&sent)[0];
  let refused = Frame::Refused(flow(1, 1), Refusal::Busy, busy(24));
  let sent = balancer.frame(first, &refused, &[]);
  let (second, _) = carried(&sent)[0];
  assert_eq!(balancer.frame(second, &refused, &[]), []);
  assert_eq!(but_backlog(balancer.pass(Duration::from_millis(100))), []);
  tell(&mut balancer, first, 1, busy(0));
  let sent = balancer.pass(Duration::from_millis(10));
  assert_eq!(carried(&sent), [(first, Purpose::Open)]);
}

#[test]
fn the_newest_flow_that_waits_goes_first() {
  let mut balancer = balancer();
  full(&mut balancer);
  for port in 1..=3 {
    park(&mut balancer, port, 0);
    balancer.pass(Duration::from_millis(10));
  }
  tell(&mut balancer, 12, 1, busy(0));
  let sent = balancer.pass(Duration::from_millis(10));
  let newest_first = [flow(3, 1), flow(2, 1), flow(1, 1)];
  assert_eq!(opened(&sent), newest_first);
}

#[test]
fn routes_of_a_higher_priority_go_first() {
  let mut balancer = balancer();
  let routes = [(1, "a"), (2, "b"), (3, "a")];
  balancer.platform(news(Some(4), 5, &[configured_first(5, 2, &routes, 3)]));
  full(&mut balancer);
  assert_eq!(balancer.packet(Packet::open(flow(1, 3), 0)), []);
  balancer.pass(Duration::from_millis(10));
  park(&mut balancer, 2, 0);
  // As long as one of them waits, no other is placed either.
  tell(&mut balancer, 12, 1, busy(0));
  park(&mut balancer, 3, 0);
  let sent = balancer.pass(Duration::from_millis(10));
  assert_eq!(opened(&sent), [flow(1, 3), flow(3, 1), flow(2, 1)]);
}

#[test]
fn a_route_of_a_higher_priority_may_wait_longer_at_its_target() {
  let mut balancer = balancer();
  let routes = [(1, "a"), (2, "b"), (3, "a")];
  balancer.platform(news(Some(4), 5, &[configured_first(5, 2, &routes, 3)]));
  // 4 slots and 40 ms: a request more is answered after 130 ms, of 200.
  tell(&mut balancer, 11, 1, busy(12));
  tell(&mut balancer, 12, 1, busy(12));
  park(&mut balancer, 1, 0);
  park_at(&mut balancer, flow(2, 3));
  assert_eq!(
    opened(&balancer.pass(Duration::from_millis(5))),
    [flow(2, 3)]
  );
}

#[test]
fn what_cannot_be_served_in_time_by_all_targets_together_is_told_at_once() {
  let mut balancer = balancer();
  full(&mut balancer);
  let mut told = 0;
  for port in 1..=360 {
    let sent = balancer.packet(Packet::open(flow(port, 1), 0));
    assert_eq!(carried(&sent), []);
    told += usize::from(is_reset(&sent, flow(port, 1), 0));
  }
  // 8 slots answer 200 requests of 40 ms a second: what takes them as long as callers wait, 1.4 s,
  // may wait.
  assert_eq!(told, 80);
}

#[test]
fn a_flow_that_waited_too_long_is_told() {
  let mut balancer = balancer();
  full(&mut balancer);
  park(&mut balancer, 1, 0);
  balancer.pass(Duration::from_millis(200));
  park(&mut balancer, 1, 1);
  balancer.pass(Duration::from_millis(400));
  park(&mut balancer, 1, 2);
  // An answer takes 20 ms to its caller, who gives the flow up after 1.4 s.
  let sent = balancer.pass(Duration::from_millis(770));
  assert!(!is_reset(&sent, flow(1, 1), 0), "{sent:?}");
  let sent = balancer.pass(Duration::from_millis(10));
  assert!(is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

#[test]
fn a_flow_that_waited_is_not_reset_where_another_balancer_may_have_opened_it() {
  for copies in [vec![0], vec![0, 1], vec![0, 2], vec![1, 2]] {
    let mut balancer = balancer();
    full(&mut balancer);
    for copy in &copies {
      park(&mut balancer, 1, *copy);
    }
    for _ in 0..40 {
      let sent = balancer.pass(Duration::from_millis(50));
      assert!(!is_reset(&sent, flow(1, 1), 0), "copies {copies:?}");
    }
  }
}

/// Fills the balancer with flows that wait, so that one more is told at once.
fn fill(balancer: &mut Balancer) {
  full(balancer);
  for port in 1001..=1280 {
    park(balancer, port, 0);
  }
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert!(is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

#[test]
fn a_balancer_that_stood_still_resets_no_flow_that_another_may_have_opened() {
  let mut balancer = balancer();
  balancer.pass(Duration::ZERO);
  fill(&mut balancer);
  // Packets of before are still there to be read when it goes on.
  balancer.now += Duration::from_millis(800);
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert!(!is_reset(&sent, flow(2, 1), 0), "{sent:?}");
}

#[test]
fn a_balancer_that_has_just_started_tells_at_once() {
  let mut balancer = Stepped::balancer(1, None);
  // What a start takes is no standstill.
  balancer.now += Duration::from_millis(400);
  let live = Presence::Live;
  let records = [
    configured(1, 1, &[(1, "a")]),
    listed(2, "up-11", 11, "a", live),
    listed(3, "up-12", 12, "a", live),
  ];
  balancer.platform(news(None, 3, &records));
  fill(&mut balancer);
}

#[test]
fn a_balancer_that_searched_and_kept_flows_waiting_tells_at_once() {
  let mut balancer = balancer();
  for _ in 0..20 {
    balancer.pass(Duration::from_millis(100));
  }
  // What had nothing to do for long is not late with what it is given now.
  search(&mut balancer);
  fill(&mut balancer);
}

#[test]
fn a_flow_that_was_refused_late_is_not_reset_where_another_balancer_may_have_opened_it() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  let (first, _) = carried(&sent)[0];
  fill(&mut balancer);
  let refused = Frame::Refused(flow(2, 1), Refusal::Busy, busy(24));
  // The answer takes so long that the next copy may have been sent meanwhile.
  balancer.now += Duration::from_millis(170);
  let sent = balancer.frame(first, &refused, &[]);
  assert!(!is_reset(&sent, flow(2, 1), 0), "{sent:?}");
}

#[test]
fn a_flow_that_waits_and_was_opened_elsewhere_is_searched_for() {
  let mut balancer = balancer();
  full(&mut balancer);
  park(&mut balancer, 1, 1);
  assert_eq!(search(&mut balancer), [11, 12]);
}

#[test]
fn a_flow_that_waits_is_not_opened_on_a_route_dropped_meanwhile() {
  let mut balancer = balancer();
  full(&mut balancer);
  park(&mut balancer, 1, 0);
  balancer.platform(news(Some(4), 5, &[configured(5, 2, &[(2, "b")])]));
  tell(&mut balancer, 12, 1, busy(0));
  assert_eq!(carried(&balancer.pass(Duration::from_millis(10))), []);
}

/// A place is granted where so many requests are; which flow takes it.
fn grant(balancer: &mut Balancer, work: u16) -> Vec<Flow> {
  opened(&balancer.frame(12, &Frame::Grant(busy(work)), &[]))
}

#[test]
fn a_new_flow_waits_for_a_granted_place_where_others_wait() {
  let mut balancer = balancer();
  full(&mut balancer);
  park(&mut balancer, 1, 0);
  // Nobody has granted it: this word may be older than a request takes.
  tell(&mut balancer, 12, 1, busy(3));
  park(&mut balancer, 2, 0);
  assert_eq!(grant(&mut balancer, 3), [flow(2, 1)]);
}

#[test]
fn a_flow_that_is_answered_in_time_goes_before_older_ones() {
  let mut balancer = balancer();
  full(&mut balancer);
  for port in 1..=3 {
    park(&mut balancer, port, 0);
    balancer.pass(Duration::from_millis(80));
  }
  // 40 ms of 200 are left for the newest, and of the others none are in time.
  assert_eq!(grant(&mut balancer, 3), [flow(3, 1)]);
  balancer.frame(12, &Frame::Opened(flow(3, 1), busy(24)), &[]);
  // All are late: the first goes first.
  balancer.pass(Duration::from_millis(100));
  assert_eq!(grant(&mut balancer, 3), [flow(1, 1)]);
  assert_eq!(grant(&mut balancer, 3), [flow(2, 1)]);
}

#[test]
fn the_copies_tell_how_long_a_caller_has_waited() {
  let mut balancer = balancer();
  full(&mut balancer);
  park(&mut balancer, 1, 0);
  balancer.pass(Duration::from_millis(100));
  // The first of its copies that came here is the second, 200 ms after the one before.
  park(&mut balancer, 2, 1);
  balancer.pass(Duration::from_millis(200));
  assert_eq!(grant(&mut balancer, 3), [flow(2, 1)]);
  assert_eq!(grant(&mut balancer, 3), [flow(1, 1)]);
}

#[test]
fn callers_who_may_have_gone_are_served_last() {
  let mut balancer = balancer();
  full(&mut balancer);
  park(&mut balancer, 1, 0);
  balancer.pass(Duration::from_millis(600));
  park(&mut balancer, 2, 0);
  // The last copy of the first caller was due 0.6 s after its first, and the next sign 0.2 s later.
  balancer.pass(Duration::from_millis(300));
  assert_eq!(grant(&mut balancer, 3), [flow(2, 1)]);
  assert_eq!(grant(&mut balancer, 3), [flow(1, 1)]);
}

#[test]
fn a_flow_opened_elsewhere_takes_no_room() {
  let mut balancer = balancer();
  fill(&mut balancer);
  balancer.frame(11, &Frame::Opened(flow(1001, 1), busy(24)), &[]);
  park(&mut balancer, 1, 0);
}
