use {
  fallwell::{
    Code, id,
    membership::{Action, Event, Machine, Member, Settings},
    routing::Health,
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

/// Ticks every 100 ms, with a packet sent to the target each time; returns the number of probes.
fn run_ticks(machine: &mut Machine, now: &mut Instant, ticks: u32) -> usize {
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
fn unresponsive_target_becomes_silent() {
  let mut machine = Machine::new(Settings::default());
  let mut now = Instant::now();
  machine.step(now, listed(false));
  run_ticks(&mut machine, &mut now, 20);
  assert_eq!(machine.health(MEMBER), Health::Silent);
}

#[test]
fn silent_target_is_live_after_one_frame() {
  let mut machine = Machine::new(Settings::default());
  let mut now = Instant::now();
  machine.step(now, listed(false));
  run_ticks(&mut machine, &mut now, 20);
  machine.step(now, Event::Heard(MEMBER));
  assert_eq!(machine.health(MEMBER), Health::Live);
}

#[test]
fn responsive_target_is_not_probed() {
  let mut machine = Machine::new(Settings::default());
  let mut now = Instant::now();
  machine.step(now, listed(false));
  for _ in 0..100 {
    machine.step(now, Event::Heard(MEMBER));
    assert_eq!(run_ticks(&mut machine, &mut now, 1), 0);
  }
}

#[test]
fn target_without_traffic_is_not_probed() {
  let mut machine = Machine::new(Settings::default());
  let now = Instant::now();
  machine.step(now, listed(false));
  for tick in 0..100 {
    let now = now + Duration::from_millis(100 * tick);
    assert!(machine.step(now, Event::Tick).is_empty());
  }
}

#[test]
fn refusal_by_draining_target_overrides_configuration_for_a_while() {
  let mut machine = Machine::new(Settings::default());
  let mut now = Instant::now();
  machine.step(now, listed(false));
  machine.step(now, Event::Refused(MEMBER, Code::TargetLeaving));
  assert_eq!(machine.health(MEMBER), Health::Leaving);
  now += Duration::from_secs(31);
  machine.step(now, Event::Heard(MEMBER));
  assert_eq!(machine.health(MEMBER), Health::Live);
}

#[test]
fn live_target_becomes_leaving_with_the_configuration() {
  let mut machine = Machine::new(Settings::default());
  let now = Instant::now();
  machine.step(now, listed(false));
  let actions = machine.step(now, listed(true));
  assert_eq!(actions, [Action::Changed(MEMBER, Health::Leaving)]);
}

/// A dead target that counts as draining would end every chain that contains it.
#[test]
fn unresponsive_leaving_target_becomes_silent() {
  let mut machine = Machine::new(Settings::default());
  let mut now = Instant::now();
  machine.step(now, listed(true));
  run_ticks(&mut machine, &mut now, 20);
  assert_eq!(machine.health(MEMBER), Health::Silent);
}

#[test]
fn no_target_becomes_silent_after_a_pause_of_this_process() {
  let mut machine = Machine::new(Settings::default());
  let mut now = Instant::now();
  machine.step(now, listed(false));
  machine.step(now, Event::Heard(MEMBER));
  run_ticks(&mut machine, &mut now, 10);
  now += Duration::from_secs(10);
  machine.step(now, Event::Tick);
  assert_eq!(machine.health(MEMBER), Health::Live);
}

#[test]
fn target_at_a_new_address_is_live_again() {
  let mut machine = Machine::new(Settings::default());
  let mut now = Instant::now();
  machine.step(now, listed(false));
  run_ticks(&mut machine, &mut now, 20);
  machine.step(now, Event::Listed(vec![(MEMBER, address(2), false)]));
  assert_eq!(machine.health(MEMBER), Health::Live);
}

#[test]
fn probes_stay_within_the_rate_limit() {
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
