//! The admission queue: new flows wait in a balancer until a target can take them.

use {
  crate::{
    balancing::{
      Balancer, balancer, busy, carried, feed_status, is_reset, search, without_backlog,
    },
    plain::Packet,
    support::{Harness, Sent, configured, configured_first, elsewhere, flow, listed, update},
  },
  assert_matches::assert_matches,
  fallwell::{
    config::Presence,
    datagram::{
      Flow, Frame, Load,
      frame::{Handling, Refusal},
    },
  },
  std::time::Duration,
};

/// Makes both targets so busy that a new flow would wait too long.
fn saturate(balancer: &mut Balancer) {
  feed_status(balancer, 11, 1, busy(24));
  feed_status(balancer, 12, 1, busy(24));
}

/// Feeds the opening packet of a flow, which must be queued.
fn enqueue_flow(balancer: &mut Balancer, flow: Flow) {
  assert_eq!(balancer.packet(Packet::open(flow, 0)), []);
}

/// Feeds a transmission of the opening packet of `flow(port, 1)`, which must be queued.
fn enqueue(balancer: &mut Balancer, port: u16, attempt: u32) {
  assert_eq!(balancer.packet(Packet::open(flow(port, 1), attempt)), []);
}

/// The flows whose opening packets were sent to targets, in order.
fn opened_flows(sent: &[Sent]) -> Vec<Flow> {
  let frames = sent.iter().filter_map(|sent| match sent {
    Sent::Frame(
      _,
      Frame::Carry {
        handling: Handling::Open,
        ..
      },
      packet,
    ) => Some(Packet::read(packet).expect("packet").flow),
    _ => None,
  });
  frames.collect()
}

#[test]
fn a_flow_is_queued_if_all_targets_are_too_busy() {
  let mut balancer = balancer();
  saturate(&mut balancer);
  enqueue(&mut balancer, 1, 0);
  assert_eq!(
    without_backlog(balancer.pass(Duration::from_millis(300))),
    []
  );
  feed_status(&mut balancer, 12, 1, busy(1));
  let sent = balancer.pass(Duration::from_millis(10));
  assert_eq!(carried(&sent), [(12, Handling::Open)]);
}

#[test]
fn a_free_remote_target_is_preferred_to_a_long_wait() {
  let mut balancer = balancer();
  balancer.platform(update(Some(4), 5, &[elsewhere(5, "up-13", 13, "a")]));
  // For requests of this size, a remote target costs more than any wait in this test.
  let large = |work| Load {
    bytes: 60_000,
    work,
    ..Load::default()
  };
  for host in [11, 12] {
    feed_status(&mut balancer, host, 1, large(6));
  }
  feed_status(&mut balancer, 13, 1, large(0));
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert_matches!(carried(&sent)[..], [(11 | 12, Handling::Open)]);
  saturate(&mut balancer);
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert_eq!(carried(&sent), [(13, Handling::Open)]);
}

#[test]
fn a_flow_that_all_targets_refuse_is_queued() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let (first, _) = carried(&sent)[0];
  let refused = Frame::Refused(flow(1, 1), Refusal::Busy, busy(24));
  let sent = balancer.frame(first, &refused, &[]);
  let (second, _) = carried(&sent)[0];
  assert_eq!(balancer.frame(second, &refused, &[]), []);
  assert_eq!(
    without_backlog(balancer.pass(Duration::from_millis(100))),
    []
  );
  feed_status(&mut balancer, first, 1, busy(0));
  let sent = balancer.pass(Duration::from_millis(10));
  assert_eq!(carried(&sent), [(first, Handling::Open)]);
}

#[test]
fn the_newest_queued_flow_is_sent_first() {
  let mut balancer = balancer();
  saturate(&mut balancer);
  for port in 1..=3 {
    enqueue(&mut balancer, port, 0);
    balancer.pass(Duration::from_millis(10));
  }
  feed_status(&mut balancer, 12, 1, busy(0));
  let sent = balancer.pass(Duration::from_millis(10));
  let newest_first = [flow(3, 1), flow(2, 1), flow(1, 1)];
  assert_eq!(opened_flows(&sent), newest_first);
}

