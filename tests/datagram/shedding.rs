//! The admission queue under overload: which flows wait, which are rejected, and in which order they
//! are placed.

use {
  crate::{
    balancing::{Balancer, busy, feed_status, is_reset},
    plain::Packet,
    support::{Harness, Sent, configured_first, flow, listed, route, update},
  },
  fallwell::{
    config::Presence,
    datagram::{
      Flow, Frame, Machine, Overload, Tuning,
      balancer::{
        Capacity, FlowClass, Newcomer, Patience, PerSecond, Queued, Reason, Shedding, Verdict,
      },
    },
  },
  proptest::prelude::*,
  std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
  },
};

const PATIENCE: Patience = Patience {
  certain: Duration::from_millis(800),
  total: Duration::from_millis(1400),
};
const WINDOW: Duration = Duration::from_millis(700);
/// The time for which a caller goes on trying; a queue counts as standing after it.
const PERSISTENCE: Duration = Duration::from_millis(2800);
const OBJECTIVE: Duration = Duration::from_millis(300);
const ANSWER: Duration = Duration::from_millis(40);

fn before(now: Instant, age: Duration) -> Instant {
  now.checked_sub(age).expect("a time after the start")
}

fn ms(time: u64) -> Duration {
  Duration::from_millis(time)
}

/// A flow that waits, as the test knows it.
#[derive(Clone, Copy, Debug)]
struct Waiting {
  level: usize,
  queued: Queued,
}

/// How a flow left the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
  Displaced,
  Expired,
  Placed,
  Rejected,
}

/// A queue in front of targets whose clock the test controls. It checks each decision against its own
/// record of what waits and what was placed.
struct Line {
  ends: BTreeMap<Flow, (End, u8, Duration)>,
  now: Instant,
  objective: Duration,
  placed: Vec<(Instant, FlowClass, Flow, bool)>,
  ports: u16,
  rate: f64,
  reported: Option<usize>,
  shedding: Shedding,
  waiting: BTreeMap<FlowClass, BTreeMap<Flow, Waiting>>,
}

impl Line {
  /// An empty queue before targets that answer `rate` flows a second; `waiting` is what agents report.
  fn new(rate: f64, waiting: Option<usize>) -> Self {
    let mut line = Self {
      ends: BTreeMap::new(),
      now: Instant::now() + Duration::from_secs(100),
      objective: OBJECTIVE,
      placed: Vec::new(),
      ports: 0,
      rate,
      reported: waiting,
      shedding: Shedding::new(PATIENCE),
      waiting: BTreeMap::new(),
    };
    line.update(rate, waiting);
    line
  }

  fn update(&mut self, rate: f64, waiting: Option<usize>) {
    if rate > 0.0 {
      self.rate = rate;
    }
    self.reported = waiting;
    let capacity = Capacity {
      answer: ANSWER,
      rate: PerSecond(rate),
      waiting,
    };
    self.shedding.update(&class(0).service, capacity);
  }

  fn len(&self, priority: u8) -> usize {
    self.waiting.get(&class(priority)).map_or(0, BTreeMap::len)
  }

  fn is_overloaded(&self, priority: u8) -> bool {
    self.shedding.state(self.now, &class(priority)).overloaded
  }

  /// How many flows of a caller wait.
  fn flows_of(&self, class: &FlowClass, caller: Ipv4Addr) -> usize {
    let list = self.waiting[class].keys();
    list.filter(|flow| *flow.caller.ip() == caller).count()
  }

  /// The placements of a class within the window, all or the late ones, a second.
  fn rate(&self, class: &FlowClass, late_only: bool) -> f64 {
    let placed = self.placed.iter().filter(|(at, of, _, is_late)| {
      of == class && self.now - *at < WINDOW && (*is_late || !late_only)
    });
    placed.count() as f64 / WINDOW.as_secs_f64()
  }

  fn is_in_time(&self, (first, _): Queued, wait: Duration) -> bool {
    self.now + wait <= first + self.objective.min(PATIENCE.total)
  }

