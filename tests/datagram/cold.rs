//! An upstream that warms up gets no more new flows in any second than the operator allows.

use {
  crate::{
    balancing::{Balancer, balancer, carried, feed_status, is_reset},
    plain::Packet,
    support::{
      Agent, Harness, Sent, carry, configured_cold, digest, evacuation, flow, peer, update, warming,
    },
  },
  assert_matches::assert_matches,
  fallwell::datagram::{
    Frame, Load, Record,
    frame::{Demand, Handling, Refusal},
  },
  std::time::Duration,
};

/// New flows per second that the operator allows during a warm-up.
const PER_SECOND: usize = 12;

/// How long a warm-up lasts.
const WARMUP: Duration = Duration::from_secs(4);

/// The window in which the limit applies.
const WINDOW: Duration = Duration::from_secs(1);

fn configured() -> Record {
  configured_cold(1, 1, &[(1, "a")], WARMUP, PER_SECOND as u16)
}

/// An agent whose upstream warms up for `left` more.
fn agent(first_start: bool, left: Duration) -> Agent {
  let mut agent = Harness::agent(9, "a", first_start);
  let records = [configured(), warming(2, "up", 9, "a", left)];
  agent.platform(update(None, 2, &records));
  agent
}

/// Sends an opening packet of the balancer on host `from`; false where the agent refuses the flow.
fn try_open(agent: &mut Agent, from: u8, port: u16) -> bool {
  let packet = Packet::open(flow(port, 1), 0);
  let sent = agent.frame(from, &carry(Handling::Open), &packet.write());
  match &sent[..] {
    [Sent::Upstream(given)] => *given == packet,
    [Sent::Frame(_, Frame::Refused(_, Refusal::Cold, load), _)] => {
      assert_eq!(load.room, Some(0));
      false
    }
    sent => panic!("{sent:?}"),
  }
}

/// Opens a flow every 10 ms; each is bounced before the next one, so that none is in flight.
/// Returns how many the upstream is given in all, and the most in any second.
fn open_flows(agent: &mut Agent, time: Duration) -> (usize, usize) {
  let mut opened = Vec::new();
  for number in 0..time.as_millis() as u16 / 10 {
    agent.pass(Duration::from_millis(10));
    if try_open(agent, 1, 1000 + number) {
      opened.push(agent.now);
      let back = Packet {
        returned: true,
        ..Packet::open(flow(1000 + number, 1), 0)
      };
      agent.packet(back);
    }
  }
  let in_window = |at| {
    let window = opened.iter().filter(|other| **other >= at);
    let window = window.filter(|other| **other < at + Duration::from_secs(1));
    window.count()
  };
  let most = opened.iter().map(|at| in_window(*at)).max();
  (opened.len(), most.unwrap_or(0))
}

#[test]
fn a_cold_upstream_gets_the_whole_limit_in_each_second() {
  let mut agent = agent(true, WARMUP);
  let (opened, most) = open_flows(&mut agent, Duration::from_millis(3500));
  assert_eq!(most, PER_SECOND);
  assert_eq!(opened, 4 * PER_SECOND);
}

#[test]
fn a_warm_upstream_has_no_limit() {
  let mut agent = agent(true, Duration::ZERO);
  let (opened, _) = open_flows(&mut agent, Duration::from_secs(2));
  assert_eq!(opened, 200);
}

#[test]
fn a_new_incarnation_of_an_agent_opens_half_the_limit_in_its_first_second() {
  let mut before = agent(true, WARMUP);
  let (opened, _) = open_flows(&mut before, Duration::from_millis(300));
  assert_eq!(opened, PER_SECOND);
  let mut next = agent(false, WARMUP);
  let (opened, _) = open_flows(&mut next, Duration::from_millis(900));
  assert_eq!(opened, PER_SECOND / 2);
  // Later the whole limit applies.
  next.pass(Duration::from_secs(1));
  let (opened, _) = open_flows(&mut next, Duration::from_millis(500));
  assert_eq!(opened, PER_SECOND);
}

#[test]
fn an_agent_that_has_just_started_limits_flows_until_a_newer_record_comes() {
  let mut agent = agent(false, Duration::ZERO);
  let (_, most) = open_flows(&mut agent, Duration::from_millis(1800));
  assert_matches!(most, 1..=PER_SECOND);
  let record = warming(3, "up", 9, "a", Duration::ZERO);
  agent.platform(update(Some(2), 3, &[record]));
  agent.pass(WINDOW);
  let (opened, _) = open_flows(&mut agent, Duration::from_millis(500));
  assert_eq!(opened, 50);
}