#[test]
fn queued_flows_of_a_higher_priority_are_sent_first() {
  let mut balancer = balancer();
  let routes = [(1, "a"), (2, "b"), (3, "a")];
  balancer.platform(update(Some(4), 5, &[configured_first(5, 2, &routes, 3)]));
  saturate(&mut balancer);
  assert_eq!(balancer.packet(Packet::open(flow(1, 3), 0)), []);
  balancer.pass(Duration::from_millis(10));
  enqueue(&mut balancer, 2, 0);
  // A new flow is not placed while others are queued.
  feed_status(&mut balancer, 12, 1, busy(0));
  enqueue(&mut balancer, 3, 0);
  let sent = balancer.pass(Duration::from_millis(10));
  assert_eq!(opened_flows(&sent), [flow(1, 3), flow(3, 1), flow(2, 1)]);
}

#[test]
fn a_route_of_a_higher_priority_may_wait_longer_at_its_target() {
  let mut balancer = balancer();
  let routes = [(1, "a"), (2, "b"), (3, "a")];
  balancer.platform(update(Some(4), 5, &[configured_first(5, 2, &routes, 3)]));
  // With 4 slots and 40 ms, another request is answered after 130 ms of the 200 ms allowed.
  feed_status(&mut balancer, 11, 1, busy(12));
  feed_status(&mut balancer, 12, 1, busy(12));
  enqueue(&mut balancer, 1, 0);
  enqueue_flow(&mut balancer, flow(2, 3));
  assert_eq!(
    opened_flows(&balancer.pass(Duration::from_millis(5))),
    [flow(2, 3)]
  );
}

#[test]
fn flows_beyond_the_queue_capacity_are_reset_at_once() {
  let mut balancer = balancer();
  saturate(&mut balancer);
  let mut resets = 0;
  for port in 1..=360 {
    let sent = balancer.packet(Packet::open(flow(port, 1), 0));
    assert_eq!(carried(&sent), []);
    resets += usize::from(is_reset(&sent, flow(port, 1), 0));
  }
  // 8 slots answer 200 requests of 40 ms per second; as many as they answer in the 1.4 s that
  // callers wait are queued.
  assert_eq!(resets, 80);
}