  /// A flow of a caller arrives that started `age` ago; false if it is rejected.
  fn arrive(&mut self, priority: u8, caller: u8, age: Duration) -> bool {
    self.ports += 1;
    let flow = Flow {
      caller: SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, caller), self.ports),
      route: route(1),
    };
    let (class, queued) = (class(priority), (before(self.now, age), flow));
    let of_caller = |flow: &&Flow| flow.caller.ip() == queued.1.caller.ip();
    let running = self
      .placed
      .iter()
      .filter(|(at, of, flow, _)| *of == class && self.now - *at < WINDOW && of_caller(&flow));
    let list = self.waiting.entry(class.clone()).or_default();
    let level = running.count() + list.keys().filter(of_caller).count();
    let newcomer = Newcomer {
      objective: self.objective,
      queued,
    };
    let was_overloaded = self.is_overloaded(priority);
    match self.shedding.admit(self.now, &class, &newcomer) {
      Verdict::Waits => {}
      Verdict::Displaces(other, displaced) => {
        self.check_full(&class, queued, was_overloaded);
        if was_overloaded && !self.is_in_time(queued, ANSWER) {
          self.check_late_displacement(&class, flow, &other, displaced);
        } else {
          self.check_displacement(&class, flow, &other, displaced);
        }
        self.end(&other, displaced, End::Displaced);
      }
      Verdict::Rejected(reason) => {
        self.check_full(&class, queued, was_overloaded);
        self.check_rejection(&class, flow, reason);
        self.ends.insert(flow, (End::Rejected, priority, age));
        return false;
      }
    }
    let list = self.waiting.entry(class).or_default();
    list.insert(flow, Waiting { level, queued });
    true
  }

  /// A flow is displaced from the lowest class, or from a caller that has at least two more flows;
  /// it is the newest of the caller that has the most.
  fn check_displacement(&self, class: &FlowClass, new: Flow, other: &FlowClass, displaced: Queued) {
    let waiting = self.waiting.iter().filter(|(_, list)| !list.is_empty());
    assert_eq!(waiting.map(|(class, _)| class).max(), Some(other));
    let caller = *displaced.1.caller.ip();
    let flows = self.waiting[other].values().map(|flow| flow.queued);
    let own = flows
      .clone()
      .filter(|(_, flow)| *flow.caller.ip() == caller);
    assert_eq!(own.clone().max(), Some(displaced));
    let most = flows.map(|(_, flow)| self.flows_of(other, *flow.caller.ip()));
    assert_eq!(most.max(), Some(own.count()));
    let least = self.flows_of(class, *new.caller.ip()) + 2;
    assert!(other > class || self.flows_of(other, caller) >= least);
  }

  /// Beyond the late limit, only a late flow of the same class makes room: the newest of a caller that
  /// has the most, and at least two more.
  fn check_late_displacement(
    &self,
    class: &FlowClass,
    new: Flow,
    other: &FlowClass,
    displaced: Queued,
  ) {
    assert_eq!(class, other);
    assert!(!self.is_in_time(displaced, ANSWER));
    assert!(self.newest_of_longest(class).contains(&displaced));
    let own = self.flows_of(class, *new.caller.ip());
    assert!(self.flows_of(class, *displaced.1.caller.ip()) >= own + 2);
  }

  /// The newest flow of each caller that has the most flows.
  fn newest_of_longest(&self, class: &FlowClass) -> Vec<Queued> {
    let mut newest = BTreeMap::<Ipv4Addr, (usize, Queued)>::new();
    for flow in self.waiting[class].values() {
      let caller = *flow.queued.1.caller.ip();
      let (flows, last) = newest.entry(caller).or_insert((0, flow.queued));
      *flows += 1;
      *last = flow.queued.max(*last);
    }
    let most = newest.values().map(|(flows, _)| *flows).max();
    let longest = newest.values().filter(|(flows, _)| Some(*flows) == most);
    longest.map(|(_, last)| *last).collect()
  }

  /// A flow may only be rejected if no less urgent one waits; a late one, if no late flow of its class
  /// can make room.
  fn check_rejection(&self, class: &FlowClass, flow: Flow, reason: Reason) {
    if reason == Reason::Late {
      let own = self.flows_of(class, *flow.caller.ip());
      let longest = self.newest_of_longest(class);
      let may_stay = |queued: &Queued| {
        let is_longer = self.flows_of(class, *queued.1.caller.ip()) >= own + 2;
        !is_longer || self.is_in_time(*queued, ANSWER)
      };
      assert!(longest.iter().any(may_stay));
      return;
    }
    let lower = self.waiting.iter().filter(|(other, _)| *other > class);
    assert_eq!(lower.map(|(_, list)| list.len()).sum::<usize>(), 0);
    let own = self.flows_of(class, *flow.caller.ip());
    let callers = self.waiting[class].keys().map(|flow| *flow.caller.ip());
    let most = callers.map(|caller| self.flows_of(class, caller)).max();
    assert!(most.is_some_and(|most| most < own + 2));
  }

  /// A flow that is not added, or displaces another, must have reached the limit that applies to it.
  /// Its arrival may have shown that the class has become overloaded.
  fn check_full(&self, class: &FlowClass, queued: Queued, was_overloaded: bool) {
    let list = &self.waiting[class];
    assert!(!list.is_empty(), "one flow may always wait");
    if !was_overloaded {
      let (ahead, behind) = (0u8..3).partition::<Vec<_>, _>(|of| *of <= class.priority);
      let len = |classes: Vec<u8>| classes.iter().map(|of| self.len(*of)).sum::<usize>();
      let others = self.reported.unwrap_or(0).saturating_sub(len(behind));
      let is_full = len(ahead).max(others) as f64 >= self.rate * PERSISTENCE.as_secs_f64();
      assert!(is_full || self.is_overloaded(class.priority));
      if is_full {
        return;
      }
    }
    let late = list.values();
    let late = late.filter(|flow| !self.is_in_time(flow.queued, ANSWER));
    let late = late.count() as f64;
    let left = (queued.0 + PATIENCE.total - self.now).as_secs_f64();
    let late_limit = self.rate(class, true) * left;
    if self.is_in_time(queued, ANSWER) {
      let may_wait =
        (queued.0 + self.objective.min(PATIENCE.total) - (self.now + ANSWER)).as_secs_f64();
      let limit = self.rate(class, false) * may_wait;
      assert!(list.len() as f64 - late >= limit - 1e-6);
      assert!(list.len() as f64 >= limit + late_limit - 1e-6);
    } else {
      assert!(late >= late_limit - 1e-6);
    }
  }

  fn end(&mut self, class: &FlowClass, queued: Queued, end: End) {
    let list = self.waiting.get_mut(class).expect("a class");
    let waiting = list.remove(&queued.1);
    assert!(waiting.is_some(), "a flow that does not wait has ended");
    let age = self.now - queued.0;
    let before = self.ends.insert(queued.1, (end, class.priority, age));
    assert_eq!(before, None, "a flow has ended twice");
  }

  /// Removes expired and hopeless flows, as a balancer does before it places others.
  fn poll(&mut self) {
    for class in self.waiting.keys().cloned().collect::<Vec<_>>() {
      let flows = self.waiting[&class].values();
      let expired = flows.filter(|flow| self.now - flow.queued.0 >= ms(1380));
      for flow in expired.copied().collect::<Vec<_>>() {
        self.shedding.expire(self.now, &class, flow.queued);
        self.end(&class, flow.queued, End::Expired);
      }
      for queued in self.shedding.shed(self.now, &class) {
        self.end(&class, queued, End::Rejected);
      }
      let state = self.shedding.state(self.now, &class);
      assert_eq!(state.queued, self.len(class.priority));
      self.check_hopeless(&class);
    }
  }

  /// Of an overloaded class, the late flow that goes last must still be served in time for its caller,
  /// and so must the oldest one if younger ones overtake it.
  fn check_hopeless(&self, class: &FlowClass) {
    let list = &self.waiting[class];
    if list.len() < 2 || !self.is_overloaded(class.priority) {
      return;
    }
    let late = list.values();
    let late = late.filter(|flow| !self.is_in_time(flow.queued, ANSWER));
    let late = late.collect::<Vec<_>>();
    let hindmost = late.iter().max_by_key(|flow| (flow.level, flow.queued));
    let oldest = late.iter().min_by_key(|flow| flow.queued);
    let overtaken = oldest.filter(|flow| self.now - flow.queued.0 > PATIENCE.certain);
    for flow in hindmost.into_iter().chain(overtaken) {
      let left = (flow.queued.0 + PATIENCE.total - self.now).as_secs_f64();
      assert!(((late.len() - 1) as f64) < self.rate(class, true) * left + 1e-6);
    }
  }

  /// Places the most urgent flow of the first of these priorities that has one.
  fn place(&mut self, priorities: &[u8], wait: Duration) -> Option<Flow> {
    let classes = priorities.iter().map(|priority| class(*priority));
    let mut next = classes.filter_map(|class| {
      let queued = self.shedding.next(self.now, &class, wait)?;
      Some((class, queued))
    });
    let (class, queued) = next.next()?;
    self.check_order(&class, queued, wait);
    let is_late = !self.is_in_time(queued, wait);
    self.shedding.remove(&class, queued);
    let (_, flow) = queued;
    self
      .shedding
      .record_placement(self.now, &class, flow, is_late);
    self.end(&class, queued, End::Placed);
    self.placed.push((self.now, class, flow, is_late));
    Some(flow)
  }

  /// Only flows of a lower level, or of the same level and more urgent, go before a flow.
  fn check_order(&self, class: &FlowClass, next: Queued, wait: Duration) {
    let by_order = |flow: &&Waiting| (flow.level, flow.queued);
    let flows = || self.waiting[class].values();
    let lowest = flows().map(|flow| flow.level).min();
    let newest = flows().filter(|flow| Some(flow.level) == lowest);
    let newest = newest.max_by_key(by_order).expect("a flow");
    let in_time = if self.is_overloaded(class.priority) {
      let in_time = flows().filter(|flow| self.is_in_time(flow.queued, wait));
      in_time.min_by_key(by_order)
    } else {
      Some(newest).filter(|newest| self.is_in_time(newest.queued, wait))
    };
    let certain = flows().filter(|flow| self.now - flow.queued.0 <= PATIENCE.certain);
    let expected = in_time.or(certain.min_by_key(by_order));
    assert_eq!(next, expected.unwrap_or(newest).queued);
  }

  /// Passes time in which flows arrive and are placed at these intervals.
  fn run(&mut self, time: u64, arrivals: &[(u8, u64)], placing: Option<u64>) {
    for at in 1..=time {
      self.now += ms(1);
      for (priority, every) in arrivals {
        if at % every == 0 {
          self.arrive(*priority, (at / 4 % 200) as u8, Duration::ZERO);
        }
      }
      if at % 5 == 0 {
        self.poll();
      }
      if placing.is_some_and(|every| at % every == 0) {
        self.place(&[0, 1, 2], ANSWER);
      }
    }
  }

  /// The ages at which flows of a priority have ended in this way, in order.
  fn ages(&self, priority: u8, end: End) -> Vec<Duration> {
    let ends = self.ends.values();
    let ends = ends.filter(|(how, of, _)| (*how, *of) == (end, priority));
    let mut ages = ends.map(|(.., age)| *age).collect::<Vec<_>>();
    ages.sort_unstable();
    ages
  }
}

