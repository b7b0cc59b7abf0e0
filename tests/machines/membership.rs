use {
  fallwell::{
    Code, id,
    membership::{Action, Event, Machine, Member, Settings},
    routing::Standing,
  },
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

const MEMBER: Member = (id::Service(1), id::Target(1));

fn address(port: u16) -> SocketAddr {
  SocketAddr::from(([127, 0, 0, 1], port))
}

fn listed(leaving: bool) -> Event {
  Event::Listed(vec![(MEMBER, address(1), leaving)])
}

/// Lets time pass in ticks of 100 ms, with a packet sent to the target at each.
fn pass(machine: &mut Machine, now: &mut Instant, ticks: u32) -> usize {
  let mut probes = 0;
  for _ in 0..ticks {
    *now += Duration::from_millis(100);
    machine.step(*now, Event::Sent(MEMBER));
    let actions = machine.step(*now, Event::Tick);
    probes += actions
      .iter()
      .filter(|action| matches!(action, Action::Probe { .. }))
      .count();
  }
  probes
}

#[test]
fn a_listed_target_that_is_dead_is_found_silent() {
  let mut machine = Machine::new(Settings::default());
  let mut now = Instant::now();
  machine.step(now, listed(false));
  pass(&mut machine, &mut now, 20);
  assert_eq!(machine.standing(MEMBER), Standing::Silent);
}

#[test]
fn a_silent_target_that_is_heard_of_is_live_at_once() {
  let mut machine = Machine::new(Settings::default());
  let mut now = Instant::now();
  machine.step(now, listed(false));
  pass(&mut machine, &mut now, 20);
  machine.step(now, Event::Heard(MEMBER));
  assert_eq!(machine.standing(MEMBER), Standing::Live);
}

#[test]
fn a_target_that_answers_is_never_probed() {
  let mut machine = Machine::new(Settings::default());
  let mut now = Instant::now();
  machine.step(now, listed(false));
  for _ in 0..100 {
    machine.step(now, Event::Heard(MEMBER));
    assert_eq!(pass(&mut machine, &mut now, 1), 0);
  }
}

#[test]
fn a_target_without_traffic_is_never_probed() {
  let mut machine = Machine::new(Settings::default());
  let now = Instant::now();
  machine.step(now, listed(false));
  for tick in 0..100 {
    let now = now + Duration::from_millis(100 * tick);
    assert!(machine.step(now, Event::Tick).is_empty());
  }
}

#[test]
fn its_own_word_that_it_leaves_goes_before_the_list() {
  let mut machine = Machine::new(Settings::default());
  let mut now = Instant::now();
  machine.step(now, listed(false));
  machine.step(now, Event::Refused(MEMBER, Code::TargetLeaving));
  assert_eq!(machine.standing(MEMBER), Standing::Leaving);
  now += Duration::from_secs(31);
  machine.step(now, Event::Heard(MEMBER));
  assert_eq!(machine.standing(MEMBER), Standing::Live);
}

#[test]
fn a_leaving_one_that_is_still_listed_live_turns_when_the_list_does() {
  let mut machine = Machine::new(Settings::default());
  let now = Instant::now();
  machine.step(now, listed(false));
  let actions = machine.step(now, listed(true));
  assert_eq!(actions, [Action::Changed(MEMBER, Standing::Leaving)]);
}

/// A dead one that was leaving would end every chain that it stood in.
#[test]
fn a_leaving_target_that_is_dead_is_found_silent() {
  let mut machine = Machine::new(Settings::default());
  let mut now = Instant::now();
  machine.step(now, listed(true));
  pass(&mut machine, &mut now, 20);
  assert_eq!(machine.standing(MEMBER), Standing::Silent);
}

#[test]
fn a_process_that_slept_suspects_nobody_for_it() {
  let mut machine = Machine::new(Settings::default());
  let mut now = Instant::now();
  machine.step(now, listed(false));
  machine.step(now, Event::Heard(MEMBER));
  pass(&mut machine, &mut now, 10);
  now += Duration::from_secs(10);
  machine.step(now, Event::Tick);
  assert_eq!(machine.standing(MEMBER), Standing::Live);
}

#[test]
fn an_instance_at_another_address_inherits_no_suspicion() {
  let mut machine = Machine::new(Settings::default());
  let mut now = Instant::now();
  machine.step(now, listed(false));
  pass(&mut machine, &mut now, 20);
  machine.step(now, Event::Listed(vec![(MEMBER, address(2), false)]));
  assert_eq!(machine.standing(MEMBER), Standing::Live);
}

#[test]
fn probes_stay_within_their_budget() {
  let mut machine = Machine::new(Settings::default());
  let mut now = Instant::now();
  let members = (1..=500).map(|id| (id::Service(1), id::Target(id)));
  let members = members.collect::<Vec<Member>>();
  let all = members.iter().map(|member| (*member, address(1), false));
  machine.step(now, Event::Listed(all.collect()));
  let mut probes = 0;
  for _ in 0..100 {
    now += Duration::from_millis(100);
    for member in &members {
      machine.step(now, Event::Sent(*member));
    }
    let actions = machine.step(now, Event::Tick);
    probes += actions
      .iter()
      .filter(|action| matches!(action, Action::Probe { .. }))
      .count();
  }
  assert!(probes <= 11 * 20, "{probes} probes in 10 s");
}
