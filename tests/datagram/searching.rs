//! Searches for unknown flows: a flow must be found wherever it is open, and be reset only if it is
//! proved to be lost.

use {
  crate::{
    balancing::{
      Balancer, absent, balancer, carried, feed_balancer_status, feed_status, history, is_reset,
      pass_with_statuses, queried, search,
    },
    plain::Packet,
    support::{
      Harness, Sent, configured, configured_weighted, elsewhere, flow, found, listed, peer,
      unlisted, unsure, update, upstream,
    },
  },
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    config::Presence,
    datagram::{
      Frame, Load, Machine,
      frame::{Handling, History, Known, Tombstone},
    },
  },
  std::{net::SocketAddrV4, time::Duration},
};

#[test]
fn all_targets_are_queried_about_an_unknown_flow() {
  let mut balancer = balancer();
  assert_eq!(search(&mut balancer), [11, 12]);
  // Packets are buffered during the search.
  balancer.packet(Packet::data(flow(1, 1), 3, 100));
  let sent = balancer.frame(12, &found(flow(1, 1)), &[]);
  assert_eq!(carried(&sent), [(12, Handling::Deliver); 2]);
  let sent = balancer.packet(Packet::data(flow(1, 1), 4, 100));
  assert_eq!(carried(&sent), [(12, Handling::Deliver)]);
}

#[test]
fn queries_of_all_searches_are_batched_by_agent() {
  let mut balancer = balancer();
  for port in 1..=100 {
    balancer.packet(Packet::data(flow(port, 1), 2, 100));
  }
  let sent = balancer.pass(Duration::ZERO);
  let named = sent.iter().map(|sent| match sent {
    Sent::Frame(_, Frame::Query { flows, .. }, _) => flows.len(),
    other => panic!("{other:?}"),
  });
  assert_eq!(named.collect::<Vec<_>>(), [48, 48, 4, 48, 48, 4]);
}

#[test]
fn queries_are_sent_at_a_bounded_rate() {
  let mut balancer = balancer();
  let (mut datagrams, mut flows) = (0, 0);
  for port in 1..=2000 {
    balancer.packet(Packet::data(flow(port, 1), 2, 100));
    for sent in balancer.pass(Duration::from_micros(50)) {
      if let Sent::Frame(_, Frame::Query { flows: named, .. }, _) = sent {
        datagrams += 1;
        flows += named.len();
      }
    }
  }
  // Two targets are queried about 2000 flows each within 0.1 s.
  assert!(datagrams <= 270, "{datagrams} datagrams");
  assert!(flows > 3900, "{flows} flows");
}

#[test]
fn an_unsure_agent_is_sent_the_smallest_packet_as_a_test() {
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
    [Sent::Frame(to, Frame::Carry { handling: Handling::Test, .. }, packet)]
      if *to == peer(11) && *packet == small.write()
  );
  // The agent is not sent another test before it has answered.
  assert_eq!(balancer.frame(11, &unsure, &[]), []);
  // The agent has received the test packet, so that only the other one is delivered.
  let sent = balancer.frame(11, &found(flow(1, 1)), &[]);
  assert_matches!(
    &sent[..],
    [Sent::Frame(_, Frame::Carry { handling: Handling::Deliver, .. }, packet)]
      if *packet == large.write()
  );
}

/// The hosts that were sent a test, directly or through another agent.
fn tested(sent: &[Sent]) -> Vec<u8> {
  let host = |agent: &SocketAddrV4| agent.ip().octets()[3];
  let tested = sent.iter().flat_map(|sent| match sent {
    Sent::Frame(
      to,
      Frame::Carry {
        handling: Handling::Test,
        ..
      },
      _,
    ) => vec![host(to)],
    Sent::Frame(_, Frame::FanOut { agents, .. }, _) => {
      agents.iter().map(|(agent, _)| host(agent)).collect()
    }
    _ => vec![],
  });
  tested.collect()
}