fn class(priority: u8) -> FlowClass {
  FlowClass {
    priority,
    service: "a".parse().expect("a name"),
  }
}

#[test]
fn flows_beyond_the_rate_are_rejected_early_and_the_others_are_in_time() {
  let mut line = Line::new(50.0, None);
  line.run(4100, &[(0, 12)], Some(20));
  line.ends.clear();
  line.run(8000, &[(0, 12)], Some(20));
  let placed = line.ages(0, End::Placed);
  let in_time = placed.iter().filter(|age| **age + ANSWER <= OBJECTIVE);
  assert!(in_time.count() * 100 >= placed.len() * 97, "{placed:?}");
  assert_eq!(placed.len(), 400);
  assert_eq!(line.ages(0, End::Expired), []);
  let rejected = line.ages(0, End::Rejected);
  assert!(rejected[rejected.len() / 2] <= ms(50), "{rejected:?}");
}

/// Guards against flows that count as on time until they expire, so that none is rejected early.
#[test]
fn flows_with_an_objective_beyond_the_patience_are_rejected_early() {
  let mut line = Line::new(50.0, None);
  line.objective = ms(5000);
  line.run(6000, &[(0, 12)], Some(20));
  assert!(line.is_overloaded(0));
  line.ends.clear();
  line.run(4000, &[(0, 12)], Some(20));
  let (expired, rejected) = (line.ages(0, End::Expired), line.ages(0, End::Rejected));
  assert!(expired.len() * 20 <= rejected.len(), "{expired:?}");
}

