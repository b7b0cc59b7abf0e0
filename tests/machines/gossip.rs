use {
  crate::mesh::{Mesh, address, instance, service},
  fallwell::{
    Revision,
    config::{Key, Record},
    id,
    peer::{Event, Machine, Message, Role, Settings},
  },
  std::time::{Duration, Instant},
};

const FIVE_SECONDS: Duration = Duration::from_secs(5);

fn records(carriers: usize) -> Vec<Record> {
  (0..carriers)
    .map(|index| instance(index, 1 + index as u64))
    .chain((1..=20).map(|id| service(id, 6, 1000 + u64::from(id))))
    .collect()
}

fn all_have(revision: u64) -> impl Fn(&[Machine]) -> bool {
  move |machines| {
    machines.iter().all(|machine| {
      machine.store().in_force(Key::Service(id::Service(1))) == Some(Revision(revision))
    })
  }
}

#[test]
fn a_change_that_one_process_reads_is_everywhere_within_seconds() {
  let mut mesh = Mesh::new(60, &records(60), 1);
  mesh.run(Duration::from_secs(2));
  mesh.publish(7, service(1, 7, 5000));
  assert!(mesh.run_until(FIVE_SECONDS, all_have(5000)).is_some());
}

#[test]
fn a_change_is_everywhere_although_a_third_of_the_messages_is_lost() {
  let mut mesh = Mesh::new(60, &records(60), 2);
  mesh.loss = 0.33;
  mesh.publish(7, service(1, 7, 5000));
  let took = mesh.run_until(FIVE_SECONDS * 2, all_have(5000));
  assert!(took.is_some());
}

/// A fifth is gone and still listed: news must not be lost on it. (It took 7.8 s at 440 when the
/// dead were called again and again.)
#[test]
fn a_change_passes_by_the_dead_that_are_still_listed() {
  let mut mesh = Mesh::new(100, &records(100), 12);
  mesh.cut = Box::new(|a, b| a % 5 == 0 || b % 5 == 0);
  mesh.run(Duration::from_secs(10));
  for change in 0..10 {
    let revision = 5000 + change;
    mesh.publish(1, service(1, 7, revision));
    let took = mesh.run_until(FIVE_SECONDS, |machines| {
      let alive = (0..100).filter(|index| index % 5 != 0);
      alive.map(|index| &machines[index]).all(|machine| {
        machine.store().in_force(Key::Service(id::Service(1))) == Some(Revision(revision))
      })
    });
    assert!(took.is_some(), "change {change}");
  }
}

#[test]
fn two_halves_agree_again_and_the_newest_wins() {
  let mut mesh = Mesh::new(20, &records(20), 3);
  mesh.cut = Box::new(|a, b| (a < 10) != (b < 10));
  mesh.publish(1, service(1, 7, 5000));
  mesh.publish(15, service(1, 8, 6000));
  mesh.run(Duration::from_secs(3));
  assert!(!all_have(6000)(&mesh.machines));
  mesh.cut = Box::new(|_, _| false);
  assert!(mesh.run_until(FIVE_SECONDS * 2, all_have(6000)).is_some());
  let digests = mesh.machines.iter().map(|machine| machine.store().digest());
  let mut digests = digests.collect::<Vec<_>>();
  digests.dedup();
  assert_eq!(digests.len(), 1);
}

#[test]
fn a_process_that_joins_has_all_from_one_peer() {
  let mut mesh = Mesh::new(10, &records(10), 4);
  let joined = mesh.join(3);
  let took = mesh.run_until(FIVE_SECONDS, |machines| {
    machines[joined].store().digest() == machines[0].store().digest()
  });
  assert!(took.is_some());
  assert!(mesh.machines[joined].has_joined());
}

