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

fn records(replicas: usize) -> Vec<Record> {
  (0..replicas)
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
fn a_change_read_by_one_process_reaches_all_within_five_seconds() {
  let mut mesh = Mesh::new(60, &records(60), 1);
  mesh.run(Duration::from_secs(2));
  mesh.publish(7, service(1, 7, 5000));
  assert!(mesh.run_until(FIVE_SECONDS, all_have(5000)).is_some());
}

#[test]
fn a_change_reaches_all_when_a_third_of_the_messages_is_lost() {
  let mut mesh = Mesh::new(60, &records(60), 2);
  mesh.loss_probability = 0.33;
  mesh.publish(7, service(1, 7, 5000));
  let took = mesh.run_until(FIVE_SECONDS * 2, all_have(5000));
  assert!(took.is_some());
}

/// Guards against pushes that are lost or delayed because they go to unreachable peers.
#[test]
fn a_change_reaches_all_reachable_processes_when_a_fifth_is_down_but_listed() {
  let mut mesh = Mesh::new(100, &records(100), 12);
  mesh.is_cut = Box::new(|a, b| a % 5 == 0 || b % 5 == 0);
  mesh.run(Duration::from_secs(10));
  for change in 0..10 {
    let revision = 5000 + change;
    mesh.publish(1, service(1, 7, revision));
    let took = mesh.run_until(FIVE_SECONDS, |machines| {
      let reachable = (0..100).filter(|index| index % 5 != 0);
      reachable.map(|index| &machines[index]).all(|machine| {
        machine.store().in_force(Key::Service(id::Service(1))) == Some(Revision(revision))
      })
    });
    assert!(took.is_some(), "change {change}");
  }
}

#[test]
fn both_sides_of_a_partition_converge_on_the_newest_revision() {
  let mut mesh = Mesh::new(20, &records(20), 3);
  mesh.is_cut = Box::new(|a, b| (a < 10) != (b < 10));
  mesh.publish(1, service(1, 7, 5000));
  mesh.publish(15, service(1, 8, 6000));
  mesh.run(Duration::from_secs(3));
  assert!(!all_have(6000)(&mesh.machines));
  mesh.is_cut = Box::new(|_, _| false);
  assert!(mesh.run_until(FIVE_SECONDS * 2, all_have(6000)).is_some());
  let digests = mesh.machines.iter().map(|machine| machine.store().digest());
  let mut digests = digests.collect::<Vec<_>>();
  digests.dedup();
  assert_eq!(digests.len(), 1);
}

#[test]
fn a_process_that_joins_receives_all_documents_from_one_seed() {
  let mut mesh = Mesh::new(10, &records(10), 4);
  let joined = mesh.join(3);
  let took = mesh.run_until(FIVE_SECONDS, |machines| {
    machines[joined].store().digest() == machines[0].store().digest()
  });
  assert!(took.is_some());
  assert!(mesh.machines[joined].has_joined());
}

#[test]
fn a_process_that_was_cut_off_catches_up_and_reverts_no_other() {
  let mut mesh = Mesh::new(10, &records(10), 5);
  mesh.is_cut = Box::new(|a, b| a == 9 || b == 9);
  mesh.publish(0, service(1, 7, 5000));
  mesh.run(Duration::from_secs(5));
  mesh.is_cut = Box::new(|_, _| false);
  assert!(mesh.run_until(FIVE_SECONDS, all_have(5000)).is_some());
  for machine in &mesh.machines {
    assert_eq!(machine.store().reversions(), 0);
  }
}

#[test]
fn an_unchanged_configuration_causes_only_digests() {
  let mut mesh = Mesh::new(50, &records(50), 6);
  mesh.run(Duration::from_secs(2));
  mesh.bytes.clear();
  mesh.run(Duration::from_secs(10));
  assert_eq!(mesh.bytes.keys().copied().collect::<Vec<_>>(), ["digest"]);
  let rate = mesh.bytes["digest"] / 50 / 10;
  assert!(rate < 100, "{rate} bytes per second and process");
}

#[test]
fn a_process_that_joins_does_not_push_what_it_receives() {
  let mut mesh = Mesh::new(10, &records(10), 7);
  mesh.join(3);
  mesh.messages.clear();
  mesh.run(FIVE_SECONDS);
  let offers = mesh.messages.get("offer").copied().unwrap_or_default();
  assert!(offers <= 3, "{offers} offers");
}

/// Guards against a watch so long that confirmations become older than `stale_after`: every
/// balancer would then read the platform itself.
#[test]
fn the_watches_of_one_reader_keep_the_confirmation_of_all_processes_recent() {
  let settings = fallwell::platform::Settings::default();
  let mut mesh = Mesh::new(200, &records(200), 11);
  let mut oldest = Duration::ZERO;
  for round in 0..40 {
    mesh.confirm(0);
    mesh.run(settings.wait);
    if round >= 10 {
      oldest = oldest.max(mesh.oldest_confirmation());
    }
  }
  println!("oldest confirmation by the platform: {oldest:?}");
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

/// Starts an exchange of a follower with a replica and runs it to its end.
fn exchange(follower: &mut Machine, replica: &mut Machine) {
  let now = Instant::now();
  let mut messages = follower.step(now, Event::Tick);
  while let Some((_, message)) = messages.pop() {
    for (_, answer) in replica.step(now, Event::Received(address(200), message)) {
      messages.extend(follower.step(now, Event::Received(address(0), answer)));
    }
  }
}

#[test]
fn a_follower_stores_only_its_service_and_a_few_balancers() {
  let mut mesh = Mesh::new(30, &records(30), 8);
  let mut follower = follower();
  exchange(&mut follower, &mut mesh.machines[0]);
  assert!(follower.store().service(id::Service(2)).is_some());
  assert!(follower.store().service(id::Service(1)).is_none());
  assert_eq!(follower.store().instances().count(), 3);
  assert!(follower.has_joined());
}

#[test]
fn a_follower_with_a_current_subset_gets_no_answer() {
  let mut mesh = Mesh::new(30, &records(30), 9);
  let mut follower = follower();
  exchange(&mut follower, &mut mesh.machines[0]);
  let requests = follower.step(Instant::now(), Event::Tick);
  let (_, request) = requests.into_iter().next().expect("a request");
  assert!(matches!(request, Message::Follow { .. }));
  let event = Event::Received(address(200), request);
  assert!(mesh.machines[1].step(Instant::now(), event).is_empty());
}

#[test]
fn two_balancers_of_each_data_centre_are_readers() {
  let mesh = Mesh::new(50, &records(50), 10);
  for centre in 0..5_u32 {
    let name = format!("centre-{centre}");
    let readers = (0..50_u32)
      .filter(|index| index % 5 == centre)
      .filter(|index| mesh.machines[0].is_reader(id::Instance(*index), &name, 2));
    assert_eq!(readers.count(), 2);
  }
}