#[test]
fn a_flow_that_is_queued_too_long_is_reset() {
  let mut balancer = balancer();
  saturate(&mut balancer);
  enqueue(&mut balancer, 1, 0);
  balancer.pass(Duration::from_millis(200));
  enqueue(&mut balancer, 1, 1);
  balancer.pass(Duration::from_millis(400));
  enqueue(&mut balancer, 1, 2);
  // The caller gives up after 1.4 s, and an answer takes 20 ms to reach it.
  let sent = balancer.pass(Duration::from_millis(770));
  assert!(!is_reset(&sent, flow(1, 1), 0), "{sent:?}");
  let sent = balancer.pass(Duration::from_millis(10));
  assert!(is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

#[test]
fn a_queued_flow_that_another_balancer_may_have_opened_is_not_reset() {
  for attempts in [vec![0], vec![0, 1], vec![0, 2], vec![1, 2]] {
    let mut balancer = balancer();
    saturate(&mut balancer);
    for attempt in &attempts {
      enqueue(&mut balancer, 1, *attempt);
    }
    for _ in 0..40 {
      let sent = balancer.pass(Duration::from_millis(50));
      assert!(!is_reset(&sent, flow(1, 1), 0), "attempts {attempts:?}");
    }
  }
}

/// Fills the queue and checks that a further flow is reset at once.
fn fill_queue(balancer: &mut Balancer) {
  saturate(balancer);
  for port in 1001..=1280 {
    enqueue(balancer, port, 0);
  }
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert!(is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

#[test]
fn after_a_stall_a_flow_that_another_balancer_may_have_opened_is_not_reset() {
  let mut balancer = balancer();
  balancer.pass(Duration::ZERO);
  fill_queue(&mut balancer);
  // Packets that were received before the stall are read after it.
  balancer.now += Duration::from_millis(800);
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert!(!is_reset(&sent, flow(2, 1), 0), "{sent:?}");
}

#[test]
fn a_slow_start_is_not_a_stall() {
  let mut balancer = Harness::balancer(1, None);
  balancer.now += Duration::from_millis(400);
  let live = Presence::Live;
  let records = [
    configured(1, 1, &[(1, "a")]),
    listed(2, "up-11", 11, "a", live),
    listed(3, "up-12", 12, "a", live),
  ];
  balancer.platform(update(None, 3, &records));
  fill_queue(&mut balancer);
}

#[test]
fn an_idle_time_is_not_a_stall() {
  let mut balancer = balancer();
  for _ in 0..20 {
    balancer.pass(Duration::from_millis(100));
  }
  // Timers of work that comes after an idle time are not late.
  search(&mut balancer);
  fill_queue(&mut balancer);
}

#[test]
fn a_flow_refused_late_that_another_balancer_may_have_opened_is_not_reset() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  let (first, _) = carried(&sent)[0];
  fill_queue(&mut balancer);
  let refused = Frame::Refused(flow(2, 1), Refusal::Busy, busy(24));
  // The refusal comes so late that the caller may have retransmitted to another balancer.
  balancer.now += Duration::from_millis(170);
  let sent = balancer.frame(first, &refused, &[]);
  assert!(!is_reset(&sent, flow(2, 1), 0), "{sent:?}");
}

#[test]
fn a_queued_flow_that_another_balancer_opened_is_searched_for() {
  let mut balancer = balancer();
  saturate(&mut balancer);
  enqueue(&mut balancer, 1, 1);
  assert_eq!(search(&mut balancer), [11, 12]);
}

#[test]
fn a_queued_flow_is_not_opened_after_its_route_is_removed() {
  let mut balancer = balancer();
  saturate(&mut balancer);
  enqueue(&mut balancer, 1, 0);
  balancer.platform(update(Some(4), 5, &[configured(5, 2, &[(2, "b")])]));
  feed_status(&mut balancer, 12, 1, busy(0));
  assert_eq!(carried(&balancer.pass(Duration::from_millis(10))), []);
}

/// Feeds a grant from host 12, which has `work` requests. Returns the flow that uses it.
fn grant(balancer: &mut Balancer, work: u16) -> Vec<Flow> {
  let load = busy(work);
  opened_flows(&balancer.frame(12, &Frame::Grant { load, priority: 1 }, &[]))
}

#[test]
fn a_new_flow_waits_for_a_grant_while_others_are_queued() {
  let mut balancer = balancer();
  saturate(&mut balancer);
  enqueue(&mut balancer, 1, 0);
  // A status grants no slot: it may be out of date.
  feed_status(&mut balancer, 12, 1, busy(3));
  enqueue(&mut balancer, 2, 0);
  assert_eq!(grant(&mut balancer, 3), [flow(2, 1)]);
}

#[test]
fn a_grant_goes_to_the_newest_flow_that_is_answered_in_time() {
  let mut balancer = balancer();
  saturate(&mut balancer);
  for port in 1..=3 {
    enqueue(&mut balancer, port, 0);
    balancer.pass(Duration::from_millis(80));
  }
  // Only the newest flow can still be answered within 200 ms.
  assert_eq!(grant(&mut balancer, 3), [flow(3, 1)]);
  balancer.frame(12, &Frame::Opened(flow(3, 1), busy(24)), &[]);
  // The remaining ones are late, so that the oldest is sent first.
  balancer.pass(Duration::from_millis(100));
  assert_eq!(grant(&mut balancer, 3), [flow(1, 1)]);
  assert_eq!(grant(&mut balancer, 3), [flow(2, 1)]);
}

#[test]
fn the_age_of_a_flow_follows_from_the_number_of_its_transmission() {
  let mut balancer = balancer();
  saturate(&mut balancer);
  enqueue(&mut balancer, 1, 0);
  balancer.pass(Duration::from_millis(100));
  // The first transmission that comes here is the second, sent 200 ms after the first.
  enqueue(&mut balancer, 2, 1);
  balancer.pass(Duration::from_millis(200));
  assert_eq!(grant(&mut balancer, 3), [flow(2, 1)]);
  assert_eq!(grant(&mut balancer, 3), [flow(1, 1)]);
}

#[test]
fn flows_of_callers_that_may_have_given_up_are_sent_last() {
  let mut balancer = balancer();
  saturate(&mut balancer);
  enqueue(&mut balancer, 1, 0);
  balancer.pass(Duration::from_millis(600));
  enqueue(&mut balancer, 2, 0);
  // The first caller's last retransmission was due after 0.6 s, and 0.2 s later it may have given
  // up.
  balancer.pass(Duration::from_millis(300));
  assert_eq!(grant(&mut balancer, 3), [flow(2, 1)]);
  assert_eq!(grant(&mut balancer, 3), [flow(1, 1)]);
}

#[test]
fn a_flow_that_a_target_opened_late_leaves_the_queue() {
  let mut balancer = balancer();
  fill_queue(&mut balancer);
  balancer.frame(11, &Frame::Opened(flow(1001, 1), busy(24)), &[]);
  enqueue(&mut balancer, 1, 0);
}
