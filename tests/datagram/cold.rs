//! A cold upstream gets no more new flows in any second than the operator states.

use {
  crate::{
    balancing::{Balancer, balancer, carried, is_reset, tell},
    plain::Packet,
    support::{
      Agent, Sent, Stepped, carry, closure, configured_cold, digest, flow, news, peer, warming,
    },
  },
  assert_matches::assert_matches,
  fallwell::datagram::{
    Frame, Load, Record,
    frame::{Purpose, Refusal},
  },
  std::time::Duration,
};

/// What the operator states: 12 new flows a second, for 4 s.
const PER_SECOND: usize = 12;
const LASTS: Duration = Duration::from_secs(4);

/// The time in which so many are counted.
const SPAN: Duration = Duration::from_secs(1);

fn configured() -> Record {
  configured_cold(1, 1, &[(1, "a")], LASTS, PER_SECOND as u16)
}

/// An agent whose upstream is cold for so much longer.
fn agent(first_start: bool, left: Duration) -> Agent {
  let mut agent = Stepped::agent(9, "a", first_start);
  let records = [configured(), warming(2, "up", 9, "a", left)];
  agent.platform(news(None, 2, &records));
  agent
}

/// Whether the upstream is given a new flow of a balancer.
fn opens(agent: &mut Agent, from: u8, port: u16) -> bool {
  let packet = Packet::open(flow(port, 1), 0);
  let sent = agent.frame(from, &carry(Purpose::Open), &packet.write());
  match &sent[..] {
    [Sent::Upstream(given)] => *given == packet,
    [Sent::Frame(_, Frame::Refused(_, Refusal::Cold, load), _)] => {
      assert_eq!(load.room, Some(0));
      false
    }
    sent => panic!("{sent:?}"),
  }
}

/// How many flows the upstream is given when one comes each 10 ms for a time, and the most in any
/// second. They end before the next comes, so that nothing waits.
fn given(agent: &mut Agent, time: Duration) -> (usize, usize) {
  let mut taken = Vec::new();
  for number in 0..time.as_millis() as u16 / 10 {
    agent.pass(Duration::from_millis(10));
    if opens(agent, 1, 1000 + number) {
      taken.push(agent.now);
      let back = Packet {
        returned: true,
        ..Packet::open(flow(1000 + number, 1), 0)
      };
      agent.packet(back);
    }
  }
  let in_second = |at| {
    let span = taken.iter().filter(|other| **other >= at);
    let span = span.filter(|other| **other < at + Duration::from_secs(1));
    span.count()
  };
  let most = taken.iter().map(|at| in_second(*at)).max();
  (taken.len(), most.unwrap_or(0))
}

#[test]
fn a_cold_upstream_gets_what_is_stated_in_any_second_and_all_of_it() {
  let mut agent = agent(true, LASTS);
  let (taken, most) = given(&mut agent, Duration::from_millis(3500));
  assert_eq!(most, PER_SECOND);
  assert_eq!(taken, 4 * PER_SECOND);
}

#[test]
fn a_warm_upstream_gets_all() {
  let mut agent = agent(true, Duration::ZERO);
  let (taken, _) = given(&mut agent, Duration::from_secs(2));
  assert_eq!(taken, 200);
}

#[test]
fn two_runs_of_an_agent_give_half_as_many_more_than_stated_in_a_second_at_most() {
  let mut before = agent(true, LASTS);
  let (taken, _) = given(&mut before, Duration::from_millis(300));
  assert_eq!(taken, PER_SECOND);
  let mut next = agent(false, LASTS);
  let (taken, _) = given(&mut next, Duration::from_millis(900));
  assert_eq!(taken, PER_SECOND / 2);
  // Then it gives all again.
  next.pass(Duration::from_secs(1));
  let (taken, _) = given(&mut next, Duration::from_millis(500));
  assert_eq!(taken, PER_SECOND);
}

#[test]
fn an_agent_that_has_just_started_is_careful_until_a_newer_word_comes() {
  let mut agent = agent(false, Duration::ZERO);
  let (_, most) = given(&mut agent, Duration::from_millis(1800));
  assert_matches!(most, 1..=PER_SECOND);
  let word = warming(3, "up", 9, "a", Duration::ZERO);
  agent.platform(news(Some(2), 3, &[word]));
  agent.pass(SPAN);
  let (taken, _) = given(&mut agent, Duration::from_millis(500));
  assert_eq!(taken, 50);
}