#[test]
fn a_window_that_begins_during_the_warm_up_is_limited_as_a_whole() {
  let mut agent = agent(true, Duration::from_millis(1500));
  let (opened, most) = open_flows(&mut agent, Duration::from_millis(2490));
  assert_eq!(most, PER_SECOND);
  assert_eq!(opened, 3 * PER_SECOND);
  // The same where the platform reports the end of the warm-up.
  let mut agent = self::agent(true, WARMUP);
  open_flows(&mut agent, Duration::from_millis(500));
  let record = warming(3, "up", 9, "a", Duration::ZERO);
  agent.platform(update(Some(2), 3, &[record]));
  let (_, most) = open_flows(&mut agent, Duration::from_millis(900));
  assert_eq!(most, PER_SECOND);
}

#[test]
fn an_agent_that_has_just_started_limits_flows_no_longer_than_a_warm_up() {
  let mut agent = agent(false, Duration::ZERO);
  agent.pass(WARMUP + WINDOW);
  let (opened, _) = open_flows(&mut agent, Duration::from_millis(500));
  assert_eq!(opened, 50);
}

#[test]
fn an_agent_without_a_configuration_limits_flows() {
  let mut agent = Harness::agent(9, "a", false);
  let (_, most) = open_flows(&mut agent, Duration::from_secs(1));
  assert_matches!(most, 1..PER_SECOND);
}

#[test]
fn flows_are_limited_after_the_data_centre_is_opened_again() {
  let mut agent = agent(true, Duration::ZERO);
  let record = warming(4, "up", 9, "a", Duration::ZERO);
  let records = [evacuation(3, "default", true), record];
  agent.platform(update(Some(2), 4, &records));
  agent.platform(update(Some(4), 5, &[evacuation(5, "default", false)]));
  let (_, most) = open_flows(&mut agent, Duration::from_secs(1));
  assert_eq!(most, PER_SECOND);
}

#[test]
fn flows_are_limited_after_the_upstream_was_unresponsive() {
  let mut agent = agent(true, Duration::ZERO);
  assert!(try_open(&mut agent, 1, 1));
  agent.pass(Duration::from_millis(100));
  let answer = Packet {
    sequence: 100,
    ..Packet::open(flow(1, 1), 1)
  };
  agent.packet(answer);
  let (_, most) = open_flows(&mut agent, Duration::from_secs(1));
  assert_eq!(most, PER_SECOND);
}

#[test]
fn no_more_slots_are_granted_than_a_cold_upstream_has_room_for() {
  let mut agent = agent(true, WARMUP);
  for port in 0..PER_SECOND as u16 - 1 {
    assert!(try_open(&mut agent, 1, port));
    let back = Packet {
      returned: true,
      ..Packet::open(flow(port, 1), 0)
    };
    agent.packet(back);
  }
  let backlog = Frame::Backlog {
    service: digest("a"),
    classes: vec![Demand {
      flows: 9,
      ..Demand::default()
    }],
  };
  let sent = agent.frame(2, &backlog, &[]);
  assert_matches!(&sent[..], [Sent::Frame(to, Frame::Grant { .. }, _)] if *to == peer(2));
  // The slot is reserved for the balancer that it was granted to.
  assert!(!try_open(&mut agent, 1, 90));
  assert!(try_open(&mut agent, 2, 91));
}

fn room(room: u16) -> Load {
  Load {
    room: Some(room),
    ..Load::default()
  }
}

fn balancer_with_limit() -> Balancer {
  let mut balancer = balancer();
  let record = configured_cold(5, 2, &[(1, "a"), (2, "b")], WARMUP, PER_SECOND as u16);
  balancer.platform(update(Some(4), 5, &[record]));
  balancer
}

#[test]
fn a_balancer_sends_a_cold_target_no_more_flows_than_it_has_room_for() {
  let mut balancer = balancer_with_limit();
  feed_status(&mut balancer, 11, 1, room(1));
  feed_status(&mut balancer, 12, 1, room(1));
  let mut opened = (1..=3)
    .flat_map(|port| carried(&balancer.packet(Packet::open(flow(port, 1), 0))))
    .collect::<Vec<_>>();
  opened.sort_by_key(|(host, _)| *host);
  assert_eq!(opened, [(11, Handling::Open), (12, Handling::Open)]);
  // The third is queued until there is room.
  feed_status(&mut balancer, 12, 1, room(1));
  let sent = balancer.pass(Duration::from_millis(6));
  assert_eq!(carried(&sent), [(12, Handling::Open)]);
}

#[test]
fn flows_that_cold_targets_cannot_take_in_time_are_reset_at_once() {
  let mut balancer = balancer_with_limit();
  feed_status(&mut balancer, 11, 1, room(0));
  feed_status(&mut balancer, 12, 1, room(0));
  // Two targets take 24 flows a second, and callers wait for little more than one second.
  let reset = (1..=60)
    .filter(|port| {
      let sent = balancer.packet(Packet::open(flow(*port, 1), 0));
      is_reset(&sent, flow(*port, 1), 0)
    })
    .count();
  assert_matches!(reset, 20..45);
}
