//! An evacuated data centre gets no new flows, from balancers or agents; open flows are kept.

use {
  crate::{
    balancing::{Balancer, balancer, busy, carried, feed_status, is_reset},
    plain::Packet,
    support::{
      Agent, Harness, Sent, agent, carry, configured, digest, elsewhere, evacuation, flow, listed,
      peer, update,
    },
  },
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    config::Presence,
    datagram::{
      Catalog, Frame, Load, Update,
      frame::{Demand, Handling, Refusal},
    },
  },
  std::time::{Duration, Instant},
};

/// The data centre of `listed`.
const LOCAL: &str = "default";

/// The data centre of `elsewhere`.
const REMOTE: &str = "elsewhere";

fn is_closed(catalog: &Catalog) -> bool {
  catalog.evacuations().is_closed(LOCAL)
}

fn apply(catalog: &mut Catalog, update: Update) -> bool {
  catalog.apply_update(Instant::now(), update).evacuations
}

#[test]
fn the_latest_record_of_a_data_centre_wins_in_any_order() {
  let records = [
    evacuation(5, LOCAL, true),
    evacuation(6, LOCAL, false),
    evacuation(7, LOCAL, true),
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
      apply(&mut catalog, update(Some(4), 7, &records[index..=index]));
    }
    assert!(is_closed(&catalog), "{order:?}");
    apply(
      &mut catalog,
      update(Some(7), 8, &[evacuation(8, LOCAL, false)]),
    );
    apply(&mut catalog, update(Some(4), 7, &records));
    assert!(!is_closed(&catalog), "{order:?}");
  }
}

#[test]
fn a_snapshot_without_it_opens_a_data_centre_unless_it_is_older() {
  let mut catalog = Catalog::default();
  assert!(apply(
    &mut catalog,
    update(Some(0), 5, &[evacuation(5, LOCAL, true)])
  ));
  assert!(!apply(&mut catalog, update(None, 4, &[])));
  assert!(is_closed(&catalog));
  assert!(apply(&mut catalog, update(None, 6, &[])));
  assert!(!is_closed(&catalog));
  // A late record of the evacuation.
  assert!(!apply(
    &mut catalog,
    update(Some(4), 5, &[evacuation(5, LOCAL, true)])
  ));
  assert!(!is_closed(&catalog));
}

#[test]
fn a_new_process_learns_what_is_closed() {
  let mut sender = Catalog::default();
  let records = [evacuation(5, LOCAL, true), evacuation(6, REMOTE, false)];
  apply(&mut sender, update(Some(0), 6, &records));
  let mut started = Catalog::default();
  apply(
    &mut started,
    sender.since(Instant::now(), Revision::default()),
  );
  assert!(is_closed(&started));
  // A data centre that was opened while a process was down.
  let mut restarted = Catalog::default();
  apply(
    &mut restarted,
    update(Some(0), 4, &[evacuation(4, REMOTE, true)]),
  );
  apply(&mut restarted, sender.since(Instant::now(), Revision(4)));
  assert!(!restarted.evacuations().is_closed(REMOTE));
}

/// A balancer with two targets of service `a` in its own data centre and one elsewhere.
fn with_remote_target() -> Balancer {
  let mut balancer = balancer();
  let records = [elsewhere(5, "up-13", 13, "a")];
  balancer.platform(update(Some(4), 5, &records));
  feed_status(&mut balancer, 13, 1, Load::default());
  balancer
}

fn set_closed(balancer: &mut Balancer, after: u64, data_centre: &str, closed: bool) -> Vec<Sent> {
  let records = [evacuation(after + 1, data_centre, closed)];
  balancer.platform(update(Some(after), after + 1, &records))
}

#[test]
fn new_flows_go_to_no_target_of_a_closed_data_centre_and_open_ones_stay() {
  let mut balancer = with_remote_target();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let (host, _) = carried(&sent)[0];
  balancer.frame(host, &Frame::Opened(flow(1, 1), Load::default()), &[]);
  set_closed(&mut balancer, 5, LOCAL, true);
  for port in 2..20 {
    let sent = balancer.packet(Packet::open(flow(port, 1), 0));
    assert_eq!(carried(&sent), [(13, Handling::Open)]);
    feed_status(&mut balancer, 13, 1, Load::default());
  }
  let sent = balancer.packet(Packet::data(flow(1, 1), 2, 100));
  assert_eq!(carried(&sent), [(host, Handling::Deliver)]);
  set_closed(&mut balancer, 6, LOCAL, false);
  let sent = balancer.packet(Packet::open(flow(30, 1), 0));
  assert_matches!(carried(&sent)[..], [(11 | 12, Handling::Open)]);
}

#[test]
fn a_queued_flow_goes_to_another_data_centre_once_its_own_is_closed() {
  let mut balancer = with_remote_target();
  for host in [11, 12, 13] {
    feed_status(&mut balancer, host, 1, busy(40));
  }
  assert_eq!(carried(&balancer.packet(Packet::open(flow(1, 1), 0))), []);
  set_closed(&mut balancer, 5, LOCAL, true);
  feed_status(&mut balancer, 11, 1, Load::default());
  assert_eq!(carried(&balancer.pass(Duration::from_millis(6))), []);
  feed_status(&mut balancer, 13, 1, Load::default());
  let sent = balancer.pass(Duration::from_millis(6));
  assert_eq!(carried(&sent), [(13, Handling::Open)]);
}