#[test]
fn a_higher_priority_is_in_time_while_lower_ones_wait() {
  let mut line = Line::new(50.0, None);
  line.run(6000, &[(0, 40), (1, 18)], Some(20));
  let late = line.ages(0, End::Placed).into_iter();
  let late = late.filter(|age| *age + ANSWER > OBJECTIVE);
  assert_eq!(late.count(), 0);
  assert_eq!(line.ages(0, End::Rejected), []);
  assert!(line.ages(1, End::Placed).len() > 100);
}

#[test]
fn a_caller_with_one_flow_is_served_beside_one_with_a_hundred() {
  let mut line = Line::new(50.0, None);
  for _ in 0..140 {
    line.arrive(0, 1, Duration::ZERO);
  }
  assert_eq!(line.len(0), 140);
  // The queue is full: the flow of another caller takes a place of the one with the most.
  assert!(!line.arrive(0, 1, Duration::ZERO));
  assert!(line.arrive(0, 2, Duration::ZERO));
  assert_eq!(line.ages(0, End::Displaced).len(), 1);
  line.now += ms(5);
  let next = [line.place(&[0], ANSWER), line.place(&[0], ANSWER)];
  let callers = next.map(|flow| flow.expect("a flow").caller.ip().octets()[3]);
  assert!(callers.contains(&2), "{callers:?}");
}

