//! Exchange of history between balancers: a flow must not be reset while a removed target may own
//! it.

use {
  crate::{
    balancing::{
      absent, balancer, carried, feed_balancer_status, feed_status, is_reset, queried, search,
    },
    plain::Packet,
    support::{Sent, flow, found, peer, unlisted, update, upstream},
  },
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    datagram::{
      Frame, Load,
      frame::{Handling, History, Known, Tombstone},
    },
  },
  std::time::Duration,
};

fn tombstone(host: u8) -> Tombstone {
  Tombstone {
    address: upstream(host),
    age_ms: 20_000,
    service: "a".parse().expect("a name"),
  }
}

#[test]
fn a_starting_balancer_requests_history_before_it_resets_a_flow() {
  let mut balancer = balancer();
  assert_eq!(
    feed_balancer_status(&mut balancer, 2),
    [Sent::Frame(peer(2), Frame::HistoryRequest, vec![])]
  );
  search(&mut balancer);
  balancer.frame(11, &absent(4), &[]);
  let sent = balancer.frame(12, &absent(4), &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  let history = Frame::History(History {
    flows_known: true,
    known: true,
    former_backends: vec![],
    part: 0,
    parts: 1,
    synced: Revision(4),
    tombstones: vec![tombstone(13)],
  });
  balancer.frame(2, &history, &[]);
  // The repeated queries include the removed target.
  let mut repeated = Vec::new();
  for _ in 0..4 {
    repeated.extend(queried(&balancer.pass(Duration::from_millis(50))));
  }
  assert!(repeated.contains(&13), "{repeated:?}");
  let sent = balancer.frame(13, &absent(4), &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn a_flow_is_reset_once_all_peers_have_answered_without_knowing_the_history() {
  let mut balancer = balancer();
  feed_balancer_status(&mut balancer, 2);
  feed_balancer_status(&mut balancer, 3);
  let empty_history = Frame::History(History {
    flows_known: true,
    known: false,
    former_backends: vec![],
    part: 0,
    parts: 1,
    synced: Revision(4),
    tombstones: vec![],
  });
  search(&mut balancer);
  balancer.frame(2, &empty_history, &[]);
  balancer.frame(11, &absent(4), &[]);
  let sent = balancer.frame(12, &absent(4), &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  let sent = balancer.frame(3, &empty_history, &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn a_balancer_sends_its_tombstones_on_request() {
  let mut balancer = balancer();
  balancer.platform(update(Some(4), 5, &[unlisted(5, "up-12")]));
  let sent = balancer.frame(2, &Frame::HistoryRequest, &[]);
  assert_matches!(
    &sent[..],
    [Sent::Frame(to, Frame::History(History { known: false, part: 0, parts: 1, tombstones, .. }), _)]
      if *to == peer(2) && tombstones[0].address == upstream(12)
  );
}

#[test]
fn a_removed_target_reported_by_an_agent_is_queried() {
  let mut balancer = balancer();
  search(&mut balancer);
  let absent = Frame::Absent {
    flows: vec![flow(1, 1)],
    known: Known {
      synced: Revision(4),
      service: "a".parse().expect("a name"),
      tombstones: vec![(crate::support::upstream(13), 100)],
    },
    lost: false,
  };
  balancer.frame(11, &absent, &[]);
  let sent = balancer.frame(12, &absent, &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  assert_eq!(queried(&balancer.pass(Duration::from_millis(1))), [13]);
  let sent = balancer.frame(13, &absent, &[]);
  assert!(is_reset(&sent, flow(1, 1), 100), "{sent:?}");
}

#[test]
fn an_unlisted_agent_may_own_a_flow_that_others_deny() {
  let mut balancer = balancer();
  feed_status(&mut balancer, 13, 1, Load::default());
  let mut queried = search(&mut balancer);
  queried.sort_unstable();
  assert_eq!(queried, [11, 12]);
  balancer.frame(11, &absent(4), &[]);
  let sent = balancer.frame(12, &absent(4), &[]);
  assert!(!is_reset(&sent, flow(1, 1), 100), "{sent:?}");
  balancer.frame(13, &found(flow(1, 1)), &[]);
  let sent = balancer.packet(Packet::data(flow(1, 1), 2, 100));
  assert_eq!(carried(&sent), [(13, Handling::Deliver)]);
}
