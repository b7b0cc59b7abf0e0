//! Choice of targets for new flows, and delivery to the agents that own them.

use {
  crate::{
    balancing::{balancer, busy, carried, feed_status, is_reset},
    plain::Packet,
    support::{configured, flow, listed, unlisted, update},
  },
  assert_matches::assert_matches,
  fallwell::{
    config::Presence,
    datagram::{
      Frame, Load,
      frame::{Handling, Refusal},
    },
  },
  std::time::Duration,
};

#[test]
fn a_flow_is_placed_on_the_target_with_the_shortest_wait() {
  let mut balancer = balancer();
  feed_status(&mut balancer, 11, 1, busy(4));
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert_eq!(carried(&sent), [(12, Handling::Open)]);
}

#[test]
fn a_flow_stays_where_it_was_placed() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let (host, _) = carried(&sent)[0];
  balancer.frame(host, &Frame::Opened(flow(1, 1), Load::default()), &[]);
  feed_status(&mut balancer, host, 1, busy(9));
  let sent = balancer.packet(Packet::data(flow(1, 1), 2, 100));
  assert_eq!(carried(&sent), [(host, Handling::Deliver)]);
}

#[test]
fn an_unanswered_opening_packet_is_sent_to_the_next_target() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let (first, _) = carried(&sent)[0];
  let sent = balancer.pass(Duration::from_millis(41));
  let [(second, Handling::Open)] = carried(&sent)[..] else {
    panic!("{sent:?}");
  };
  assert_ne!(first, second);
}

#[test]
fn late_answers_lengthen_the_open_timeout() {
  let mut balancer = balancer();
  for port in 1..=40 {
    let sent = balancer.packet(Packet::open(flow(port, 1), 0));
    let (first, _) = carried(&sent)[0];
    balancer.now += Duration::from_millis(35);
    balancer.frame(first, &Frame::Opened(flow(port, 1), Load::default()), &[]);
  }
  let sent = balancer.packet(Packet::open(flow(50, 1), 0));
  let (first, _) = carried(&sent)[0];
  assert_eq!(carried(&balancer.pass(Duration::from_millis(90))), []);
  let sent = balancer.pass(Duration::from_millis(30));
  let [(second, Handling::Open)] = carried(&sent)[..] else {
    panic!("{sent:?}");
  };
  assert_ne!(first, second);
}

#[test]
fn a_retransmitted_opening_packet_goes_to_the_pending_target() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let first = carried(&sent)[0];
  balancer.now += Duration::from_millis(20);
  let sent = balancer.packet(Packet::open(flow(1, 1), 1));
  assert_eq!(carried(&sent), [first]);
}

#[test]
fn a_refused_opening_packet_is_sent_to_the_next_target_at_once() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let (first, _) = carried(&sent)[0];
  let frame = Frame::Refused(flow(1, 1), Refusal::Full, Load::default());
  let sent = balancer.frame(first, &frame, &[]);
  let [(second, Handling::Open)] = carried(&sent)[..] else {
    panic!("{sent:?}");
  };
  assert_ne!(first, second);
}

#[test]
fn a_leaving_target_gets_no_new_flow() {
  let mut balancer = balancer();
  let leaving = listed(5, "up-11", 11, "a", Presence::Leaving);
  balancer.platform(update(Some(4), 5, &[leaving]));
  for port in 0..50 {
    let sent = balancer.packet(Packet::open(flow(port, 1), 0));
    assert!(!carried(&sent).contains(&(11, Handling::Open)));
    balancer.pass(Duration::from_millis(50));
  }
}

#[test]
fn an_address_reused_by_another_service_gets_no_flows_of_the_first() {
  let mut balancer = balancer();
  let records = [
    unlisted(5, "up-11"),
    listed(6, "up-31", 11, "b", Presence::Live),
  ];
  balancer.platform(update(Some(4), 6, &records));
  for port in 0..50 {
    let sent = balancer.packet(Packet::open(flow(port, 1), 0));
    assert!(!carried(&sent).contains(&(11, Handling::Open)));
    balancer.pass(Duration::from_millis(50));
  }
}

#[test]
fn removed_targets_are_used_briefly_if_none_is_listed() {
  let mut balancer = balancer();
  let records = [unlisted(5, "up-11"), unlisted(6, "up-12")];
  balancer.platform(update(Some(4), 6, &records));
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert_matches!(carried(&sent)[..], [(11 | 12, Handling::Open)]);
  balancer.pass(Duration::from_secs(3));
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert_eq!(carried(&sent), []);
}

#[test]
fn a_new_flow_to_a_removed_route_is_reset_at_once() {
  let mut balancer = balancer();
  balancer.platform(update(Some(4), 5, &[configured(5, 2, &[(2, "b")])]));
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert!(is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

#[test]
fn a_new_flow_to_an_unknown_route_is_not_reset_without_recent_confirmation() {
  let mut balancer = balancer();
  balancer.pass(Duration::from_secs(5));
  let sent = balancer.packet(Packet::open(flow(1, 9), 0));
  assert_eq!(sent, []);
}

#[test]
fn a_flow_that_an_unresponsive_target_may_have_opened_is_not_reset() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let (first, _) = carried(&sent)[0];
  for host in [11, 12].into_iter().filter(|host| *host != first) {
    feed_status(&mut balancer, host, 1, busy(24));
  }
  let sent = balancer.pass(Duration::from_millis(41));
  assert!(!is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

#[test]
fn a_retransmitted_opening_packet_is_not_reset() {
  let mut balancer = balancer();
  feed_status(&mut balancer, 11, 1, busy(24));
  feed_status(&mut balancer, 12, 1, busy(24));
  let sent = balancer.packet(Packet::open(flow(1, 1), 1));
  assert!(!is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

#[test]
fn an_open_flow_without_a_known_route_is_not_reset() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::data(flow(1, 9), 2, 100));
  assert_eq!(sent, []);
}

#[test]
fn a_fast_failing_target_gets_flows_only_if_all_others_are_full() {
  let mut balancer = balancer();
  let live = Presence::Live;
  let records = [
    listed(5, "up-13", 13, "a", live),
    listed(6, "up-14", 14, "a", live),
  ];
  balancer.platform(update(Some(4), 6, &records));
  let load = |service_ms, work| Load {
    service_ms,
    work,
    ..Load::default()
  };
  for host in [11, 12, 13] {
    feed_status(&mut balancer, host, 1, load(40, 3));
  }
  // A target that fails everything at once never has any work.
  feed_status(&mut balancer, 14, 1, load(1, 0));
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert_matches!(carried(&sent)[..], [(11..=13, Handling::Open)]);
  // It is still used if all others are full.
  for host in [11, 12, 13] {
    feed_status(&mut balancer, host, 1, load(40, 30));
  }
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert_eq!(carried(&sent), [(14, Handling::Open)]);
}