#[test]
fn the_newest_flow_of_the_lowest_priority_is_displaced() {
  let mut line = Line::new(50.0, None);
  for priority in [1, 2] {
    for caller in 0..70 {
      line.arrive(priority, caller, Duration::ZERO);
    }
  }
  for caller in 0..65 {
    assert!(line.arrive(0, caller, Duration::ZERO));
  }
  // Flows of lower priorities do not count for the limit of a higher one.
  assert_eq!(line.ages(2, End::Displaced), []);
  assert!(line.arrive(1, 99, Duration::ZERO));
  assert!(line.arrive(1, 98, Duration::ZERO));
  let displaced = [0, 1, 2].map(|priority| line.ages(priority, End::Displaced).len());
  assert_eq!(displaced, [0, 0, 0]);
  for caller in 100..110 {
    assert!(line.arrive(1, caller, Duration::ZERO));
  }
  let displaced = [0, 1, 2].map(|priority| line.ages(priority, End::Displaced).len());
  assert_eq!(displaced, [0, 0, 7]);
}

#[test]
fn the_queues_of_other_balancers_count_as_reported() {
  let mut line = Line::new(50.0, Some(139));
  assert!(line.arrive(0, 1, Duration::ZERO));
  assert!(line.arrive(0, 2, Duration::ZERO));
  line.update(50.0, Some(140));
  assert!(!line.arrive(0, 3, Duration::ZERO));
  // Without a report, only this balancer's flows count.
  line.update(50.0, None);
  assert!(line.arrive(0, 3, Duration::ZERO));
  // Targets that answer nothing any more: what they answered before is the limit.
  line.update(0.0, None);
  for caller in 11..148 {
    assert!(line.arrive(0, caller, Duration::ZERO));
  }
  assert!(!line.arrive(0, 99, Duration::ZERO));
}