/// A balancer that searches for a flow of a service with targets on the hosts 11 to 15.
fn searching_five() -> Balancer {
  let mut balancer = balancer();
  let more = [13_u8, 14, 15].map(|host| {
    let (revision, id) = (u64::from(host) - 8, format!("up-{host}"));
    listed(revision, &id, host, "a", Presence::Live)
  });
  balancer.platform(update(Some(4), 7, &more));
  assert_eq!(search(&mut balancer), [11, 12, 13, 14, 15]);
  balancer
}

#[test]
fn one_agent_is_tested_while_others_have_not_answered() {
  let mut balancer = searching_five();
  let unsure = unsure(flow(1, 1));
  let mut all = Vec::new();
  for host in [11, 12, 13] {
    all.extend(tested(&balancer.frame(host, &unsure, &[])));
    all.extend(tested(&balancer.frame(host, &absent(7), &[])));
    all.extend(tested(&balancer.frame(host, &unsure, &[])));
  }
  assert_eq!(all, [11]);
  // A later search for the same flow does not test it again.
  for _ in 0..30 {
    all.extend(tested(&balancer.pass(Duration::from_millis(50))));
  }
  search(&mut balancer);
  all.extend(tested(&balancer.frame(12, &unsure, &[])));
  assert_eq!(all, [11]);
}

#[test]
fn all_unsure_agents_are_tested_once_the_others_have_answered() {
  let mut balancer = searching_five();
  let unsure = unsure(flow(1, 1));
  assert_eq!(tested(&balancer.frame(11, &unsure, &[])), [11]);
  assert!(tested(&balancer.frame(12, &unsure, &[])).is_empty());
  assert!(tested(&balancer.frame(13, &unsure, &[])).is_empty());
  assert!(tested(&balancer.frame(14, &absent(7), &[])).is_empty());
  assert_eq!(tested(&balancer.frame(15, &absent(7), &[])), [12, 13]);
}

#[test]
fn a_test_for_many_agents_crosses_the_link_once() {
  let mut balancer = balancer();
  let hosts = 30..90_u8;
  let more = hosts.clone().map(|host| {
    let (revision, id) = (u64::from(host), format!("up-{host}"));
    listed(revision, &id, host, "a", Presence::Live)
  });
  balancer.platform(update(Some(4), 100, &more.collect::<Vec<_>>()));
  search(&mut balancer);
  let unsure = unsure(flow(1, 1));
  let mut fan_outs = Vec::new();
  for host in [11, 12].into_iter().chain(hosts) {
    fan_outs.extend(balancer.frame(host, &unsure, &[]));
  }
  fan_outs.retain(|sent| matches!(sent, Sent::Frame(_, Frame::FanOut { .. }, _)));
  // One agent was tested alone before the others had answered.
  assert_eq!(tested(&fan_outs).len(), 61);
  assert_eq!(fan_outs.len(), 1);
}

