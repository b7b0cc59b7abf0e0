//! Which processes read the platform, and how updates reach the others.

use {
  crate::support::{configured, confirmation, peer, settings, update},
  fallwell::{
    Revision,
    datagram::{
      Event, Frame, Gossip, Machine, Origin, Outbox, Settings, Tuning, Version,
      frame::{Role, Status},
    },
  },
  std::time::{Duration, Instant},
};

fn gossip(now: Instant, host: u8) -> Gossip {
  let settings = Settings {
    seeds: (1..=3).map(peer).collect(),
    ..settings(host)
  };
  Gossip::new(now, &settings, true, 1, Tuning::default())
}

fn status(synced: u64, confirmed_ms: Option<u32>) -> Status {
  Status {
    balancers: vec![],
    synced: Revision(synced),
    confirmation: confirmed_ms.map(confirmation),
    data_centre: 0,
    incarnation: 1,
    link: 0,
    role: Role::Balancer,
    stopping: false,
  }
}

/// The balancers, of three that have heard from each other, that read the platform.
fn readers(now: Instant, confirmed_ms: u32) -> Vec<u8> {
  let reads = |host: &u8| {
    let mut gossip = gossip(now, *host);
    for other in (1..=3).filter(|other| other != host) {
      gossip.handle_status(now, peer(other), &status(0, Some(confirmed_ms)));
    }
    gossip.is_reader(now)
  };
  (1..=3).filter(reads).collect()
}

#[test]
fn one_balancer_reads_while_its_confirmation_is_fresh() {
  assert_eq!(
    readers(Instant::now() + Duration::from_mins(1), 100).len(),
    1
  );
}

#[test]
fn all_balancers_read_once_no_confirmation_is_fresh() {
  let now = Instant::now() + Duration::from_mins(1);
  assert_eq!(readers(now, 2500), [1, 2, 3]);
}

#[test]
fn a_balancer_without_peers_reads() {
  let now = Instant::now();
  for host in 1..=3 {
    assert!(gossip(now, host).is_reader(now));
  }
}

#[test]
fn an_agent_never_reads() {
  let now = Instant::now();
  let gossip = Gossip::new(now, &settings(1), false, 1, Tuning::default());
  assert!(!gossip.is_reader(now));
}

#[test]
fn an_update_is_requested_from_one_peer_at_a_time() {
  let now = Instant::now();
  let mut gossip = gossip(now, 1);
  gossip.handle_status(now, peer(2), &status(9, None));
  gossip.handle_status(now, peer(3), &status(9, None));
  assert_eq!(gossip.take_wanted(), Some((peer(2), Revision(0))));
  assert_eq!(gossip.take_wanted(), None);
  // It doesn't answer, so the update is requested from the next peer.
  gossip.cancel_pull(peer(2));
  gossip.handle_status(now, peer(3), &status(9, None));
  assert_eq!(gossip.take_wanted(), Some((peer(3), Revision(0))));
}

#[test]
fn a_status_of_a_peer_that_is_ahead_does_not_confirm_the_catalog() {
  let now = Instant::now() + Duration::from_mins(1);
  let mut gossip = gossip(now, 1);
  gossip.handle_status(now, peer(2), &status(9, Some(10)));
  assert_eq!(gossip.confirmed(now), None);
}

#[test]
fn updates_of_the_platform_are_pushed_to_peers() {
  let now = Instant::now();
  let mut gossip = gossip(now, 1);
  let mut out = Outbox::default();
  let records = [configured(1, 7, &[(1, "a")])];
  gossip.update(now, Origin::Platform, update(None, 1, &records), &mut out);
  let mut other = self::gossip(now, 2);
  let to_other = out.datagrams().iter().find(|sent| sent.to == peer(2));
  let (frame, _) = Frame::decode(out.bytes(to_other.expect("pushed"))).expect("frame");
  let Frame::Update(pushed) = frame else {
    panic!("{frame:?}");
  };
  other.update(now, Origin::Peer(peer(1)), pushed, &mut Outbox::default());
  assert_eq!(other.catalog().version(), Version(7));
}

#[test]
fn an_update_too_large_for_a_frame_is_announced_by_a_status() {
  let now = Instant::now();
  let mut gossip = gossip(now, 1);
  let mut out = Outbox::default();
  let routes = (0..200)
    .map(|number| (number, "service"))
    .collect::<Vec<_>>();
  let records = [configured(1, 7, &routes)];
  gossip.update(now, Origin::Platform, update(None, 1, &records), &mut out);
  let (frame, _) = Frame::decode(out.bytes(&out.datagrams()[0])).expect("frame");
  assert!(matches!(frame, Frame::Status(status) if status.synced == Revision(1)));
}

#[test]
fn a_stopping_balancer_does_not_read() {
  let mut balancer = crate::support::Harness::balancer(1, None);
  balancer.step(Event::Stop);
  let now = balancer.now;
  assert!(!balancer.machine.gossip().is_reader(now));
}

#[test]
fn peers_in_other_data_centres_get_fewer_statuses() {
  let now = Instant::now();
  let mut gossip = gossip(now, 1);
  let local = Status {
    data_centre: own_data_centre(),
    ..status(0, None)
  };
  let mut sent_to = [0, 0];
  for step in 0..20 {
    let now = now + Duration::from_millis(100 * step);
    gossip.handle_status(now, peer(2), &local);
    gossip.handle_status(now, peer(3), &status(0, None));
    let mut out = Outbox::default();
    gossip.broadcast_status(now, Role::Balancer, &mut out);
    for (count, host) in sent_to.iter_mut().zip([2, 3]) {
      *count += out
        .datagrams()
        .iter()
        .filter(|sent| sent.to == peer(host))
        .count();
    }
  }
  assert_eq!(sent_to, [20, 3]);
}

/// The hash of a process's data centre, as in its status.
fn own_data_centre() -> u32 {
  let now = Instant::now();
  let mut out = Outbox::default();
  gossip(now, 1).broadcast_status(now, Role::Balancer, &mut out);
  let (frame, _) = Frame::decode(out.bytes(&out.datagrams()[0])).expect("frame");
  let Frame::Status(status) = frame else {
    panic!("{frame:?}");
  };
  status.data_centre
}