#[test]
fn flows_are_held_while_targets_are_down() {
  let mut line = Line::new(50.0, None);
  line.run(4100, &[(0, 12)], Some(20));
  assert!(line.is_overloaded(0));
  line.run(WINDOW.as_millis() as u64, &[], None);
  line.ends.clear();
  line.run(600, &[(0, 12)], None);
  assert!(!line.is_overloaded(0));
  assert_eq!(line.ages(0, End::Rejected), []);
  // The first placements after that show no rate yet.
  line.run(600, &[(0, 25)], Some(20));
  assert_eq!(line.ages(0, End::Rejected), []);
}

#[test]
fn rates_start_anew_after_a_pause() {
  let mut line = Line::new(50.0, None);
  line.run(4100, &[(0, 12)], Some(20));
  assert!(line.is_overloaded(0));
  line.shedding.restart(line.now);
  line.ends.clear();
  line.run(2750, &[(0, 12)], Some(20));
  assert!(!line.is_overloaded(0));
  assert_eq!(line.ages(0, End::Rejected), []);
  line.run(200, &[(0, 12)], Some(20));
  assert!(line.is_overloaded(0));
}

#[test]
fn a_refused_placement_does_not_count() {
  let mut line = Line::new(50.0, None);
  for _ in 0..2 {
    line.arrive(0, 1, Duration::ZERO);
  }
  let flow = line.place(&[0], ANSWER).expect("a flow");
  let rate = |line: &Line| line.shedding.state(line.now, &class(0)).drain_rate;
  assert!(rate(&line) > 1.0);
  line.shedding.retract_placement(&class(0), &flow);
  assert!(rate(&line) < 0.1);
}

#[test]
fn a_class_recovers_once_its_queue_was_empty() {
  let mut line = Line::new(50.0, None);
  line.run(5100, &[(0, 12)], Some(20));
  assert!(line.is_overloaded(0));
  line.run(1000, &[(0, 50)], Some(20));
  assert!(!line.is_overloaded(0));
}

/// Guards against a stale item that remains when the same flow is queued with two starts: `shed` and
/// `next` would return it for ever.
#[test]
fn a_flow_that_is_queued_with_two_starts_is_removed_with_both() {
  let mut line = Line::new(50.0, None);
  let starts = [before(line.now, ms(400)), line.now];
  for first in starts {
    let newcomer = Newcomer {
      objective: OBJECTIVE,
      queued: (first, flow(1, 1)),
    };
    let verdict = line.shedding.admit(line.now, &class(0), &newcomer);
    assert_eq!(verdict, Verdict::Waits);
  }
  for (left, first) in [(1, starts[0]), (0, starts[1])] {
    line.shedding.remove(&class(0), (first, flow(1, 1)));
    assert_eq!(line.shedding.state(line.now, &class(0)).queued, left);
  }
  assert_eq!(line.shedding.next(line.now, &class(0), ANSWER), None);
  assert_eq!(line.shedding.shed(line.now, &class(0)), []);
}

proptest! {
  #[test]
  fn each_flow_ends_once_and_none_waits_in_vain(
    steps in prop::collection::vec((0u8..10, 0u8..3, 0u8..6, 0u64..60), 1..2400),
    reported in prop::option::of(0usize..20),
  ) {
    let mut line = Line::new(10.0, reported);
    let mut arrived = 0;
    for (kind, priority, caller, time) in steps {
      match kind {
        0..=4 => {
          let age = [0, 0, 0, 0, 200, 600][usize::from(caller)];
          line.arrive(priority, caller, ms(age));
          arrived += 1;
        }
        5 | 6 => {
          line.place(&[priority, 0, 1, 2], ms(40 + time * 4));
        }
        _ => {
          line.now += ms(time);
          line.poll();
        }
      }
      let waiting = line.waiting.values().map(BTreeMap::len).sum::<usize>();
      prop_assert_eq!(line.ends.len() + waiting, arrived);
    }
  }
}