#[test]
fn flows_are_reset_at_once_if_all_data_centres_are_closed() {
  let mut balancer = with_remote_target();
  for host in [11, 12, 13] {
    feed_status(&mut balancer, host, 1, busy(40));
  }
  // One flow is queued before the data centres are closed, one arrives after.
  balancer.packet(Packet::open(flow(1, 1), 0));
  set_closed(&mut balancer, 5, LOCAL, true);
  set_closed(&mut balancer, 6, REMOTE, true);
  let sent = balancer.pass(Duration::from_millis(6));
  assert!(is_reset(&sent, flow(1, 1), 0), "{sent:?}");
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert!(is_reset(&sent, flow(2, 1), 0), "{sent:?}");
}

#[test]
fn a_balancer_avoids_a_data_centre_that_an_agent_reports_closed() {
  let mut balancer = with_remote_target();
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  let (host, _) = carried(&sent)[0];
  let refused = Frame::Refused(flow(1, 1), Refusal::Closed, Load::default());
  let sent = balancer.frame(host, &refused, &[]);
  assert_eq!(carried(&sent), [(13, Handling::Open)]);
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert_eq!(carried(&sent), [(13, Handling::Open)]);
  // The agent's refusal expires soon if the platform doesn't confirm it.
  balancer.now += Duration::from_millis(1100);
  feed_status(&mut balancer, 11, 1, Load::default());
  let sent = balancer.packet(Packet::open(flow(3, 1), 0));
  assert_matches!(carried(&sent)[..], [(11 | 12, Handling::Open)]);
}

/// A balancer that stops placing flows in an evacuated data centre after 1 s, with a target there
/// and one elsewhere. When the data centre is closed, the platform's previous update is `age` old.
fn closing(age: Duration) -> Balancer {
  let mut balancer = Harness::closing(1, Duration::from_secs(2));
  let records = [
    configured(1, 1, &[(1, "a")]),
    listed(2, "up-11", 11, "a", Presence::Live),
    elsewhere(3, "up-13", 13, "a"),
  ];
  balancer.platform(update(None, 3, &records));
  balancer.pass(age);
  set_closed(&mut balancer, 3, LOCAL, true);
  for host in [11, 13] {
    feed_status(&mut balancer, host, 1, Load::default());
  }
  balancer
}

#[test]
fn a_balancer_stops_placing_flows_at_its_share_of_the_evacuation_time() {
  let mut balancer = closing(Duration::ZERO);
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert_eq!(carried(&sent), [(11, Handling::Open)]);
  balancer.now += Duration::from_secs(1);
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert_eq!(carried(&sent), [(13, Handling::Open)]);
}

#[test]
fn an_evacuation_that_may_be_old_takes_effect_at_once() {
  let mut balancer = closing(Duration::from_secs(2));
  let sent = balancer.packet(Packet::open(flow(1, 1), 0));
  assert_eq!(carried(&sent), [(13, Handling::Open)]);
}

fn carry_to(agent: &mut Agent, handling: Handling, packet: Packet) -> Vec<Sent> {
  agent.frame(1, &carry(handling), &packet.write())
}

#[test]
fn an_agent_in_a_closed_data_centre_refuses_new_flows() {
  let mut agent = agent();
  carry_to(&mut agent, Handling::Open, Packet::open(flow(1, 1), 0));
  let answer = Packet {
    sequence: 100,
    ..Packet::open(flow(1, 1), 1)
  };
  agent.packet(answer);
  let data = Packet::data(flow(1, 1), 2, 101);
  carry_to(&mut agent, Handling::Deliver, data);
  agent.platform(update(Some(2), 3, &[evacuation(3, LOCAL, true)]));
  let sent = carry_to(&mut agent, Handling::Open, Packet::open(flow(2, 1), 0));
  assert_matches!(
    &sent[..],
    [Sent::Frame(to, Frame::Refused(refused, Refusal::Closed, _), _)]
      if *to == peer(1) && *refused == flow(2, 1)
  );
  // An open flow is still served.
  let data = Packet::data(flow(1, 1), 12, 101);
  let sent = carry_to(&mut agent, Handling::Deliver, data);
  assert_eq!(sent, [Sent::Upstream(data)]);
  agent.platform(update(Some(3), 4, &[evacuation(4, LOCAL, false)]));
  let sent = carry_to(&mut agent, Handling::Open, Packet::open(flow(3, 1), 0));
  assert_eq!(sent, [Sent::Upstream(Packet::open(flow(3, 1), 0))]);
}

#[test]
fn an_agent_in_a_closed_data_centre_grants_no_slot() {
  let mut agent = agent();
  agent.platform(update(Some(2), 3, &[evacuation(3, LOCAL, true)]));
  let backlog = Frame::Backlog {
    service: digest("a"),
    classes: vec![Demand {
      flows: 9,
      ..Demand::default()
    }],
  };
  assert_eq!(agent.frame(1, &backlog, &[]), []);
}

#[test]
fn an_update_without_changes_is_pushed_too() {
  let mut balancer = balancer();
  let sent = balancer.platform(update(Some(4), 9, &[]));
  let pushed = sent.iter().any(|sent| {
    matches!(sent, Sent::Frame(to, Frame::Update(update), _)
      if *to == peer(11) && update.to == Revision(9))
  });
  assert!(pushed, "{sent:?}");
}