#[test]
fn local_targets_are_queried_first() {
  let mut balancer = balancer();
  let remote = [
    elsewhere(5, "up-13", 13, "a"),
    elsewhere(6, "up-14", 14, "a"),
  ];
  balancer.platform(update(Some(4), 6, &remote));
  for host in [13, 14] {
    feed_status(&mut balancer, host, 1, Load::default());
    balancer.frame(host, &history(false), &[]);
  }
  assert_eq!(search(&mut balancer), [11, 12]);
  balancer.frame(11, &absent(6), &[]);
  assert!(queried(&balancer.pass(Duration::ZERO)).is_empty());
  // All local targets have denied the flow.
  balancer.frame(12, &absent(6), &[]);
  assert_eq!(queried(&balancer.pass(Duration::from_millis(1))), [13, 14]);
  balancer.frame(13, &absent(6), &[]);
  let sent = balancer.frame(14, &absent(6), &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn remote_targets_are_queried_soon_if_local_ones_do_not_answer() {
  let mut balancer = balancer();
  balancer.platform(update(Some(4), 5, &[elsewhere(5, "up-13", 13, "a")]));
  assert_eq!(search(&mut balancer), [11, 12]);
  assert_eq!(queried(&balancer.pass(Duration::from_millis(50))), [13]);
}

#[test]
fn a_restarted_agent_is_queried_at_once() {
  let mut balancer = balancer();
  search(&mut balancer);
  balancer.frame(11, &absent(4), &[]);
  balancer.pass(Duration::from_millis(10));
  feed_status(&mut balancer, 12, 2, Load::default());
  assert_eq!(queried(&balancer.pass(Duration::from_millis(1))), [12]);
}

#[test]
fn only_unanswered_queries_are_repeated_and_at_most_three_times() {
  let mut balancer = balancer();
  search(&mut balancer);
  balancer.frame(11, &absent(4), &[]);
  let mut repeated = Vec::new();
  for _ in 0..100 {
    repeated.extend(queried(&balancer.pass(Duration::from_millis(50))));
  }
  assert_eq!(repeated, [12; 3]);
  // The next packet of the flow starts a new search.
  assert_eq!(search(&mut balancer), [11, 12]);
}

#[test]
fn a_flow_is_reset_once_all_its_targets_have_denied_it() {
  let mut balancer = balancer();
  search(&mut balancer);
  let sent = balancer.frame(11, &absent(4), &[]);
  assert_eq!(sent, []);
  let sent = balancer.frame(12, &absent(4), &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn a_missing_answer_does_not_prove_a_flow_lost() {
  let mut balancer = balancer();
  search(&mut balancer);
  balancer.frame(11, &absent(4), &[]);
  for _ in 0..20 {
    let sent = balancer.pass(Duration::from_millis(200));
    assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  }
}

#[test]
fn a_missing_answer_of_a_removed_target_counts_as_denial() {
  let mut balancer = balancer();
  balancer.platform(update(Some(4), 5, &[unlisted(5, "up-12")]));
  pass_with_statuses(&mut balancer, 3);
  search(&mut balancer);
  balancer.frame(11, &absent(4), &[]);
  let sent = balancer.pass(Duration::from_millis(200));
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn a_removed_target_that_is_alive_must_answer() {
  let mut balancer = balancer();
  balancer.platform(update(Some(4), 5, &[unlisted(5, "up-12")]));
  balancer.pass(Duration::from_secs(3));
  feed_status(&mut balancer, 12, 1, Load::default());
  search(&mut balancer);
  let sent = balancer.frame(11, &absent(4), &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn a_returned_packet_starts_a_search_elsewhere() {
  let mut balancer = balancer();
  balancer.frame(11, &found(flow(1, 1)), &[]);
  let packet = Packet::data(flow(1, 1), 2, 100);
  balancer.packet(packet);
  balancer.frame(11, &absent(4), &packet.write());
  assert_eq!(queried(&balancer.pass(Duration::ZERO)), [12]);
}

#[test]
fn denials_by_agents_with_a_newer_target_list_do_not_prove_a_flow_lost() {
  let mut balancer = balancer();
  search(&mut balancer);
  balancer.frame(11, &absent(9), &[]);
  let sent = balancer.frame(12, &absent(9), &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  // The balancer pulls the update that it lacks.
  let wanted = balancer.machine.gossip().take_wanted();
  assert_eq!(wanted, Some((peer(11), Revision(4))));
}

#[test]
fn a_flow_without_known_targets_is_not_reset() {
  let mut balancer = Harness::balancer(1, None);
  balancer.platform(update(None, 1, &[configured(1, 1, &[(1, "a")])]));
  let sent = balancer.packet(Packet::data(flow(1, 1), 2, 100));
  assert_eq!(sent, []);
}

#[test]
fn a_target_listed_during_a_search_must_answer() {
  let mut balancer = balancer();
  search(&mut balancer);
  balancer.frame(11, &absent(4), &[]);
  let listed = listed(5, "up-13", 13, "a", Presence::Live);
  balancer.platform(update(Some(4), 5, &[listed]));
  let sent = balancer.frame(12, &absent(4), &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  assert_eq!(queried(&balancer.pass(Duration::from_millis(1))), [13]);
}

#[test]
fn a_search_buffers_a_bounded_number_of_packets() {
  let mut balancer = balancer();
  for _ in 0..10_000 {
    assert_eq!(balancer.packet(Packet::data(flow(1, 1), 2, 100)), []);
  }
  assert_eq!(queried(&balancer.pass(Duration::ZERO)), [11, 12]);
  let sent = balancer.frame(12, &found(flow(1, 1)), &[]);
  assert_eq!(carried(&sent), [(12, Handling::Deliver); 16]);
}

#[test]
fn all_searches_buffer_a_bounded_number_of_bytes() {
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
fn the_test_packet_is_the_smallest_received_so_far() {
  let mut balancer = balancer();
  let (large, small) = (
    Packet::data(flow(1, 1), 1 << 30, 100),
    Packet::data(flow(1, 1), 3, 100),
  );
  balancer.packet(large);
  // All are queried, and none has answered that it is unsure.
  balancer.pass(Duration::from_millis(60));
  balancer.packet(small);
  let sent = balancer.frame(12, &unsure(flow(1, 1)), &[]);
  let packets = sent.iter().filter_map(|sent| match sent {
    Sent::Frame(_, Frame::Carry { .. }, packet) => Some(packet.clone()),
    _ => None,
  });
  assert_eq!(packets.collect::<Vec<_>>(), [small.write()]);
}

/// Guards against a search that waits for good for an agent which is named for two services, so that
/// the flow's owner is never tested.
#[test]
fn an_agent_that_is_named_for_two_services_is_waited_for_once() {
  let mut balancer = balancer();
  let both = [(1, vec![("a", 1), ("b", 1)]), (2, vec![("b", 1)])];
  balancer.platform(update(Some(4), 5, &[configured_weighted(5, 2, &both)]));
  feed_balancer_status(&mut balancer, 2);
  let tombstone = |service: &str| Tombstone {
    address: upstream(13),
    age_ms: 100,
    service: service.parse().expect("a name"),
  };
  let history = History {
    known: true,
    parts: 1,
    synced: Revision(5),
    tombstones: vec![tombstone("a"), tombstone("b")],
    ..History::default()
  };
  balancer.frame(2, &Frame::History(history), &[]);
  search(&mut balancer);
  balancer.pass(Duration::from_millis(51));
  let unsure = unsure(flow(1, 1));
  let mut all = tested(&balancer.frame(11, &unsure, &[]));
  all.extend(tested(&balancer.frame(21, &absent(5), &[])));
  all.extend(tested(&balancer.frame(13, &unsure, &[])));
  all.extend(tested(&balancer.frame(12, &unsure, &[])));
  all.sort_unstable();
  assert_eq!(all, [11, 12, 13]);
}

#[test]
fn targets_that_an_unlisted_agent_names_belong_to_its_service() {
  let mut balancer = balancer();
  feed_status(&mut balancer, 22, 1, Load::default());
  search(&mut balancer);
  let denial = Frame::Absent {
    flows: vec![flow(1, 1)],
    known: Known {
      synced: Revision(4),
      service: "b".parse().expect("a name"),
      tombstones: vec![(upstream(23), 100)],
    },
    lost: false,
  };
  balancer.frame(22, &history(false), &[]);
  for host in [11, 12] {
    balancer.frame(host, &absent(4), &[]);
  }
  assert_eq!(queried(&balancer.pass(Duration::from_millis(1))), [22]);
  let sent = balancer.frame(22, &denial, &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}
