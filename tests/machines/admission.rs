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

fn arrived(now: Instant, ticket: u64, caller: u64, may_wait: bool) -> Event {
  Event::Arrived {
    caller,
    start_by: now + Duration::from_secs(1) + Duration::from_millis(ticket),
    ticket: Ticket(ticket),
    may_wait,
  }
}

#[test]
fn slots_fill_then_the_queue_then_requests_are_shed() {
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
  assert!(matches!(actions[..], [Action::Shed(Ticket(6), retry_after)] if !retry_after.is_zero()));
}

#[test]
fn handed_off_request_is_never_queued() {
  let mut machine = machine(1);
  let now = Instant::now();
  machine.step(now, arrived(now, 0, 0, true));
  let actions = machine.step(now, arrived(now, 1, 1, false));
  assert!(matches!(actions[..], [Action::Shed(Ticket(1), _)]));
}

#[test]
fn earliest_deadline_starts_first() {
  let mut machine = machine(1);
  let now = Instant::now();
  machine.step(now, arrived(now, 0, 0, true));
  for (ticket, start_by_ms) in [(1, 900), (2, 100)] {
    let event = Event::Arrived {
      caller: ticket,
      start_by: now + Duration::from_millis(start_by_ms),
      ticket: Ticket(ticket),
      may_wait: true,
    };
    machine.step(now, event);
  }
  let actions = machine.step(now, Event::Ended(Ticket(0)));
  assert_eq!(actions, [Action::Start(Ticket(2))]);
}

#[test]
fn queued_request_is_shed_at_its_deadline() {
  let mut machine = machine(1);
  let now = Instant::now();
  machine.step(now, arrived(now, 0, 0, true));
  machine.step(now, arrived(now, 1, 1, true));
  let actions = machine.step(now + Duration::from_secs(2), Event::Tick);
  assert!(matches!(actions[..], [Action::Shed(Ticket(1), _)]));
}

/// After a pause of the process, a freed slot must not go to a request whose deadline is over.
#[test]
fn no_expired_request_starts_after_a_pause() {
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
fn caller_with_fewer_running_requests_goes_first() {
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
fn cancelled_request_leaves_the_queue() {
  let mut machine = machine(1);
  let now = Instant::now();
  machine.step(now, arrived(now, 0, 0, true));
  machine.step(now, arrived(now, 1, 1, true));
  machine.step(now, Event::Ended(Ticket(1)));
  assert!(machine.step(now, Event::Ended(Ticket(0))).is_empty());
  assert!(machine.is_free());
}

#[test]
fn retries_are_a_tenth_of_first_attempts() {
  let mut budget = Budget::default();
  let mut retries = 0;
  for _ in 0..10_000 {
    budget.add_attempt();
    retries += u32::from(budget.take_retry());
  }
  assert!((1000..=1010).contains(&retries), "{retries}");
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

  /// No more requests run than there are slots, none is both started and shed or gets either twice,
  /// and none is started after its deadline.
  #[test]
  fn every_request_is_decided_at_most_once(
    steps in prop::collection::vec((0..4_u8, 0..5_u64, 0..300_u64), 1..300),
  ) {
    let mut machine = machine(3);
    let mut now = Instant::now();
    let (mut running, mut decided, mut next) = (Vec::new(), HashSet::new(), 0);
    let mut deadlines = Vec::new();
    for (kind, caller, time) in steps {
      let event = match kind {
        0 | 1 => {
          next += 1;
          let start_by = now + Duration::from_millis(time);
          deadlines.push(start_by);
          Event::Arrived { caller, start_by, ticket: Ticket(next), may_wait: kind == 0 }
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
          Action::Shed(ticket, _) => prop_assert!(decided.insert(ticket), "decided twice"),
          Action::Start(ticket) => {
            prop_assert!(decided.insert(ticket), "decided twice");
            prop_assert!(deadlines[ticket.0 as usize - 1] > now, "started after its deadline");
            running.push(ticket);
          }
          Action::Wait(_) => {}
        }
      }
      prop_assert!(running.len() <= 3);
    }
  }
}
