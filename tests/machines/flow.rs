use {
  super::world::{Fate, SERVICE, World, address, service, target},
  assert_matches::assert_matches,
  fallwell::{
    Code, Revision,
    flow::{Action, Event, Machine, Settings},
    id,
    routing::{Standing, Table},
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
    whole: true,
  }
}

fn machine(settings: Settings) -> Machine {
  Machine::new(SERVICE, id::Target(1), id::Incarnation(7), settings)
}

fn table() -> Table {
  let service = service([target(1), target(2)]);
  Table::new(Revision(1), &service, &[], 1, |_| Standing::Live)
}

fn step(machine: &mut Machine, carry: &Carry, flows: u32) -> Action {
  let event = Event::Carry { carry, flows };
  machine
    .step(Instant::now(), Some(&table()), event)
    .expect("an action")
}

#[test]
fn a_frame_of_another_service_is_refused() {
  let mut frame = carry(Flow::Keyed {
    key: 1,
    opens: true,
  });
  frame.service = id::Service(2);
  let action = step(&mut machine(Settings::default()), &frame, 0);
  assert_eq!(action, Action::Refuse(Code::FrameWrongService));
}

#[test]
fn a_frame_of_another_target_is_refused() {
  let mut frame = carry(Flow::Keyed {
    key: 1,
    opens: true,
  });
  frame.target = id::Target(2);
  let action = step(&mut machine(Settings::default()), &frame, 0);
  assert_eq!(action, Action::Refuse(Code::FrameWrongTarget));
}

#[test]
fn a_flow_of_an_earlier_run_is_reset() {
  let frame = carry(Flow::Named {
    incarnation: id::Incarnation(6),
    target: id::Target(1),
  });
  let action = step(&mut machine(Settings::default()), &frame, 0);
  assert_eq!(action, Action::Reset);
}

#[test]
fn a_packet_that_names_another_target_is_passed_there() {
  let frame = carry(Flow::Named {
    incarnation: id::Incarnation(6),
    target: id::Target(2),
  });
  let action = step(&mut machine(Settings::default()), &frame, 0);
  assert_matches!(action, Action::Pass(pass) => assert_eq!(pass.to.address, address(2)));
}

#[test]
fn a_leaving_target_sends_a_new_flow_to_another() {
  let mut machine = machine(Settings::default());
  machine.step(Instant::now(), None, Event::Leaving(true));
  let frame = carry(Flow::Keyed {
    key: 1,
    opens: true,
  });
  let action = step(&mut machine, &frame, 0);
  assert_matches!(action, Action::Pass(pass) => assert_eq!(pass.to.target, id::Target(2)));
}

#[test]
fn a_full_target_sends_a_new_flow_to_another() {
  let frame = carry(Flow::Keyed {
    key: 1,
    opens: true,
  });
  let action = step(&mut machine(Settings::default()), &frame, 100);
  assert_matches!(action, Action::Pass(pass) => assert_eq!(pass.to.target, id::Target(2)));
}

#[test]
fn a_flow_that_was_redirected_thrice_is_refused() {
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
fn a_leaving_target_keeps_its_flows() {
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
fn a_copy_opens_nothing() {
  let mut frame = carry(Flow::Keyed {
    key: 1,
    opens: true,
  });
  frame.whole = false;
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
  let (owned, passed) = machine.remembered();
  assert!(
    owned <= 10 && passed <= 10,
    "{owned} owned, {passed} passed"
  );
}

#[test]
fn searches_are_bounded() {
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

/// Flows whose packets name no target, opened over many changes of the target set, with balancers
/// of every age.
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
      let fate = world.packet_until_taken(change as usize % 4, flow);
      if let (Flow::Keyed { key, .. }, Fate::Opened(at)) = (flow, fate) {
        world.flows.insert(key, at);
      }
    }
    // The oldest leaves and one is added; leaving targets keep their flows.
    let leaving = *world.targets.keys().next().unwrap();
    world.targets.remove(&leaving);
    world.targets.insert(8 + change, target(8 + change));
    world.start_agent(8 + change);
    world.publish();
    world.update_balancer(change as usize % 4);
  }
  let (mut broken, mut hops) = (0, 0);
  let flows = world.flows.clone();
  for (key, owner) in &flows {
    for balancer in 0..4 {
      let flow = Flow::Keyed {
        key: *key,
        opens: false,
      };
      match world.packet_until_taken(balancer, flow) {
        Fate::Delivered(at, passed) if at == *owner => hops += passed,
        _ => broken += 1,
      }
    }
  }
  let packets = flows.len() * 4;
  println!(
    "{packets} packets of {} flows: {broken} broken, {hops} hops",
    flows.len()
  );
  assert!(flows.len() > 700);
  assert_eq!(broken, 0);
}
