//! The number of statuses that a process sends grows with its data centre, not with the fleet.

use {
  crate::{
    balancing::{absent, feed_status as feed_load, is_reset, search},
    support::{Harness, flow, listed, settings, unlisted, update},
  },
  fallwell::{
    Revision,
    config::Presence,
    datagram::{
      Event, Frame, Load, Machine, Origin, Outbox, Record, Settings, Tuning, balancer,
      frame::{History, Role, Status},
    },
  },
  std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// How many data centres the processes are in.
const DATA_CENTRES: u32 = 6;

/// The address of a balancer, on none of the instances that have an agent in these tests.
fn address(number: u32) -> SocketAddrV4 {
  SocketAddrV4::new(Ipv4Addr::from(0x0a01_0000 + number), 7000)
}

fn status(number: u32, role: Role) -> Frame {
  Frame::Status(Status {
    balancers: vec![],
    synced: Revision(5),
    confirmation: Some(crate::support::confirmation(10)),
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

/// The number of processes that a balancer sends statuses to within three seconds while it hears
/// from `balancers` others.
fn receivers(balancers: u32) -> usize {
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
  let mut receivers = BTreeSet::new();
  // Its catalog is up to date, so that their confirmations of it count and it doesn't read the
  // platform.
  let known = Event::Update(Origin::Peer(address(1)), update(None, 5, &[]));
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
    // In the first second each is sent one because it has just become known.
    if step >= 20 {
      receivers.extend(out.datagrams().iter().map(|datagram| datagram.to));
    }
    now += Duration::from_millis(50);
  }
  receivers.len()
}

#[test]
fn a_small_fleet_is_a_full_mesh() {
  assert_eq!(receivers(24), 24);
}

#[test]
fn the_number_of_receivers_does_not_grow_with_the_fleet() {
  let (once, twice) = (receivers(304), receivers(608));
  assert!((10..=60).contains(&once), "{once}");
  assert!((10..=60).contains(&twice), "{twice}");
}

#[test]
fn updates_reach_agents_outside_the_overlay() {
  let mut balancer = Harness::balancer(1, None);
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
  balancer.platform(update(None, 20, &records));
  let records = [listed(21, "up-11", 11, "a", Presence::Leaving)];
  let sent = balancer.platform(update(Some(20), 21, &records));
  for host in [11, 12, 13] {
    let pushed = sent.iter().any(|sent| {
      matches!(sent, crate::support::Sent::Frame(to, Frame::Update(_), _)
        if *to == crate::support::peer(host))
    });
    assert!(pushed, "{host}");
  }
}

#[test]
fn on_the_first_start_only_the_seeds_read() {
  let now = Instant::now();
  let mut settings = Settings {
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
    machine.gossip().is_reader(now + after)
  };
  assert!(reads(&settings, Duration::ZERO));
  settings.peers = address(3);
  assert!(!reads(&settings, Duration::from_secs(1)));
  // Its seeds may be down.
  assert!(reads(&settings, Duration::from_secs(6)));
  // After the first start, a process doesn't wait for its seeds.
  settings.first_start = false;
  assert!(reads(&settings, Duration::ZERO));
}

/// The time until a flow of a removed target is reset, in milliseconds, if one agent that may own
/// it doesn't answer and the balancer has heard from `balancers` others.
fn reset_after(balancers: u32) -> u64 {
  let mut balancer = crate::balancing::balancer();
  let up = [listed(5, "up-13", 13, "a", Presence::Live)];
  balancer.platform(update(Some(4), 5, &up));
  balancer.platform(update(Some(5), 6, &[unlisted(6, "up-13")]));
  for _ in 0..30 {
    balancer.pass(Duration::from_millis(100));
    for host in [11, 12, 21] {
      feed_load(&mut balancer, host, 1, Load::default());
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
  // A peer knows all removals.
  let history = Frame::History(History {
    known: true,
    flows_known: true,
    former_backends: vec![],
    part: 0,
    parts: 1,
    synced: Revision(6),
    tombstones: vec![],
  });
  let mut bytes = Vec::new();
  history.encode(&mut bytes);
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
    // The balancer is not cut off.
    feed_load(&mut balancer, 11, 1, Load::default());
    let sent = balancer.pass(Duration::from_millis(50));
    if is_reset(&sent, flow(1, 1), 100) {
      return step * 50;
    }
  }
  panic!("no reset");
}

#[test]
fn an_agent_outside_the_overlay_has_time_to_answer_before_it_counts_as_down() {
  assert!(reset_after(3) < 500);
  let waits = reset_after(100);
  assert!((1500..4000).contains(&waits), "{waits}");
}
