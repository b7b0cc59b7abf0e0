use {
  super::world::{Fate, SERVICE, World, address, service, target},
  assert_matches::assert_matches,
  fallwell::{
    Code, Revision,
    flow::{Action, Event, Machine, Settings},
    id,
    routing::{Health, Table},
    wire::{Carry, Chain, Flow},
  },
  std::{net::SocketAddr, time::Instant},
};

fn carry(flow: Flow) -> Carry {
  Carry {
    balancer: None,
    caller: SocketAddr::from(([127, 0, 0, 1], 9)),
    chain: Chain::new(),
    flow,
    hops: 0,
    redirects: 0,
    revision: Revision(1),
    service: SERVICE,
    target: id::Target(1),
    may_open: true,
  }
}

fn machine(settings: Settings) -> Machine {
  Machine::new(SERVICE, id::Target(1), id::Incarnation(7), settings)
}

fn table() -> Table {
  let service = service([target(1), target(2)]);
  Table::new(Revision(1), &service, &[], 1, |_| Health::Live)
}

fn step(machine: &mut Machine, carry: &Carry, flows: u32) -> Action {
  let event = Event::Carry { carry, flows };
  machine
    .step(Instant::now(), Some(&table()), event)
    .expect("an action")
}

#[test]
fn frame_for_another_service_is_refused() {
  let mut frame = carry(Flow::Keyed {
    key: 1,
    opens: true,
  });
  frame.service = id::Service(2);
  let action = step(&mut machine(Settings::default()), &frame, 0);
  assert_eq!(action, Action::Refuse(Code::FrameWrongService));
}

#[test]
fn frame_for_another_target_is_refused() {
  let mut frame = carry(Flow::Keyed {
    key: 1,
    opens: true,
  });
  frame.target = id::Target(2);
  let action = step(&mut machine(Settings::default()), &frame, 0);
  assert_eq!(action, Action::Refuse(Code::FrameWrongTarget));
}

#[test]
fn flow_of_a_previous_incarnation_is_reset() {
  let frame = carry(Flow::Named {
    incarnation: id::Incarnation(6),
    target: id::Target(1),
  });
  let action = step(&mut machine(Settings::default()), &frame, 0);
  assert_eq!(action, Action::Reset);
}

#[test]
fn packet_naming_another_target_is_forwarded_to_it() {
  let frame = carry(Flow::Named {
    incarnation: id::Incarnation(6),
    target: id::Target(2),
  });
  let action = step(&mut machine(Settings::default()), &frame, 0);
  assert_matches!(action, Action::Forward(forward) => assert_eq!(forward.to.address, address(2)));
}

#[test]
fn leaving_target_redirects_new_flows() {
  let mut machine = machine(Settings::default());
  machine.step(Instant::now(), None, Event::Leaving(true));
  let frame = carry(Flow::Keyed {
    key: 1,
    opens: true,
  });
  let action = step(&mut machine, &frame, 0);
  assert_matches!(action, Action::Forward(forward) => assert_eq!(forward.to.target, id::Target(2)));
}

#[test]
fn full_target_redirects_new_flows() {
  let frame = carry(Flow::Keyed {
    key: 1,
    opens: true,
  });
  let action = step(&mut machine(Settings::default()), &frame, 100);
  assert_matches!(action, Action::Forward(forward) => assert_eq!(forward.to.target, id::Target(2)));
}

#[test]
fn flow_is_refused_after_three_redirects() {
  let mut machine = machine(Settings::default());
  machine.step(Instant::now(), None, Event::Leaving(true));
  let mut frame = carry(Flow::Keyed {
    key: 1,
    opens: true,
  });
  frame.redirects = 3;
  let action = step(&mut machine, &frame, 0);
  assert_eq!(action, Action::Refuse(Code::TargetLeaving));
}

#[test]
fn leaving_target_keeps_its_flows() {
  let mut machine = machine(Settings::default());
  let frame = carry(Flow::Keyed {
    key: 1,
    opens: true,
  });
  assert_eq!(step(&mut machine, &frame, 0), Action::Open);
  machine.step(Instant::now(), None, Event::Leaving(true));
  assert_eq!(step(&mut machine, &frame, 0), Action::Deliver);
}

#[test]
fn copy_opens_no_flow() {
  let mut frame = carry(Flow::Keyed {
    key: 1,
    opens: true,
  });
  frame.may_open = false;
  let action = step(&mut machine(Settings::default()), &frame, 0);
  assert_eq!(action, Action::Skip);
}

#[test]
fn memory_is_bounded_under_a_flood_of_opening_packets() {
  let settings = Settings {
    remembered_max: 10,
    ..Settings::default()
  };
  let mut machine = machine(settings);
  for key in 0..1000 {
    step(&mut machine, &carry(Flow::Keyed { key, opens: true }), 0);
  }
  let (owned, forwarded) = machine.key_counts();
  assert!(
    owned <= 10 && forwarded <= 10,
    "{owned} owned, {forwarded} forwarded"
  );
}

#[test]
fn searches_are_rate_limited() {
  let settings = Settings {
    searches_per_second: 5,
    ..Settings::default()
  };
  let mut machine = machine(settings);
  let searches = (0..100)
    .filter(|key| {
      let frame = carry(Flow::Keyed {
        key: *key,
        opens: false,
      });
      matches!(step(&mut machine, &frame, 0), Action::Search(_))
    })
    .count();
  assert_eq!(searches, 5);
}

/// Packets that name no target must still reach their flow's owner after many changes of the target
/// set, also through balancers with an outdated configuration.
#[test]
fn flows_without_a_target_in_their_packets_survive_sixteen_changes() {
  let mut world = World::new(7, 4);
  let mut next_key = 0;
  for change in 0..16_u32 {
    for _ in 0..50 {
      next_key += 1;
      let flow = Flow::Keyed {
        key: next_key,
        opens: true,
      };
      let fate = world.send_with_retries(change as usize % 4, flow);
      if let (Flow::Keyed { key, .. }, Fate::Opened(at)) = (flow, fate) {
        world.flows.insert(key, at);
      }
    }
    // The oldest target is removed, but its agent keeps its flows; a new target is added.
    let removed = *world.targets.keys().next().unwrap();
    world.targets.remove(&removed);
    world.targets.insert(8 + change, target(8 + change));
    world.start_agent(8 + change);
    world.publish();
    world.update_balancer(change as usize % 4);
  }
  let (mut lost, mut hops) = (0, 0);
  let flows = world.flows.clone();
  for (key, owner) in &flows {
    for balancer in 0..4 {
      let flow = Flow::Keyed {
        key: *key,
        opens: false,
      };
      match world.send_with_retries(balancer, flow) {
        Fate::Delivered(at, count) if at == *owner => hops += count,
        _ => lost += 1,
      }
    }
  }
  let packets = flows.len() * 4;
  println!(
    "{packets} packets of {} flows: {lost} lost, {hops} hops",
    flows.len()
  );
  assert!(flows.len() > 700);
  assert_eq!(lost, 0);
}
