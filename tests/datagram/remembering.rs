//! Balancers tell each other which targets have left the list.

use {
  crate::{
    balancing::{absent, asked, balancer, carried, is_reset, search, tell, told},
    plain::Packet,
    support::{Sent, flow, found, news, peer, unlisted, upstream},
  },
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    datagram::{
      Frame, Load,
      frame::{Gone, Known, Purpose},
    },
  },
  std::time::Duration,
};

fn gone(host: u8) -> Gone {
  Gone {
    address: upstream(host),
    age_ms: 20_000,
    service: "a".parse().expect("a name"),
  }
}

#[test]
fn a_balancer_that_has_just_started_asks_its_peers_what_left_before_it_resets() {
  let mut balancer = balancer();
  assert_eq!(
    told(&mut balancer, 2),
    [Sent::Frame(peer(2), Frame::AskPast, vec![])]
  );
  search(&mut balancer);
  balancer.frame(11, &absent(4), &[]);
  let sent = balancer.frame(12, &absent(4), &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  let past = Frame::Past {
    known: true,
    led: vec![],
    part: 0,
    parts: 1,
    past: vec![gone(13)],
  };
  balancer.frame(2, &past, &[]);
  // What was asked again names the one that left.
  let mut again = Vec::new();
  for _ in 0..4 {
    again.extend(asked(&balancer.pass(Duration::from_millis(50))));
  }
  assert!(again.contains(&13), "{again:?}");
  let sent = balancer.frame(13, &absent(4), &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn a_balancer_whose_peers_started_with_it_resets_once_all_have_said_so() {
  let mut balancer = balancer();
  told(&mut balancer, 2);
  told(&mut balancer, 3);
  let nothing = Frame::Past {
    known: false,
    led: vec![],
    part: 0,
    parts: 1,
    past: vec![],
  };
  search(&mut balancer);
  balancer.frame(2, &nothing, &[]);
  balancer.frame(11, &absent(4), &[]);
  let sent = balancer.frame(12, &absent(4), &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  let sent = balancer.frame(3, &nothing, &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn a_balancer_tells_what_left_the_list() {
  let mut balancer = balancer();
  balancer.platform(news(Some(4), 5, &[unlisted(5, "up-12")]));
  let sent = balancer.frame(2, &Frame::AskPast, &[]);
  assert_matches!(
    &sent[..],
    [Sent::Frame(to, Frame::Past { known: false, part: 0, parts: 1, past, .. }, _)]
      if *to == peer(2) && past[0].address == upstream(12)
  );
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
    lost: false,
  };
  balancer.frame(11, &absent, &[]);
  let sent = balancer.frame(12, &absent, &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  assert_eq!(asked(&balancer.pass(Duration::from_millis(1))), [13]);
  let sent = balancer.frame(13, &absent, &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn an_agent_that_tells_of_itself_and_that_nobody_names_is_asked_before_a_reset() {
  let mut balancer = balancer();
  tell(&mut balancer, 13, 1, Load::default());
  let mut asked = search(&mut balancer);
  asked.sort_unstable();
  assert_eq!(asked, [11, 12]);
  balancer.frame(11, &absent(4), &[]);
  let sent = balancer.frame(12, &absent(4), &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  balancer.frame(13, &found(flow(1, 1)), &[]);
  let sent = balancer.packet(Packet::data(flow(1, 1), 2, 100));
  assert_eq!(carried(&sent), [(13, Purpose::Deliver)]);
}
