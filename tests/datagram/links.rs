//! What a process tells others of itself grows with its data centre, not with the fleet.

use {
  crate::{
    balancing::{absent, feed_status as tell_load, is_reset, search},
    support::{Stepped, flow, listed, news, settings, unlisted},
  },
  fallwell::{
    Revision,
    config::Presence,
    datagram::{
      Event, Frame, Load, Machine, Origin, Outbox, Record, Settings, Tuning, balancer,
      frame::{Role, Status},
    },
  },
  std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// In how many data centres the processes stand.
const DATA_CENTRES: u32 = 6;

fn address(number: u32) -> SocketAddrV4 {
  SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number), 7000)
}

fn status(number: u32, role: Role) -> Frame {
  Frame::Status(Status {
    balancers: vec![],
    complete: Revision(5),
    confirmed_ms: Some(10),
    data_centre: number % DATA_CENTRES,
    incarnation: 1,
    link: 0,
    role,
    stopping: false,
  })
}

fn feed_status(
  machine: &mut impl Machine,
  now: Instant,
  from: u32,
  frame: &Frame,
  out: &mut Outbox,
) {
  let mut bytes = Vec::new();
  frame.encode(&mut bytes);
  let from = address(from);
  machine.step(
    now,
    Event::Frame {
      from,
      bytes: &bytes,
    },
    out,
  );
}

/// A balancer that has heard of so many others, and how many it tells of itself in three seconds.
fn told(balancers: u32) -> usize {
  let mut now = Instant::now();
  let counter = Arc::default();
  let settings = Settings {
    peers: address(0),
    ..settings(1)
  };
  let mut machine = balancer::Machine::new(
    now,
    &settings,
    Tuning::default(),
    crate::plain::Plain,
    1,
    counter,
  );
  let mut out = Outbox::default();
  let mut told = BTreeSet::new();
  // It knows what the others know, so that the platform's word that they have heard counts.
  let known = Event::News(Origin::Peer(address(1)), news(None, 5, &[]));
  machine.step(now, known, &mut out);
  for step in 0..80 {
    for number in 1..=balancers {
      feed_status(
        &mut machine,
        now,
        number,
        &status(number, Role::Balancer),
        &mut out,
      );
    }
    out.clear();
    machine.step(now, Event::Tick, &mut out);
    // Each is told once, when it becomes known.
    if step >= 20 {
      told.extend(out.datagrams().iter().map(|datagram| datagram.to));
    }
    now += Duration::from_millis(50);
  }
  told.len()
}

#[test]
fn few_processes_all_tell_each_other() {
  assert_eq!(told(24), 24);
}

#[test]
fn at_the_size_of_a_fleet_and_twice_that_no_more_are_told() {
  let (once, twice) = (told(304), told(608));
  assert!((10..=60).contains(&once), "{once}");
  assert!((10..=60).contains(&twice), "{twice}");
}

#[test]
fn the_word_of_the_platform_reaches_agents_that_do_not_keep_in_touch() {
  let mut balancer = Stepped::balancer(1, None);
  for number in 1..=100 {
    let frame = status(number, Role::Balancer);
    let mut bytes = Vec::new();
    frame.encode(&mut bytes);
    balancer.step(Event::Frame {
      from: address(number),
      bytes: &bytes,
    });
  }
  let records = [11, 12, 13].map(|host| -> Record {
    listed(
      u64::from(host),
      &format!("up-{host}"),
      host,
      "a",
      Presence::Live,
    )
  });
  balancer.platform(news(None, 20, &records));
  let records = [listed(21, "up-11", 11, "a", Presence::Leaving)];
  let sent = balancer.platform(news(Some(20), 21, &records));
  for host in [11, 12, 13] {
    let heard = sent.iter().any(|sent| {
      matches!(sent, crate::support::Sent::Frame(to, Frame::News(_), _)
        if *to == crate::support::peer(host))
    });
    assert!(heard, "{host}");
  }
}

#[test]
fn the_first_start_of_all_is_read_by_its_seeds() {
  let now = Instant::now();
  let mut seed = Settings {
    first_start: true,
    seeds: vec![address(1), address(2)],
    peers: address(1),
    ..settings(1)
  };
  let reads = |settings: &Settings, after: Duration| {
    let counter = Arc::default();
    let tuning = Tuning::default();
    let mut machine =
      balancer::Machine::new(now, settings, tuning, crate::plain::Plain, 1, counter);
    machine.spread().is_reader(now + after)
  };
  assert!(reads(&seed, Duration::ZERO));
  seed.peers = address(3);
  assert!(!reads(&seed, Duration::from_secs(1)));
  // Its seeds may be dead.
  assert!(reads(&seed, Duration::from_secs(6)));
  // One that is added later is told by others, or reads.
  seed.first_start = false;
  assert!(reads(&seed, Duration::ZERO));
}

/// How long the caller of a flow waits for its reset, in milliseconds, where one agent that may have the
/// flow says nothing and its target has left the list, and so many other balancers are heard of.
fn reset_after(balancers: u32) -> u64 {
  let mut balancer = crate::balancing::balancer();
  let up = [listed(5, "up-13", 13, "a", Presence::Live)];
  balancer.platform(news(Some(4), 5, &up));
  balancer.platform(news(Some(5), 6, &[unlisted(6, "up-13")]));
  for _ in 0..30 {
    balancer.pass(Duration::from_millis(100));
    for host in [11, 12, 21] {
      tell_load(&mut balancer, host, 1, Load::default());
    }
    for number in 1..=balancers {
      let mut bytes = Vec::new();
      status(number, Role::Balancer).encode(&mut bytes);
      let from = address(number);
      balancer.step(Event::Frame {
        from,
        bytes: &bytes,
      });
    }
  }
  // A peer knows all that left the list.
  let past = Frame::Past {
    known: true,
    led: vec![],
    part: 0,
    parts: 1,
    past: vec![],
  };
  let mut bytes = Vec::new();
  past.encode(&mut bytes);
  let from = address(1);
  balancer.step(Event::Frame {
    from,
    bytes: &bytes,
  });
  search(&mut balancer);
  for host in [11, 12] {
    balancer.frame(host, &absent(6), &[]);
  }
  for step in 1..100 {
    let sent = balancer.pass(Duration::from_millis(50));
    if is_reset(&sent, flow(1, 1), 100) {
      return step * 50;
    }
  }
  panic!("no reset");
}

#[test]
fn an_agent_that_does_not_keep_in_touch_has_time_to_answer_before_it_counts_as_lost() {
  assert!(reset_after(3) < 500);
  let waits = reset_after(100);
  assert!((1500..4000).contains(&waits), "{waits}");
}
