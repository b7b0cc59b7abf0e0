//! A balancer places, finds again, and resets only what is proved to be nowhere.

use {
  crate::{
    plain::{Kind, Packet, Plain},
    support::{
      Sent, Stepped, configured, configured_first, elsewhere, flow, listed, news, peer, unlisted,
    },
  },
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    config::Presence,
    datagram::{
      Flow, Frame, Load, Machine, balancer,
      frame::{Known, Purpose, Refusal, Role, Status},
    },
  },
  std::time::Duration,
};

type Balancer = Stepped<balancer::Machine<Plain>>;

/// A balancer before two targets of service `a` and one of service `b`.
fn balancer() -> Balancer {
  let mut balancer = Stepped::balancer(1);
  let live = Presence::Live;
  let records = [
    configured(1, 1, &[(1, "a"), (2, "b")]),
    listed(2, "up-11", 11, "a", live),
    listed(3, "up-12", 12, "a", live),
    listed(4, "up-21", 21, "b", live),
  ];
  balancer.platform(news(None, 4, &records));
  for host in [11, 12, 21] {
    tell(&mut balancer, host, 1, Load::default());
  }
  balancer
}

fn tell(balancer: &mut Balancer, host: u8, incarnation: u32, load: Load) -> Vec<Sent> {
  let status = Frame::Status(Status {
    balancers: vec![],
    complete: Revision(1),
    confirmed_ms: None,
    data_centre: 0,
    incarnation,
    role: Role::Agent(load),
    stopping: false,
  });
  balancer.frame(host, &status, &[])
}

/// Who a packet was carried to, and what for.
fn carried(sent: &[Sent]) -> Vec<(u8, Purpose)> {
  let frames = sent.iter().filter_map(|sent| match sent {
    Sent::Frame(to, Frame::Carry { purpose, .. }, _) => Some((to.ip().octets()[3], *purpose)),
    _ => None,
  });
  frames.collect()
}

fn is_reset(sent: &[Sent], flow: Flow, sequence: u32) -> bool {
  sent.iter().any(|sent| {
    matches!(sent, Sent::Caller(packet)
      if packet.kind == Kind::Reset && packet.flow == flow && packet.sequence == sequence)
  })
}

/// Who was asked for the flow `flow(1, 1)`.
fn asked(sent: &[Sent]) -> Vec<u8> {
  let frames = sent.iter().filter_map(|sent| match sent {
    Sent::Frame(to, Frame::Ask { flows, .. }, _) if flows[..] == [(flow(1, 1), 100)] => {
      Some(to.ip().octets()[3])
    }
    _ => None,
  });
  frames.collect()
}

/// A packet of the flow `flow(1, 1)` that the balancer does not know, and who it asks.
fn search(balancer: &mut Balancer) -> Vec<u8> {
  assert_eq!(balancer.packet(Packet::data(flow(1, 1), 2, 100)), []);
  asked(&balancer.pass(Duration::ZERO))
}

/// The flow `flow(1, 1)` is not at the sender, who knows the list up to a revision.
fn absent(complete: u64) -> Frame {
  Frame::Absent {
    flows: vec![flow(1, 1)],
    known: Known {
      complete: Revision(complete),
      past: vec![],
    },
  }
}

fn busy(work: u16) -> Load {
  Load {
    work,
    ..Load::default()
  }
}

#[test]
fn a_flow_is_placed_where_it_waits_the_least() {
  let mut balancer = balancer();
  tell(&mut balancer, 11, 1, busy(4));
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert_eq!(carried(&sent), [(12, Purpose::Open)]);
}

#[test]
fn a_flow_stays_where_it_was_placed() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let (place, _) = carried(&sent)[0];
  balancer.frame(place, &Frame::Opened(flow(1, 1), Load::default()), &[]);
  tell(&mut balancer, place, 1, busy(9));
  let sent = balancer.packet(Packet::data(flow(1, 1), 2, 100));
  assert_eq!(carried(&sent), [(place, Purpose::Deliver)]);
}

#[test]
fn an_unanswered_opening_packet_goes_on_to_the_next_target() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let (first, _) = carried(&sent)[0];
  let sent = balancer.pass(Duration::from_millis(41));
  let [(second, Purpose::Open)] = carried(&sent)[..] else {
    panic!("{sent:?}");
  };
  assert_ne!(first, second);
}

