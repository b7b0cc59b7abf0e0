//! A data centre that is closed gets no new flows, from either end; those that are open go on.

use {
  crate::{
    balancing::{Balancer, balancer, busy, carried, feed_status, is_reset},
    plain::Packet,
    support::{
      Agent, Sent, Stepped, agent, carry, closure, configured, digest, elsewhere, flow, listed,
      news, peer,
    },
  },
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    config::Presence,
    datagram::{
      Catalog, Frame, Load, News,
      frame::{Purpose, Refusal},
    },
  },
  std::time::{Duration, Instant},
};

/// The data centre of `listed`, and that of `elsewhere`.
const HERE: &str = "default";
const THERE: &str = "elsewhere";

fn is_closed(catalog: &Catalog) -> bool {
  catalog.closures().is_closed(HERE)
}

fn offer(catalog: &mut Catalog, news: News) -> bool {
  catalog.offer(Instant::now(), news).closures
}

#[test]
fn the_last_word_of_a_data_centre_counts_in_whatever_order_words_come() {
  let words = [
    closure(5, HERE, true),
    closure(6, HERE, false),
    closure(7, HERE, true),
  ];
  for order in [
    [0, 1, 2],
    [0, 2, 1],
    [1, 0, 2],
    [1, 2, 0],
    [2, 0, 1],
    [2, 1, 0],
  ] {
    let mut catalog = Catalog::default();
    for index in order {
      offer(&mut catalog, news(Some(4), 7, &words[index..=index]));
    }
    assert!(is_closed(&catalog), "{order:?}");
    offer(&mut catalog, news(Some(7), 8, &[closure(8, HERE, false)]));
    offer(&mut catalog, news(Some(4), 7, &words));
    assert!(!is_closed(&catalog), "{order:?}");
  }
}

#[test]
fn a_whole_list_without_it_opens_a_data_centre_and_an_older_one_does_not() {
  let mut catalog = Catalog::default();
  assert!(offer(
    &mut catalog,
    news(Some(0), 5, &[closure(5, HERE, true)])
  ));
  assert!(!offer(&mut catalog, news(None, 4, &[])));
  assert!(is_closed(&catalog));
  assert!(offer(&mut catalog, news(None, 6, &[])));
  assert!(!is_closed(&catalog));
  // Late news of the closing.
  assert!(!offer(
    &mut catalog,
    news(Some(4), 5, &[closure(5, HERE, true)])
  ));
  assert!(!is_closed(&catalog));
}

#[test]
fn a_process_that_knows_nothing_is_told_what_is_closed() {
  let mut teller = Catalog::default();
  let words = [closure(5, HERE, true), closure(6, THERE, false)];
  offer(&mut teller, news(Some(0), 6, &words));
  let mut young = Catalog::default();
  offer(&mut young, teller.since(Revision::default()));
  assert!(is_closed(&young));
  // What was opened while a process was away is told to it.
  let mut away = Catalog::default();
  offer(&mut away, news(Some(0), 4, &[closure(4, THERE, true)]));
  offer(&mut away, teller.since(Revision(4)));
  assert!(!away.closures().is_closed(THERE));
}

/// A balancer before two targets of service `a` in its own data centre and one elsewhere.
fn with_another() -> Balancer {
  let mut balancer = balancer();
  let records = [elsewhere(5, "up-13", 13, "a")];
  balancer.platform(news(Some(4), 5, &records));
  feed_status(&mut balancer, 13, 1, Load::default());
  balancer
}

fn close(balancer: &mut Balancer, after: u64, data_centre: &str, closed: bool) -> Vec<Sent> {
  let records = [closure(after + 1, data_centre, closed)];
  balancer.platform(news(Some(after), after + 1, &records))
}

#[test]
fn new_flows_go_to_no_target_of_a_closed_data_centre_and_open_ones_stay() {
  let mut balancer = with_another();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let (place, _) = carried(&sent)[0];
  balancer.frame(place, &Frame::Opened(flow(1, 1), Load::default()), &[]);
  close(&mut balancer, 5, HERE, true);
  for port in 2..20 {
    let sent = balancer.packet(Packet::open(flow(port, 1), 0));
    assert_eq!(carried(&sent), [(13, Purpose::Open)]);
    feed_status(&mut balancer, 13, 1, Load::default());
  }
  let sent = balancer.packet(Packet::data(flow(1, 1), 2, 100));
  assert_eq!(carried(&sent), [(place, Purpose::Deliver)]);
  close(&mut balancer, 6, HERE, false);
  let sent = balancer.packet(Packet::open(flow(30, 1), 0));
  assert_matches!(carried(&sent)[..], [(11 | 12, Purpose::Open)]);
}

#[test]
fn a_flow_that_waits_goes_to_another_data_centre_once_its_own_is_closed() {
  let mut balancer = with_another();
  for host in [11, 12, 13] {
    feed_status(&mut balancer, host, 1, busy(40));
  }
  assert_eq!(carried(&balancer.packet(Packet::open(flow(1, 1), 0))), []);
  close(&mut balancer, 5, HERE, true);
  feed_status(&mut balancer, 11, 1, Load::default());
  assert_eq!(carried(&balancer.pass(Duration::from_millis(6))), []);
  feed_status(&mut balancer, 13, 1, Load::default());
  let sent = balancer.pass(Duration::from_millis(6));
  assert_eq!(carried(&sent), [(13, Purpose::Open)]);
}