#[test]
fn a_process_that_woke_up_with_an_old_configuration_is_told_and_tells_nobody() {
  let mut mesh = Mesh::new(10, &records(10), 5);
  mesh.cut = Box::new(|a, b| a == 9 || b == 9);
  mesh.publish(0, service(1, 7, 5000));
  mesh.run(Duration::from_secs(5));
  mesh.cut = Box::new(|_, _| false);
  assert!(mesh.run_until(FIVE_SECONDS, all_have(5000)).is_some());
  for machine in &mesh.machines {
    assert_eq!(machine.store().reversions(), 0);
  }
}

#[test]
fn a_quiet_fleet_exchanges_nothing_but_digests() {
  let mut mesh = Mesh::new(50, &records(50), 6);
  mesh.run(Duration::from_secs(2));
  mesh.bytes.clear();
  mesh.run(Duration::from_secs(10));
  assert_eq!(mesh.bytes.keys().copied().collect::<Vec<_>>(), ["digest"]);
  let each = mesh.bytes["digest"] / 50 / 10;
  assert!(each < 100, "{each} bytes a second");
}

#[test]
fn a_process_that_joins_makes_no_news() {
  let mut mesh = Mesh::new(10, &records(10), 7);
  mesh.join(3);
  mesh.messages.clear();
  mesh.run(FIVE_SECONDS);
  let offers = mesh.messages.get("offer").copied().unwrap_or_default();
  assert!(offers <= 3, "{offers} offers");
}

/// One reader hears from the platform with each watch; nobody else needs to ask. (When a watch
/// waited longer than the word of it counted, every balancer asked by itself all the time.)
#[test]
fn a_quiet_fleet_takes_the_readers_word() {
  let settings = fallwell::platform::Settings::default();
  let mut mesh = Mesh::new(200, &records(200), 11);
  let mut oldest = Duration::ZERO;
  for round in 0..40 {
    mesh.confirm(0);
    mesh.run(settings.wait);
    if round >= 10 {
      oldest = oldest.max(mesh.oldest_word());
    }
  }
  println!("oldest word of the platform: {oldest:?}");
  assert!(oldest < settings.stale_after, "{oldest:?}");
}

fn follower() -> Machine {
  Machine::new(
    address(200),
    Role::Follower {
      service: id::Service(2),
      target: id::Target(3),
    },
    vec![address(0)],
    Settings::default(),
    1,
  )
}

/// A follower asks a carrier; what both say until nothing is left to say.
fn converse(follower: &mut Machine, carrier: &mut Machine) {
  let now = Instant::now();
  let mut letters = follower.step(now, Event::Tick);
  while let Some((_, message)) = letters.pop() {
    for (_, answer) in carrier.step(now, Event::Received(address(200), message)) {
      letters.extend(follower.step(now, Event::Received(address(0), answer)));
    }
  }
}

#[test]
fn a_follower_holds_its_own_service_and_a_few_balancers_only() {
  let mut mesh = Mesh::new(30, &records(30), 8);
  let mut follower = follower();
  converse(&mut follower, &mut mesh.machines[0]);
  assert!(follower.store().service(id::Service(2)).is_some());
  assert!(follower.store().service(id::Service(1)).is_none());
  assert_eq!(follower.store().instances().count(), 3);
  assert!(follower.has_joined());
}

#[test]
fn a_follower_that_knows_all_is_told_nothing() {
  let mut mesh = Mesh::new(30, &records(30), 9);
  let mut follower = follower();
  converse(&mut follower, &mut mesh.machines[0]);
  let question = follower.step(Instant::now(), Event::Tick);
  let (_, question) = question.into_iter().next().expect("a question");
  assert!(matches!(question, Message::Follow { .. }));
  let event = Event::Received(address(200), question);
  assert!(mesh.machines[1].step(Instant::now(), event).is_empty());
}

#[test]
fn two_readers_a_data_centre_read() {
  let mesh = Mesh::new(50, &records(50), 10);
  for centre in 0..5_u32 {
    let name = format!("centre-{centre}");
    let readers = (0..50_u32)
      .filter(|index| index % 5 == centre)
      .filter(|index| mesh.machines[0].is_reader(id::Instance(*index), &name, 2));
    assert_eq!(readers.count(), 2);
  }
}