#[test]
fn a_balancer_whose_answers_come_late_waits_longer_before_it_asks_the_next() {
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
  let [(second, Purpose::Open)] = carried(&sent)[..] else {
    panic!("{sent:?}");
  };
  assert_ne!(first, second);
}

#[test]
fn a_copy_of_an_opening_packet_goes_where_the_answer_is_still_awaited() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let first = carried(&sent)[0];
  balancer.now += Duration::from_millis(20);
  let sent = balancer.packet(Packet::open(flow(1, 1), 1));
  assert_eq!(carried(&sent), [first]);
}

#[test]
fn a_refused_opening_packet_goes_on_at_once() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let (first, _) = carried(&sent)[0];
  let frame = Frame::Refused(flow(1, 1), Refusal::Full, Load::default());
  let sent = balancer.frame(first, &frame, &[]);
  let [(second, Purpose::Open)] = carried(&sent)[..] else {
    panic!("{sent:?}");
  };
  assert_ne!(first, second);
}

/// Both targets have so much to do that a new flow waits too long.
fn full(balancer: &mut Balancer) {
  tell(balancer, 11, 1, busy(24));
  tell(balancer, 12, 1, busy(24));
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
  assert_eq!(balancer.pass(Duration::from_millis(300)), []);
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
  assert_eq!(balancer.pass(Duration::from_millis(100)), []);
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
  let sent = balancer.packet(Packet::open(flow(2, 3), 0));
  assert_matches!(carried(&sent)[..], [(11 | 12, Purpose::Open)]);
}

#[test]
fn what_cannot_be_served_in_time_by_all_targets_together_is_told_at_once() {
  let mut balancer = balancer();
  full(&mut balancer);
  let mut told = 0;
  for port in 1..=200 {
    let sent = balancer.packet(Packet::open(flow(port, 1), 0));
    assert_eq!(carried(&sent), []);
    told += usize::from(is_reset(&sent, flow(port, 1), 0));
  }
  // 8 slots answer 200 requests of 40 ms a second: what takes them 0.6 s may wait.
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
  let sent = balancer.pass(Duration::from_millis(310));
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
  for port in 1001..=1120 {
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
  let mut balancer = Stepped::balancer(1);
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

#[test]
fn an_unknown_flow_is_asked_for_at_all_its_targets() {
  let mut balancer = balancer();
  assert_eq!(search(&mut balancer), [11, 12]);
  // What came meanwhile waits for the answer.
  balancer.packet(Packet::data(flow(1, 1), 3, 100));
  let sent = balancer.frame(12, &Frame::Found(flow(1, 1)), &[]);
  assert_eq!(carried(&sent), [(12, Purpose::Deliver); 2]);
  let sent = balancer.packet(Packet::data(flow(1, 1), 4, 100));
  assert_eq!(carried(&sent), [(12, Purpose::Deliver)]);
}

#[test]
fn one_question_names_all_flows_that_are_searched_for() {
  let mut balancer = balancer();
  for port in 1..=100 {
    balancer.packet(Packet::data(flow(port, 1), 2, 100));
  }
  let sent = balancer.pass(Duration::ZERO);
  let named = sent.iter().map(|sent| match sent {
    Sent::Frame(_, Frame::Ask { flows, .. }, _) => flows.len(),
    other => panic!("{other:?}"),
  });
  assert_eq!(named.collect::<Vec<_>>(), [48, 48, 4, 48, 48, 4]);
}

#[test]
fn questions_leave_at_a_bounded_rate() {
  let mut balancer = balancer();
  let (mut datagrams, mut flows) = (0, 0);
  for port in 1..=2000 {
    balancer.packet(Packet::data(flow(port, 1), 2, 100));
    for sent in balancer.pass(Duration::from_micros(50)) {
      if let Sent::Frame(_, Frame::Ask { flows: named, .. }, _) = sent {
        datagrams += 1;
        flows += named.len();
      }
    }
  }
  // 0.1 s; each of both targets is asked for all flows.
  assert!(datagrams <= 270, "{datagrams} datagrams");
  assert!(flows > 3900, "{flows} flows");
}

#[test]
fn an_agent_that_cannot_say_is_given_the_smallest_packet_to_try() {
  let mut balancer = balancer();
  let small = Packet::data(flow(1, 1), 2, 100);
  let large = Packet {
    sequence: u32::MAX,
    ..small
  };
  balancer.packet(large);
  balancer.packet(small);
  let unsure = Frame::Unsure(vec![flow(1, 1)]);
  let sent = balancer.frame(11, &unsure, &[]);
  assert_matches!(
    &sent[..],
    [Sent::Frame(to, Frame::Carry { purpose: Purpose::Test, .. }, packet)]
      if *to == peer(11) && *packet == small.write()
  );
  // It is not given another one while it tries.
  assert_eq!(balancer.frame(11, &unsure, &[]), []);
  // It has the flow, and that packet: only the other one is delivered.
  let sent = balancer.frame(11, &Frame::Found(flow(1, 1)), &[]);
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Carry { purpose: Purpose::Deliver, .. }, packet)]
      if *packet == large.write()
  );
}

