//! A balancer finds flows that it does not know, and resets only what is proved to be nowhere.

use {
  crate::{
    balancing::{Balancer, absent, asked, balancer, carried, is_reset, search, tell},
    plain::Packet,
    support::{
      Sent, Stepped, configured, elsewhere, flow, found, listed, news, peer, unlisted, unsure,
    },
  },
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    config::Presence,
    datagram::{Frame, Load, Machine, frame::Purpose},
  },
  std::{net::SocketAddrV4, time::Duration},
};

#[test]
fn an_unknown_flow_is_asked_for_at_all_its_targets() {
  let mut balancer = balancer();
  assert_eq!(search(&mut balancer), [11, 12]);
  // What came meanwhile waits for the answer.
  balancer.packet(Packet::data(flow(1, 1), 3, 100));
  let sent = balancer.frame(12, &found(flow(1, 1)), &[]);
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
  let unsure = unsure(flow(1, 1));
  let sent = balancer.frame(11, &unsure, &[]);
  assert_matches!(
    &sent[..],
    [Sent::Frame(to, Frame::Carry { purpose: Purpose::Test, .. }, packet)]
      if *to == peer(11) && *packet == small.write()
  );
  // It is not given another one while it tries.
  assert_eq!(balancer.frame(11, &unsure, &[]), []);
  // It has the flow, and that packet: only the other one is delivered.
  let sent = balancer.frame(11, &found(flow(1, 1)), &[]);
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Carry { purpose: Purpose::Deliver, .. }, packet)]
      if *packet == large.write()
  );
}

/// Which hosts were given a packet to try.
/// Who is given a packet to try, by the balancer or through another agent.
fn tried(sent: &[Sent]) -> Vec<u8> {
  let host = |agent: &SocketAddrV4| agent.ip().octets()[3];
  let tried = sent.iter().flat_map(|sent| match sent {
    Sent::Frame(
      to,
      Frame::Carry {
        purpose: Purpose::Test,
        ..
      },
      _,
    ) => vec![host(to)],
    Sent::Frame(_, Frame::Fan { agents, .. }, _) => {
      agents.iter().map(|(agent, _)| host(agent)).collect()
    }
    _ => vec![],
  });
  tried.collect()
}

/// A balancer that searches for a flow of a service with targets at the hosts 11 to 15.
fn searching_five() -> Balancer {
  let mut balancer = balancer();
  let more = [13_u8, 14, 15].map(|host| {
    let (revision, id) = (u64::from(host) - 8, format!("up-{host}"));
    listed(revision, &id, host, "a", Presence::Live)
  });
  balancer.platform(news(Some(4), 7, &more));
  assert_eq!(search(&mut balancer), [11, 12, 13, 14, 15]);
  balancer
}

#[test]
fn one_packet_is_tried_while_an_agent_is_silent_that_may_have_the_flow() {
  let mut balancer = searching_five();
  let unsure = unsure(flow(1, 1));
  let mut all = Vec::new();
  for host in [11, 12, 13] {
    all.extend(tried(&balancer.frame(host, &unsure, &[])));
    all.extend(tried(&balancer.frame(host, &absent(7), &[])));
    all.extend(tried(&balancer.frame(host, &unsure, &[])));
  }
  assert_eq!(all, [11]);
  // Nor is another one by a search that the next packet of the flow begins.
  for _ in 0..30 {
    all.extend(tried(&balancer.pass(Duration::from_millis(50))));
  }
  search(&mut balancer);
  all.extend(tried(&balancer.frame(12, &unsure, &[])));
  assert_eq!(all, [11]);
}

#[test]
fn all_that_cannot_say_try_once_nobody_is_silent() {
  let mut balancer = searching_five();
  let unsure = unsure(flow(1, 1));
  assert_eq!(tried(&balancer.frame(11, &unsure, &[])), [11]);
  assert!(tried(&balancer.frame(12, &unsure, &[])).is_empty());
  assert!(tried(&balancer.frame(13, &unsure, &[])).is_empty());
  assert!(tried(&balancer.frame(14, &absent(7), &[])).is_empty());
  assert_eq!(tried(&balancer.frame(15, &absent(7), &[])), [12, 13]);
}

#[test]
fn a_packet_for_many_agents_crosses_the_link_once_for_some_dozens() {
  let mut balancer = balancer();
  let hosts = 30..90_u8;
  let more = hosts.clone().map(|host| {
    let (revision, id) = (u64::from(host), format!("up-{host}"));
    listed(revision, &id, host, "a", Presence::Live)
  });
  balancer.platform(news(Some(4), 100, &more.collect::<Vec<_>>()));
  search(&mut balancer);
  let unsure = unsure(flow(1, 1));
  let mut fans = Vec::new();
  for host in [11, 12].into_iter().chain(hosts) {
    fans.extend(balancer.frame(host, &unsure, &[]));
  }
  fans.retain(|sent| matches!(sent, Sent::Frame(_, Frame::Fan { .. }, _)));
  // One was tried alone while the others were silent.
  assert_eq!(tried(&fans).len(), 61);
  assert_eq!(fans.len(), 1);
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
  balancer.frame(11, &found(flow(1, 1)), &[]);
  let packet = Packet::data(flow(1, 1), 2, 100);
  balancer.packet(packet);
  balancer.frame(11, &absent(4), &packet.write());
  assert_eq!(asked(&balancer.pass(Duration::ZERO)), [12]);
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
fn nobody_to_be_asked_is_no_proof() {
  let mut balancer = Stepped::balancer(1, None);
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
fn a_search_copies_no_packet_and_holds_a_bounded_number() {
  let mut balancer = balancer();
  for _ in 0..10_000 {
    assert_eq!(balancer.packet(Packet::data(flow(1, 1), 2, 100)), []);
  }
  assert_eq!(asked(&balancer.pass(Duration::ZERO)), [11, 12]);
  let sent = balancer.frame(12, &found(flow(1, 1)), &[]);
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
    let sent = balancer.frame(12, &found(flow(port, 1)), &[]);
    delivered += carried(&sent).len() * packet.len();
  }
  assert!(delivered > 4_000_000, "delivered {delivered}");
  assert!(delivered < 4_300_000, "delivered {delivered}");
}

#[test]
fn the_smallest_packet_that_has_come_by_then_is_tried() {
  let mut balancer = balancer();
  let (large, small) = (
    Packet::data(flow(1, 1), 1 << 30, 100),
    Packet::data(flow(1, 1), 3, 100),
  );
  balancer.packet(large);
  // All are asked; nobody has said that it cannot say.
  balancer.pass(Duration::from_millis(60));
  balancer.packet(small);
  let sent = balancer.frame(12, &unsure(flow(1, 1)), &[]);
  let packets = sent.iter().filter_map(|sent| match sent {
    Sent::Frame(_, Frame::Carry { .. }, packet) => Some(packet.clone()),
    _ => None,
  });
  assert_eq!(packets.collect::<Vec<_>>(), [small.write()]);
}