#[test]
fn callers_are_told_at_once_where_all_targets_are_closed() {
  let mut balancer = with_another();
  for host in [11, 12, 13] {
    feed_status(&mut balancer, host, 1, busy(40));
  }
  // One waits already, one comes.
  balancer.packet(Packet::open(flow(1, 1), 0));
  close(&mut balancer, 5, HERE, true);
  close(&mut balancer, 6, THERE, true);
  let sent = balancer.pass(Duration::from_millis(6));
  assert!(is_reset(&sent, flow(1, 1), 0), "{sent:?}");
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert!(is_reset(&sent, flow(2, 1), 0), "{sent:?}");
}

#[test]
fn a_balancer_that_has_not_heard_goes_elsewhere_by_the_word_of_an_agent() {
  let mut balancer = with_another();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let (place, _) = carried(&sent)[0];
  let refused = Frame::Refused(flow(1, 1), Refusal::Closed, Load::default());
  let sent = balancer.frame(place, &refused, &[]);
  assert_eq!(carried(&sent), [(13, Purpose::Open)]);
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert_eq!(carried(&sent), [(13, Purpose::Open)]);
  // The word does not outlast the list's by long.
  balancer.now += Duration::from_millis(1100);
  feed_status(&mut balancer, 11, 1, Load::default());
  let sent = balancer.packet(Packet::open(flow(3, 1), 0));
  assert_matches!(carried(&sent)[..], [(11 | 12, Purpose::Open)]);
}

/// A balancer that takes flows from a closed data centre after 1 s, before a target there and one
/// elsewhere; the platform's last word is so old when the data centre is closed.
fn closing(age: Duration) -> Balancer {
  let mut balancer = Stepped::closing(1, Duration::from_secs(2));
  let records = [
    configured(1, 1, &[(1, "a")]),
    listed(2, "up-11", 11, "a", Presence::Live),
    elsewhere(3, "up-13", 13, "a"),
  ];
  balancer.platform(news(None, 3, &records));
  balancer.pass(age);
  close(&mut balancer, 3, HERE, true);
  for host in [11, 13] {
    feed_status(&mut balancer, host, 1, Load::default());
  }
  balancer
}

#[test]
fn each_balancer_takes_its_flows_from_a_closed_data_centre_at_its_own_moment() {
  let mut balancer = closing(Duration::ZERO);
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert_eq!(carried(&sent), [(11, Purpose::Open)]);
  balancer.now += Duration::from_secs(1);
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert_eq!(carried(&sent), [(13, Purpose::Open)]);
}

#[test]
fn what_may_be_closed_for_long_is_closed_at_once() {
  let mut balancer = closing(Duration::from_secs(2));
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert_eq!(carried(&sent), [(13, Purpose::Open)]);
}

fn carry_to(agent: &mut Agent, purpose: Purpose, packet: Packet) -> Vec<Sent> {
  agent.frame(1, &carry(purpose), &packet.write())
}

#[test]
fn an_agent_in_a_closed_data_centre_takes_no_new_flow_and_says_so() {
  let mut agent = agent();
  carry_to(&mut agent, Purpose::Open, Packet::open(flow(1, 1), 0));
  let answer = Packet {
    sequence: 100,
    ..Packet::open(flow(1, 1), 1)
  };
  agent.packet(answer);
  let data = Packet::data(flow(1, 1), 2, 101);
  carry_to(&mut agent, Purpose::Deliver, data);
  agent.platform(news(Some(2), 3, &[closure(3, HERE, true)]));
  let sent = carry_to(&mut agent, Purpose::Open, Packet::open(flow(2, 1), 0));
  assert_matches!(
    &sent[..],
    [Sent::Frame(to, Frame::Refused(refused, Refusal::Closed, _), _)]
      if *to == peer(1) && *refused == flow(2, 1)
  );
  // What is open goes on.
  let data = Packet::data(flow(1, 1), 12, 101);
  let sent = carry_to(&mut agent, Purpose::Deliver, data);
  assert_eq!(sent, [Sent::Upstream(data)]);
  agent.platform(news(Some(3), 4, &[closure(4, HERE, false)]));
  let sent = carry_to(&mut agent, Purpose::Open, Packet::open(flow(3, 1), 0));
  assert_eq!(sent, [Sent::Upstream(Packet::open(flow(3, 1), 0))]);
}

#[test]
fn an_agent_in_a_closed_data_centre_grants_no_place() {
  let mut agent = agent();
  agent.platform(news(Some(2), 3, &[closure(3, HERE, true)]));
  let backlog = Frame::Backlog {
    flows: 9,
    service: digest("a"),
  };
  assert_eq!(agent.frame(1, &backlog, &[]), []);
}

#[test]
fn the_reader_passes_on_how_far_it_has_read_where_nothing_is_new() {
  let mut balancer = balancer();
  let sent = balancer.platform(news(Some(4), 9, &[]));
  let told = sent.iter().any(|sent| {
    matches!(sent, Sent::Frame(to, Frame::News(news), _)
      if *to == peer(11) && news.to == Revision(9))
  });
  assert!(told, "{sent:?}");
}