#[test]
fn targets_of_the_own_data_centre_are_asked_first() {
  let mut balancer = balancer();
  let far = [
    elsewhere(5, "up-13", 13, "a"),
    elsewhere(6, "up-14", 14, "a"),
  ];
  balancer.platform(news(Some(4), 6, &far));
  assert_eq!(search(&mut balancer), [11, 12]);
  balancer.frame(11, &absent(6), &[]);
  assert!(asked(&balancer.pass(Duration::ZERO)).is_empty());
  // All of them have said no.
  balancer.frame(12, &absent(6), &[]);
  assert_eq!(asked(&balancer.pass(Duration::from_millis(1))), [13, 14]);
  balancer.frame(13, &absent(6), &[]);
  let sent = balancer.frame(14, &absent(6), &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn silence_in_the_own_data_centre_delays_a_search_by_little() {
  let mut balancer = balancer();
  balancer.platform(news(Some(4), 5, &[elsewhere(5, "up-13", 13, "a")]));
  assert_eq!(search(&mut balancer), [11, 12]);
  assert_eq!(asked(&balancer.pass(Duration::from_millis(50))), [13]);
}

#[test]
fn an_agent_that_has_started_again_is_asked_at_once() {
  let mut balancer = balancer();
  search(&mut balancer);
  balancer.frame(11, &absent(4), &[]);
  balancer.pass(Duration::from_millis(10));
  tell(&mut balancer, 12, 2, Load::default());
  assert_eq!(asked(&balancer.pass(Duration::from_millis(1))), [12]);
}

#[test]
fn only_the_silent_are_asked_again_and_not_for_long() {
  let mut balancer = balancer();
  search(&mut balancer);
  balancer.frame(11, &absent(4), &[]);
  let mut again = Vec::new();
  for _ in 0..100 {
    again.extend(asked(&balancer.pass(Duration::from_millis(50))));
  }
  assert_eq!(again, [12; 3]);
  // The next packet of the flow asks anew.
  assert_eq!(search(&mut balancer), [11, 12]);
}

#[test]
fn a_flow_is_reset_once_all_its_targets_have_said_no() {
  let mut balancer = balancer();
  search(&mut balancer);
  let sent = balancer.frame(11, &absent(4), &[]);
  assert_eq!(sent, []);
  let sent = balancer.frame(12, &absent(4), &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn silence_is_no_proof() {
  let mut balancer = balancer();
  search(&mut balancer);
  balancer.frame(11, &absent(4), &[]);
  for _ in 0..20 {
    let sent = balancer.pass(Duration::from_millis(200));
    assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  }
}

#[test]
fn silence_of_a_target_that_left_the_list_is() {
  let mut balancer = balancer();
  balancer.platform(news(Some(4), 5, &[unlisted(5, "up-12")]));
  balancer.pass(Duration::from_secs(3));
  search(&mut balancer);
  balancer.frame(11, &absent(4), &[]);
  let sent = balancer.pass(Duration::from_millis(200));
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn a_target_that_left_the_list_but_speaks_is_asked() {
  let mut balancer = balancer();
  balancer.platform(news(Some(4), 5, &[unlisted(5, "up-12")]));
  balancer.pass(Duration::from_secs(3));
  tell(&mut balancer, 12, 1, Load::default());
  search(&mut balancer);
  let sent = balancer.frame(11, &absent(4), &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn a_packet_that_came_back_is_searched_for_elsewhere() {
  let mut balancer = balancer();
  balancer.frame(11, &Frame::Found(flow(1, 1)), &[]);
  let packet = Packet::data(flow(1, 1), 2, 100);
  balancer.packet(packet);
  balancer.frame(11, &absent(4), &packet.write());
  assert_eq!(asked(&balancer.pass(Duration::ZERO)), [12]);
}

#[test]
fn a_leaving_target_gets_no_new_flow() {
  let mut balancer = balancer();
  let leaving = listed(5, "up-11", 11, "a", Presence::Leaving);
  balancer.platform(news(Some(4), 5, &[leaving]));
  for port in 0..50 {
    let sent = balancer.packet(Packet::open(flow(port, 1), 0));
    assert!(!carried(&sent).contains(&(11, Purpose::Open)));
    balancer.pass(Duration::from_millis(50));
  }
}

#[test]
fn an_address_that_another_service_reuses_gets_none_of_the_firsts_flows() {
  let mut balancer = balancer();
  let records = [
    unlisted(5, "up-11"),
    listed(6, "up-31", 11, "b", Presence::Live),
  ];
  balancer.platform(news(Some(4), 6, &records));
  for port in 0..50 {
    let sent = balancer.packet(Packet::open(flow(port, 1), 0));
    assert!(!carried(&sent).contains(&(11, Purpose::Open)));
    balancer.pass(Duration::from_millis(50));
  }
}

#[test]
fn lapsed_targets_serve_for_a_moment_where_none_is_listed() {
  let mut balancer = balancer();
  let records = [unlisted(5, "up-11"), unlisted(6, "up-12")];
  balancer.platform(news(Some(4), 6, &records));
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert_matches!(carried(&sent)[..], [(11 | 12, Purpose::Open)]);
  balancer.pass(Duration::from_secs(3));
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert_eq!(carried(&sent), []);
}

#[test]
fn a_dropped_route_is_told_at_once() {
  let mut balancer = balancer();
  balancer.platform(news(Some(4), 5, &[configured(5, 2, &[(2, "b")])]));
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert!(is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

#[test]
fn a_route_that_may_have_come_unheard_is_not_reset() {
  let mut balancer = balancer();
  balancer.pass(Duration::from_secs(5));
  let sent = balancer.packet(Packet::open(flow(1, 9), 0));
  assert_eq!(sent, []);
}

#[test]
fn an_agent_that_has_started_again_hears_its_flows() {
  let mut balancer = balancer();
  balancer.frame(11, &Frame::Found(flow(1, 1)), &[]);
  let sent = tell(&mut balancer, 11, 2, Load::default());
  assert_matches!(
    &sent[..],
    [Sent::Frame(to, Frame::Held { flows, parts: 0, .. }, _)]
      if *to == peer(11) && flows[..] == [flow(1, 1)]
  );
}

#[test]
fn a_handover_goes_back_to_the_next_run_whole() {
  let mut balancer = balancer();
  for part in [1, 0] {
    let frame = Frame::Held {
      flows: vec![flow(part, 1)],
      part,
      parts: 2,
    };
    balancer.frame(11, &frame, &[]);
  }
  let sent = tell(&mut balancer, 11, 2, Load::default());
  let whole = |sent: &&Sent| matches!(sent, Sent::Frame(_, Frame::Held { parts: 2, .. }, _));
  assert_eq!(sent.iter().filter(whole).count(), 2, "{sent:?}");
}

#[test]
fn a_handover_with_a_part_lost_does_not_count_as_whole() {
  let mut balancer = balancer();
  let frame = Frame::Held {
    flows: vec![flow(1, 1)],
    part: 0,
    parts: 2,
  };
  balancer.frame(11, &frame, &[]);
  let sent = tell(&mut balancer, 11, 2, Load::default());
  assert_matches!(&sent[..], [Sent::Frame(_, Frame::Held { parts: 0, .. }, _)]);
}

#[test]
fn a_flow_that_a_silent_target_may_have_opened_is_not_reset() {
  let mut balancer = balancer();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let (first, _) = carried(&sent)[0];
  for host in [11, 12].into_iter().filter(|host| *host != first) {
    tell(&mut balancer, host, 1, busy(24));
  }
  let sent = balancer.pass(Duration::from_millis(41));
  assert!(!is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

#[test]
fn a_later_copy_of_an_opening_packet_is_not_reset() {
  let mut balancer = balancer();
  tell(&mut balancer, 11, 1, busy(24));
  tell(&mut balancer, 12, 1, busy(24));
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
fn no_of_agents_that_know_a_longer_list_is_no_proof() {
  let mut balancer = balancer();
  search(&mut balancer);
  balancer.frame(11, &absent(9), &[]);
  let sent = balancer.frame(12, &absent(9), &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  // It asks for what it has missed.
  let wanted = balancer.machine.spread().take_wanted();
  assert_eq!(wanted, Some((peer(11), Revision(4))));
}

#[test]
fn a_target_that_left_before_this_process_started_is_asked_too() {
  let mut balancer = balancer();
  search(&mut balancer);
  let absent = Frame::Absent {
    flows: vec![flow(1, 1)],
    known: Known {
      complete: Revision(4),
      past: vec![(crate::support::upstream(13), 100)],
    },
  };
  balancer.frame(11, &absent, &[]);
  let sent = balancer.frame(12, &absent, &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  assert_eq!(asked(&balancer.pass(Duration::from_millis(1))), [13]);
  let sent = balancer.frame(13, &absent, &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn nobody_to_be_asked_is_no_proof() {
  let mut balancer = Stepped::balancer(1);
  balancer.platform(news(None, 1, &[configured(1, 1, &[(1, "a")])]));
  let sent = balancer.packet(Packet::data(flow(1, 1), 2, 100));
  assert_eq!(sent, []);
}

#[test]
fn a_target_that_is_listed_during_a_search_is_asked_before_its_end() {
  let mut balancer = balancer();
  search(&mut balancer);
  balancer.frame(11, &absent(4), &[]);
  let listed = listed(5, "up-13", 13, "a", Presence::Live);
  balancer.platform(news(Some(4), 5, &[listed]));
  let sent = balancer.frame(12, &absent(4), &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  assert_eq!(asked(&balancer.pass(Duration::from_millis(1))), [13]);
}

#[test]
fn a_target_that_answers_far_too_soon_gets_no_flow_while_others_can_take_it() {
  let mut balancer = balancer();
  let live = Presence::Live;
  let records = [
    listed(5, "up-13", 13, "a", live),
    listed(6, "up-14", 14, "a", live),
  ];
  balancer.platform(news(Some(4), 6, &records));
  let load = |service_ms, work| Load {
    service_ms,
    work,
    ..Load::default()
  };
  for host in [11, 12, 13] {
    tell(&mut balancer, host, 1, load(40, 3));
  }
  // It fails at once what it is given, so that it never has any work.
  tell(&mut balancer, 14, 1, load(1, 0));
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert_matches!(carried(&sent)[..], [(11..=13, Purpose::Open)]);
  // Where the others are full, it is better than none.
  for host in [11, 12, 13] {
    tell(&mut balancer, host, 1, load(40, 30));
  }
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert_eq!(carried(&sent), [(14, Purpose::Open)]);
}

#[test]
fn a_search_copies_no_packet_and_holds_a_bounded_number() {
  let mut balancer = balancer();
  for _ in 0..10_000 {
    assert_eq!(balancer.packet(Packet::data(flow(1, 1), 2, 100)), []);
  }
  assert_eq!(asked(&balancer.pass(Duration::ZERO)), [11, 12]);
  let sent = balancer.frame(12, &Frame::Found(flow(1, 1)), &[]);
  assert_eq!(carried(&sent), [(12, Purpose::Deliver); 16]);
}

#[test]
fn all_searches_together_hold_a_bounded_number_of_bytes() {
  let mut balancer = balancer();
  let packet = Packet::data(flow(20_000, 1), 2, 100).write();
  let flows = 2 * (4 << 20) / (16 * packet.len());
  let flows = u16::try_from(flows).expect("a port each");
  for port in 20_000..20_000 + flows {
    for _ in 0..16 {
      balancer.packet(Packet::data(flow(port, 1), 2, 100));
    }
  }
  balancer.pass(Duration::ZERO);
  let mut delivered = 0;
  for port in 20_000..20_000 + flows {
    let sent = balancer.frame(12, &Frame::Found(flow(port, 1)), &[]);
    delivered += carried(&sent).len() * packet.len();
  }
  assert!(delivered > 4_000_000, "delivered {delivered}");
  assert!(delivered < 4_300_000, "delivered {delivered}");
}