#[test]
fn a_second_that_begins_while_an_upstream_is_cold_counts_to_its_end() {
  let mut agent = agent(true, Duration::from_millis(1500));
  let (taken, most) = given(&mut agent, Duration::from_millis(2490));
  assert_eq!(most, PER_SECOND);
  assert_eq!(taken, 3 * PER_SECOND);
  // The same where the platform says in time that it is warm.
  let mut agent = self::agent(true, LASTS);
  given(&mut agent, Duration::from_millis(500));
  let word = warming(3, "up", 9, "a", Duration::ZERO);
  agent.platform(news(Some(2), 3, &[word]));
  let (_, most) = given(&mut agent, Duration::from_millis(900));
  assert_eq!(most, PER_SECOND);
}

#[test]
fn an_agent_that_has_just_started_is_careful_no_longer_than_a_target_is_cold() {
  let mut agent = agent(false, Duration::ZERO);
  agent.pass(LASTS + SPAN);
  let (taken, _) = given(&mut agent, Duration::from_millis(500));
  assert_eq!(taken, 50);
}

#[test]
fn an_agent_that_knows_no_configuration_is_careful() {
  let mut agent = Stepped::agent(9, "a", false);
  let (_, most) = given(&mut agent, Duration::from_secs(1));
  assert_matches!(most, 1..PER_SECOND);
}

#[test]
fn an_upstream_may_have_turned_cold_when_its_data_centre_is_opened_again() {
  let mut agent = agent(true, Duration::ZERO);
  let word = warming(4, "up", 9, "a", Duration::ZERO);
  let records = [closure(3, "default", true), word];
  agent.platform(news(Some(2), 4, &records));
  agent.platform(news(Some(4), 5, &[closure(5, "default", false)]));
  let (_, most) = given(&mut agent, Duration::from_secs(1));
  assert_eq!(most, PER_SECOND);
}

#[test]
fn an_upstream_that_was_silent_may_have_been_started_again() {
  let mut agent = agent(true, Duration::ZERO);
  assert!(opens(&mut agent, 1, 1));
  agent.pass(Duration::from_millis(100));
  let answer = Packet {
    sequence: 100,
    ..Packet::open(flow(1, 1), 1)
  };
  agent.packet(answer);
  let (_, most) = given(&mut agent, Duration::from_secs(1));
  assert_eq!(most, PER_SECOND);
}

#[test]
fn places_are_granted_as_far_as_a_cold_upstream_has_room() {
  let mut agent = agent(true, LASTS);
  for port in 0..PER_SECOND as u16 - 1 {
    assert!(opens(&mut agent, 1, port));
    let back = Packet {
      returned: true,
      ..Packet::open(flow(port, 1), 0)
    };
    agent.packet(back);
  }
  let backlog = Frame::Backlog {
    flows: 9,
    service: digest("a"),
  };
  let sent = agent.frame(2, &backlog, &[]);
  assert_matches!(&sent[..], [Sent::Frame(to, Frame::Grant(_), _)] if *to == peer(2));
  // The place is kept for who was granted it.
  assert!(!opens(&mut agent, 1, 90));
  assert!(opens(&mut agent, 2, 91));
}

fn room(room: u16) -> Load {
  Load {
    room: Some(room),
    ..Load::default()
  }
}

fn with_rate() -> Balancer {
  let mut balancer = balancer();
  let record = configured_cold(5, 2, &[(1, "a"), (2, "b")], LASTS, PER_SECOND as u16);
  balancer.platform(news(Some(4), 5, &[record]));
  balancer
}

#[test]
fn a_balancer_gives_a_cold_target_no_more_than_it_has_room_for() {
  let mut balancer = with_rate();
  tell(&mut balancer, 11, 1, room(1));
  tell(&mut balancer, 12, 1, room(1));
  let mut places = (1..=3)
    .flat_map(|port| carried(&balancer.packet(Packet::open(flow(port, 1), 0))))
    .collect::<Vec<_>>();
  places.sort_by_key(|(host, _)| *host);
  assert_eq!(places, [(11, Purpose::Open), (12, Purpose::Open)]);
  // The third waits until there is room.
  tell(&mut balancer, 12, 1, room(1));
  let sent = balancer.pass(Duration::from_millis(6));
  assert_eq!(carried(&sent), [(12, Purpose::Open)]);
}

#[test]
fn more_than_cold_targets_take_in_time_is_told_at_once() {
  let mut balancer = with_rate();
  tell(&mut balancer, 11, 1, room(0));
  tell(&mut balancer, 12, 1, room(0));
  // Two targets take 24 a second, and callers wait for little more than one.
  let told = (1..=60)
    .filter(|port| {
      let sent = balancer.packet(Packet::open(flow(*port, 1), 0));
      is_reset(&sent, flow(*port, 1), 0)
    })
    .count();
  assert_matches!(told, 20..45);
}
