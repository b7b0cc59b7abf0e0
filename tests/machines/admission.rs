use {
  fallwell::admission::{Action, Budget, Event, Machine, Settings, Ticket},
  proptest::prelude::*,
  std::{
    collections::HashSet,
    time::{Duration, Instant},
  },
};

fn machine(slots: usize) -> Machine {
  Machine::new(Settings {
    slots,
    ..Settings::default()
  })
}

fn arrived(now: Instant, ticket: u64, caller: u64, waits: bool) -> Event {
  Event::Arrived {
    caller,
    start_by: now + Duration::from_secs(1) + Duration::from_millis(ticket),
    ticket: Ticket(ticket),
    waits,
  }
}

#[test]
fn slots_are_filled_then_requests_wait_then_they_are_shed_at_once() {
  let mut machine = machine(2);
  let now = Instant::now();
  for ticket in 0..2 {
    let actions = machine.step(now, arrived(now, ticket, ticket, true));
    assert_eq!(actions, [Action::Start(Ticket(ticket))]);
  }
  for ticket in 2..6 {
    let actions = machine.step(now, arrived(now, ticket, ticket, true));
    assert_eq!(actions, [Action::Wait(Ticket(ticket))]);
  }
  let actions = machine.step(now, arrived(now, 6, 6, true));
  assert!(matches!(actions[..], [Action::Shed(Ticket(6), come_back)] if !come_back.is_zero()));
}

#[test]
fn a_request_of_a_peer_runs_now_or_not_at_all() {
  let mut machine = machine(1);
  let now = Instant::now();
  machine.step(now, arrived(now, 0, 0, true));
  let actions = machine.step(now, arrived(now, 1, 1, false));
  assert!(matches!(actions[..], [Action::Shed(Ticket(1), _)]));
}

#[test]
fn the_earliest_deadline_goes_first() {
  let mut machine = machine(1);
  let now = Instant::now();
  machine.step(now, arrived(now, 0, 0, true));
  for (ticket, start) in [(1, 900), (2, 100)] {
    let event = Event::Arrived {
      caller: ticket,
      start_by: now + Duration::from_millis(start),
      ticket: Ticket(ticket),
      waits: true,
    };
    machine.step(now, event);
  }
  let actions = machine.step(now, Event::Ended(Ticket(0)));
  assert_eq!(actions, [Action::Start(Ticket(2))]);
}

#[test]
fn a_waiting_request_whose_time_is_over_is_told_at_once() {
  let mut machine = machine(1);
  let now = Instant::now();
  machine.step(now, arrived(now, 0, 0, true));
  machine.step(now, arrived(now, 1, 1, true));
  let actions = machine.step(now + Duration::from_secs(2), Event::Tick);
  assert!(matches!(actions[..], [Action::Shed(Ticket(1), _)]));
}

/// Also when the process slept through the deadline: nothing starts that nobody waits for.
#[test]
fn a_process_that_slept_starts_nothing_that_is_over() {
  let mut machine = machine(1);
  let now = Instant::now();
  machine.step(now, arrived(now, 0, 0, true));
  machine.step(now, arrived(now, 1, 1, true));
  let actions = machine.step(now + Duration::from_mins(1), Event::Ended(Ticket(0)));
  assert!(
    matches!(actions[..], [Action::Shed(Ticket(1), _)]),
    "{actions:?}"
  );
}

#[test]
fn one_caller_cannot_take_every_slot() {
  let mut machine = machine(2);
  let now = Instant::now();
  for ticket in 0..6 {
    machine.step(now, arrived(now, ticket, 1, true));
  }
  let actions = machine.step(now, arrived(now, 6, 2, true));
  assert!(actions.contains(&Action::Wait(Ticket(6))), "{actions:?}");
  let actions = machine.step(now, Event::Ended(Ticket(0)));
  assert_eq!(actions, [Action::Start(Ticket(6))]);
}

#[test]
fn a_request_that_was_given_up_frees_its_place() {
  let mut machine = machine(1);
  let now = Instant::now();
  machine.step(now, arrived(now, 0, 0, true));
  machine.step(now, arrived(now, 1, 1, true));
  machine.step(now, Event::Ended(Ticket(1)));
  assert!(machine.step(now, Event::Ended(Ticket(0))).is_empty());
  assert!(machine.is_free());
}

#[test]
fn retries_are_a_tenth_of_first_tries() {
  let mut budget = Budget::default();
  let mut retries = 0;
  for _ in 0..10_000 {
    budget.first();
    retries += u32::from(budget.retry());
  }
  assert!((1000..=1010).contains(&retries), "{retries}");
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

  /// Never more run than there are slots, each request is started or refused exactly once, and
  /// none is started after its time.
  #[test]
  fn every_request_has_one_word(steps in prop::collection::vec((0..4_u8, 0..5_u64, 0..300_u64), 1..300)) {
    let mut machine = machine(3);
    let mut now = Instant::now();
    let (mut running, mut told, mut next) = (Vec::new(), HashSet::new(), 0);
    let mut ends = Vec::new();
    for (kind, caller, time) in steps {
      let event = match kind {
        0 | 1 => {
          next += 1;
          let start_by = now + Duration::from_millis(time);
          ends.push(start_by);
          Event::Arrived { caller, start_by, ticket: Ticket(next), waits: kind == 0 }
        }
        2 if !running.is_empty() => {
          Event::Ended(running.remove(time as usize % running.len()))
        }
        _ => {
          now += Duration::from_millis(time);
          Event::Tick
        }
      };
      for action in machine.step(now, event) {
        match action {
          Action::Shed(ticket, _) => prop_assert!(told.insert(ticket), "told twice"),
          Action::Start(ticket) => {
            prop_assert!(told.insert(ticket), "told twice");
            prop_assert!(ends[ticket.0 as usize - 1] > now, "started after its time");
            running.push(ticket);
          }
          Action::Wait(_) => {}
        }
      }
      prop_assert!(running.len() <= 3);
    }
  }
}