/// A balancer of one service with two targets that are busy, and a route of a higher priority.
fn overloaded() -> Balancer {
  let overload = Overload { enabled: true };
  let tuning = Tuning {
    overload,
    ..Tuning::default()
  };
  let mut balancer = Harness::tuned(1, &tuning);
  let live = Presence::Live;
  let records = [
    configured_first(1, 1, &[(1, "a"), (3, "a")], 3),
    listed(2, "up-11", 11, "a", live),
    listed(3, "up-12", 12, "a", live),
  ];
  balancer.platform(update(None, 3, &records));
  for host in [11, 12] {
    feed_status(&mut balancer, host, 1, busy(24));
  }
  balancer
}

fn counted(balancer: &Balancer, name: &str) -> u64 {
  let counts = balancer.machine.counter().snapshot();
  counts.get(name).copied().unwrap_or(0)
}

#[test]
fn a_displaced_flow_is_reset_and_counted() {
  let mut balancer = overloaded();
  for port in 1..=560 {
    balancer.packet(Packet::open(flow(port, 1), 0));
  }
  for port in 1..=560 {
    let sent = balancer.packet(Packet::open(flow(port, 3), 0));
    assert_eq!(sent, []);
  }
  let sent = balancer.packet(Packet::open(flow(600, 3), 0));
  assert!(is_reset(&sent, flow(560, 1), 0), "{sent:?}");
  assert_eq!(counted(&balancer, "queue.arrived.0"), 561);
  assert_eq!(counted(&balancer, "queue.displaced.1"), 1);
  assert_eq!(counted(&balancer, "queue.rejected.0"), 0);
}

/// How many flows have expired and how many were rejected.
fn given_up(balancer: &Balancer) -> [u64; 2] {
  ["queue.expired.1", "queue.rejected.1"].map(|name| counted(balancer, name))
}

#[test]
fn flows_beyond_the_grants_are_reset_at_once_and_the_state_shows_it() {
  let mut balancer = overloaded();
  let mut resets = 0;
  let mut earlier = [0, 0];
  for port in 1..=2550 {
    if port == 2051 {
      earlier = given_up(&balancer);
    }
    let sent = balancer.packet(Packet::open(flow(port, 1), 0));
    resets += usize::from(port > 2050 && is_reset(&sent, flow(port, 1), 0));
    if port % 20 == 0 {
      // So busy that nothing is placed without a grant.
      let (load, priority) = (busy(11), 1);
      for sent in balancer.frame(12, &Frame::Grant { load, priority }, &[]) {
        let Sent::Frame(_, Frame::Carry { .. }, packet) = sent else {
          continue;
        };
        let opened = Packet::read(&packet).expect("a packet").flow;
        balancer.frame(12, &Frame::Opened(opened, busy(11)), &[]);
      }
    }
    balancer.pass(ms(2));
  }
  // Of 500 flows, 25 are placed. Most of the others are told at once.
  assert!(resets > 250, "{resets}");
  assert_eq!(counted(&balancer, "queue.granted.1"), 127);
  // At most one in 20 is held until its caller gives up.
  let [expired, rejected] = given_up(&balancer);
  let (expired, rejected) = (expired - earlier[0], rejected - earlier[1]);
  assert!(expired * 20 <= rejected, "{expired} of {rejected}");
  let state = &balancer.machine.dump(balancer.now)["admission"][0];
  assert_eq!(state["overloaded"], true, "{state}");
  assert!(state["limit"].as_f64().is_some_and(|limit| limit < 10.0));
}
