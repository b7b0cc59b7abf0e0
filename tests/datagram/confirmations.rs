//! A confirmation of the platform that was delayed on its way must not look recent: balancers would
//! not read the platform although the reader cannot, and keep using what has changed.

use {
  crate::world::World,
  fallwell::{
    confirmation::{Confirmation, Confirmations},
    web,
  },
  http::Method,
  std::{
    io::{Read, Write},
    net::TcpListener,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
  },
};

/// The hosts of the agents.
const AGENTS: std::ops::Range<u8> = 11..21;

fn world(seed: u64) -> World {
  let mut world = World::new(seed);
  world.configure(&[(1, "a")]);
  for host in AGENTS {
    world.start_target(host, "a");
  }
  world.run(5000);
  world
}

/// Runs with new flows all the time.
fn run(world: &mut World, ms: u64) {
  for _ in 0..ms / 20 {
    world.call(1, 2);
    world.run(20);
  }
}

/// The reader is cut off the platform while processes that were paused one after another resume;
/// meanwhile a target is listed as draining. Returns the number of flows that were opened there too
/// late.
fn opened_late(world: &mut World, paused: [u8; 3]) -> usize {
  let reader = world.reader();
  let [first, second, third] = paused;
  world.freeze(first);
  run(world, 1300);
  world.freeze(second);
  run(world, 1300);
  world.freeze(third);
  run(world, 600);
  world.set_without_store(reader, true);
  run(world, 100);
  world.drain(14);
  run(world, 200);
  world.thaw(first);
  run(world, 1300);
  world.thaw(second);
  run(world, 1300);
  world.thaw(third);
  run(world, 2600);
  world.set_without_store(reader, false);
  run(world, 2000);
  world.opened_late
}

/// Guards against new flows at a draining target because agents that were paused report old
/// confirmations.
#[test]
fn paused_agents_do_not_delay_the_takeover_of_a_reader() {
  for seed in 0..16 {
    let mut world = world(seed);
    assert_eq!(opened_late(&mut world, [11, 12, 13]), 0, "seed {seed}");
  }
}

/// The same with paused balancers.
#[test]
fn paused_balancers_do_not_delay_the_takeover_of_a_reader() {
  for seed in 0..16 {
    let mut world = world(seed);
    for host in 4..=6 {
      world.start_balancer(host);
    }
    run(&mut world, 3000);
    let reader = world.reader();
    let mut others = (1..=6).filter(|host| *host != reader);
    let paused = [(); 3].map(|()| others.next().expect("a balancer"));
    assert_eq!(opened_late(&mut world, paused), 0, "seed {seed}");
  }
}

/// The confirmation that a reader reports at `at_ms` of its clock, sent `age_ms` later.
fn report(at_ms: u64, age_ms: u32) -> Confirmation {
  Confirmation {
    age_ms,
    at_ms,
    reader: 1,
  }
}

/// How old the latest confirmation is that is known at `at_ms`.
fn age_ms(confirmations: &Confirmations, start: Instant, at_ms: u64) -> u64 {
  let latest = confirmations.latest().expect("a confirmation");
  let now = start + Duration::from_millis(at_ms);
  now.duration_since(latest).as_millis() as u64
}

#[test]
fn a_late_report_is_dated_by_the_readers_clock() {
  let start = Instant::now();
  let received = |ms| start + Duration::from_millis(ms);
  let mut confirmations = Confirmations::new(2);
  confirmations.record_report(received(1000), report(1000, 0));
  // It has waited for 3 s, and is the first that comes of this confirmation.
  confirmations.record_report(received(5000), report(2000, 0));
  assert!((2999..=3000).contains(&age_ms(&confirmations, start, 5000)));
  // The same one through another process.
  confirmations.record_report(received(6000), report(2000, 0));
  assert!((3999..=4000).contains(&age_ms(&confirmations, start, 6000)));
  confirmations.record_report(received(7000), report(7000, 0));
  assert_eq!(age_ms(&confirmations, start, 7000), 0);
  // An earlier one changes nothing.
  confirmations.record_report(received(7000), report(3000, 0));
  assert_eq!(age_ms(&confirmations, start, 7000), 0);
}

#[test]
fn the_first_report_of_a_reader_is_dated_by_its_age() {
  let start = Instant::now();
  let mut confirmations = Confirmations::new(2);
  confirmations.record_report(start + Duration::from_secs(9), report(70_000, 400));
  assert_eq!(age_ms(&confirmations, start, 9000), 400);
  let passed_on = confirmations.report(start + Duration::from_millis(9100));
  assert_eq!(passed_on, Some(report(70_000, 500)));
}

/// Guards against balancers that all read the platform because clocks differ in speed.
#[test]
fn clocks_of_different_speeds_change_the_age_little() {
  for readers_ms in [999_500, 1_000_500] {
    let start = Instant::now();
    let mut confirmations = Confirmations::new(2);
    for second in 0..20_000 {
      let now = start + Duration::from_secs(second);
      confirmations.record_report(now, report(second * readers_ms / 1000, 0));
    }
    let age = age_ms(&confirmations, start, 19_999_000);
    assert!(age < 10, "{readers_ms}: {age}");
  }
}

/// Guards against an answer of long ago that counts as new since the process was paused.
#[test]
fn an_answer_that_is_read_after_its_timeout_is_an_error() {
  let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
  let address = listener.local_addr().expect("an address");
  let (requested, was_requested) = mpsc::channel();
  let (paused, was_paused) = mpsc::channel();
  let server = thread::spawn(move || {
    let (mut stream, _) = listener.accept().expect("a connection");
    let _ = stream.read(&mut [0; 1024]);
    requested.send(()).expect("the client waits");
    was_paused.recv().expect("the client is paused");
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    requested.send(()).expect("the client waits");
    let _ = stream.read(&mut [0; 1024]);
  });
  let runtime = tokio::runtime::Builder::new_current_thread()
    .enable_all()
    .build()
    .expect("a runtime");
  let limit = Duration::from_secs(2);
  let answer = runtime.block_on(async {
    let request = web::request(address, Method::GET, "/", "", limit);
    let pause = async {
      while was_requested.try_recv().is_err() {
        tokio::time::sleep(Duration::from_millis(1)).await;
      }
      // Blocks the only thread while the answer comes and the time runs out.
      paused.send(()).expect("the server waits");
      was_requested.recv().expect("the server has answered");
      thread::sleep(limit);
    };
    tokio::join!(request, pause).0
  });
  // Closes the connection.
  drop(runtime);
  server.join().expect("the server");
  assert!(answer.is_err(), "{answer:?}");
}
