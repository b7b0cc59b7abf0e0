//! An agent that measures its upstream with overload control.

use {
  super::{ms, tuning},
  crate::{
    plain::{Packet, Plain},
    support::{Agent, Harness, carry, configured, flow, listed, peer, settings, update, upstream},
  },
  fallwell::{
    config::Presence,
    counter::Counter,
    datagram::{Load, Machine, Settings, Tuning, Upstream, agent, frame::Handling, uneven::Kind},
  },
  std::{
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// An agent of service `a` with overload control, whose upstream has 4 slots and two routes.
fn agent() -> Agent {
  agent_with(&tuning())
}

/// The same with a given tuning.
fn agent_with(tuning: &Tuning) -> Agent {
  let now = Instant::now();
  let settings = Settings {
    first_start: true,
    ..settings(9)
  };
  let of = Upstream {
    address: upstream(9),
    outbound: SocketAddrV4::new(*peer(9).ip(), 8001),
    service: "a".parse().expect("a name"),
  };
  let counter = Arc::new(Counter::default());
  let machine = agent::Machine::new(now, &settings, of, *tuning, Plain, 1, counter);
  let mut agent = Harness::new(machine, now);
  let records = [
    configured(1, 1, &[(1, "a"), (2, "a")]),
    listed(2, "up", 9, "a", Presence::Live),
  ];
  agent.platform(update(None, 2, &records));
  agent
}

/// Gives the upstream a request in a new flow.
fn begin(agent: &mut Agent, port: u16, route: u8) {
  let flow = flow(port, route);
  let open = Packet::open(flow, 0);
  agent.frame(1, &carry(Handling::Open), &open.write());
  agent.packet(Packet {
    sequence: 100,
    ..Packet::open(flow, 1)
  });
  let data = Packet::data(flow, 2, 101);
  agent.frame(1, &carry(Handling::Deliver), &data.write());
}

fn answer(agent: &mut Agent, port: u16, route: u8) {
  agent.packet(Packet::data(flow(port, route), 101, 12));
}

fn request(agent: &mut Agent, port: u16, route: u8, time: Duration) {
  begin(agent, port, route);
  agent.now += time;
  answer(agent, port, route);
}

fn load(agent: &Agent) -> Load {
  let dump = agent.machine.dump(agent.now);
  serde_json::from_value(dump["load"].clone()).expect("load")
}

/// Guards against a slow upstream whose agent still reports the time of its last 20 answers.
#[test]
fn a_slow_upstream_shows_within_five_answers() {
  let mut agent = agent();
  for port in 1..=40 {
    request(&mut agent, port, 1, ms(20));
  }
  assert_eq!(load(&agent).service_ms, 20);
  for port in 41..=45 {
    request(&mut agent, port, 1, ms(80));
  }
  assert_eq!(load(&agent).service_ms, 80);
  for port in 46..=50 {
    request(&mut agent, port, 1, ms(20));
  }
  assert_eq!(load(&agent).service_ms, 20);
}

/// Guards against an upstream that hangs and is reported as fast until it answers: its requests
/// count, and a status says so without any further event.
#[test]
fn an_upstream_that_hangs_is_reported_before_it_answers() {
  let mut agent = agent();
  for port in 1..=40 {
    request(&mut agent, port, 1, ms(20));
  }
  for port in 41..=43 {
    begin(&mut agent, port, 1);
  }
  agent.pass(ms(110));
  let reported = load(&agent);
  assert!(reported.service_ms >= 40, "{reported:?}");
  let due = agent.machine.deadline();
  assert!(due > agent.now && due <= agent.now + ms(100));
}

/// Guards against requests that ended and still count as missing.
#[test]
fn an_ended_request_no_longer_counts_as_missing() {
  let mut agent = agent();
  for port in 1..=40 {
    request(&mut agent, port, 1, ms(20));
  }
  begin(&mut agent, 41, 1);
  begin(&mut agent, 42, 1);
  agent.pass(ms(20));
  answer(&mut agent, 41, 1);
  agent.packet(Packet {
    kind: crate::plain::Kind::Reset,
    ..Packet::data(flow(42, 1), 101, 0)
  });
  agent.pass(ms(400));
  assert_eq!(load(&agent).service_ms, 20);
}

/// Guards against one time for all kinds of work.
#[test]
fn each_route_is_measured_separately() {
  let mut agent = agent();
  for port in 1..=40 {
    request(
      &mut agent,
      port,
      1 + (port % 2) as u8,
      if port % 2 == 0 { ms(4) } else { ms(60) },
    );
  }
  let load = load(&agent);
  let time = |number| load.times.get(Kind::from(crate::support::route(number)));
  assert_eq!((time(1), time(2)), (Some(ms(4)), Some(ms(60))));
}

/// Guards against an old time of a route that has no requests any more, while others have.
#[test]
fn each_route_is_forgotten_by_itself() {
  let mut agent = agent();
  request(&mut agent, 1, 1, ms(20));
  for port in 2..=40 {
    request(&mut agent, port, 2, ms(100));
  }
  let times = load(&agent).times;
  assert_eq!(times.iter().count(), 1, "{times:?}");
}

/// Guards against measurements of an upstream that has restarted or is idle.
#[test]
fn measurements_are_dropped_after_three_seconds() {
  let mut agent = agent();
  for port in 1..=10 {
    request(&mut agent, port, 1, ms(20));
  }
  agent.pass(ms(3100));
  let load = load(&agent);
  assert_eq!((load.service_ms, load.times.iter().count()), (0, 0));
}

/// Guards against an upstream that answers within half a millisecond and counts as not measured.
#[test]
fn a_very_short_time_is_not_reported_as_unknown() {
  let mut agent = agent();
  for port in 1..=10 {
    request(&mut agent, port, 1, Duration::from_micros(200));
  }
  assert_eq!(load(&agent).service_ms, 1);
}

/// Guards against measurements of overload control that a deployment without it would report.
#[test]
fn nothing_new_is_reported_without_overload_control() {
  let mut agent = agent_with(&Tuning::default());
  for port in 1..=40 {
    request(&mut agent, port, 1, ms(20));
  }
  for port in 41..=60 {
    request(&mut agent, port, 1, ms(80));
  }
  let load = load(&agent);
  assert_eq!((load.answers, load.times.iter().count()), (0, 0));
  assert!(load.service_ms > 20, "{load:?}");
}
