use {
  super::{
    capacity::Capacity,
    class_state::ClassState,
    patience::Patience,
    queue::{FlowClass, Queued},
    reason::Reason,
    supply::Supply,
    verdict::Verdict,
    waitlist::{Newcomer, Waitlist},
  },
  crate::datagram::{Flow, Service},
  std::{
    collections::BTreeMap,
    net::Ipv4Addr,
    time::{Duration, Instant},
  },
};

/// Decides which flows wait for a target and which are rejected, and in which order they are placed.
/// It relies on the balancer's own placements and on what agents report.
#[derive(Debug)]
pub struct Shedding {
  classes: BTreeMap<FlowClass, Waitlist>,
  patience: Patience,
  services: BTreeMap<Service, Supply>,
}

impl Shedding {
  /// Nothing waits and nothing was observed.
  pub fn new(patience: Patience) -> Self {
    Self {
      classes: BTreeMap::new(),
      patience,
      services: BTreeMap::new(),
    }
  }

  /// Replaces what is known of the targets of a service.
  pub fn update(&mut self, service: &Service, capacity: Capacity) {
    let supply = self.services.entry(service.clone()).or_default();
    supply.update(capacity);
  }

  /// Decides whether a flow waits, and adds it if so.
  pub fn admit(&mut self, now: Instant, class: &FlowClass, newcomer: &Newcomer) -> Verdict {
    let supply = self.supply(&class.service);
    self.list(class).mark_late(now, supply.answer());
    let Some(reason) = self.excess_of(now, class, newcomer) else {
      self.list(class).insert(now, newcomer, supply.answer());
      return Verdict::Waits;
    };
    let (_, flow) = newcomer.queued;
    let Some((other, displaced)) = self.less_urgent(class, *flow.caller.ip(), reason) else {
      self.list(class).record_excess(now);
      return Verdict::Rejected(reason);
    };
    let list = self.list(&other);
    list.remove(displaced);
    list.record_excess(now);
    self.list(class).insert(now, newcomer, supply.answer());
    Verdict::Displaces(other, displaced)
  }

  /// Removes and returns the flows of a class that are known not to be served.
  pub fn shed(&mut self, now: Instant, class: &FlowClass) -> Vec<Queued> {
    let supply = self.supply(&class.service);
    let Some(list) = self.classes.get_mut(class) else {
      return Vec::new();
    };
    list.mark_late(now, supply.answer());
    let mut shed = Vec::new();
    if !list.is_overloaded(now, &supply) {
      return shed;
    }
    while let Some(queued) = list.hopeless(now) {
      list.remove(queued);
      list.record_excess(now);
      shed.push(queued);
    }
    shed
  }

  /// The flow of a class to be placed first at a target where its request would be answered after
  /// `wait`; none if no flow waits.
  pub fn next(&self, now: Instant, class: &FlowClass, wait: Duration) -> Option<Queued> {
    let supply = self.supply(&class.service);
    self.classes.get(class)?.next(now, &supply, wait)
  }

  /// Removes a flow: it was placed or is given up.
  pub fn remove(&mut self, class: &FlowClass, queued: Queued) {
    if let Some(list) = self.classes.get_mut(class) {
      list.remove(queued);
    }
  }

  /// Removes a flow whose caller would give up before an answer reached it.
  pub fn expire(&mut self, now: Instant, class: &FlowClass, queued: Queued) {
    if let Some(list) = self.classes.get_mut(class) {
      list.remove(queued);
      list.record_excess(now);
    }
  }

  /// Records that a flow was sent to a target, and whether that was too late for its objective.
  pub fn record_placement(&mut self, now: Instant, class: &FlowClass, flow: Flow, is_late: bool) {
    let window = self.patience.window();
    let supply = self.services.entry(class.service.clone()).or_default();
    supply.record_placement(now, window);
    self.list(class).drain.record(now, flow, is_late);
  }

  /// Discards the last placement of a flow: its target did not take it.
  pub fn retract_placement(&mut self, class: &FlowClass, flow: &Flow) {
    if let Some(list) = self.classes.get_mut(class) {
      list.drain.retract(flow);
    }
  }

  /// Measures anew, after a pause of the process.
  pub fn restart(&mut self, now: Instant) {
    self.services.values_mut().for_each(Supply::restart);
    for list in self.classes.values_mut() {
      list.restart(now);
    }
  }

  /// How many callers have flows of a class that wait.
  pub fn callers(&self, class: &FlowClass) -> usize {
    self.classes.get(class).map_or(0, Waitlist::callers)
  }

  /// The classes that have become overloaded, or have recovered, since the last call. Classes
  /// without flows and recent placements are discarded.
  pub fn changes(&mut self, now: Instant) -> Vec<(FlowClass, ClassState)> {
    let mut changed = Vec::new();
    let services = &self.services;
    self.classes.retain(|class, list| {
      let supply = services.get(&class.service).copied().unwrap_or_default();
      let is_overloaded = list.is_overloaded(now, &supply);
      if is_overloaded != list.was_overloaded {
        list.was_overloaded = is_overloaded;
        changed.push(class.clone());
      }
      !list.is_empty() || list.drain.is_active(now)
    });
    let states = changed.into_iter().map(|class| {
      let state = self.state(now, &class);
      (class, state)
    });
    states.collect()
  }

  /// The classes that have flows or recent placements.
  pub fn classes(&self) -> impl Iterator<Item = &FlowClass> {
    self.classes.keys()
  }

  /// The state of a class.
  pub fn state(&self, now: Instant, class: &FlowClass) -> ClassState {
    let supply = self.supply(&class.service);
    let list = self.classes.get(class);
    let overloaded = list.is_some_and(|list| list.is_overloaded(now, &supply));
    let limit = match list {
      Some(list) if overloaded => Some(list.limit(now, &supply)),
      _ => self.shared_limit(&supply),
    };
    ClassState {
      callers: list.map_or(0, Waitlist::callers),
      drain_rate: list.map_or(0.0, |list| list.drain.rate(now).0),
      late_rate: list.map_or(0.0, |list| list.drain.late_rate(now).0),
      limit,
      overloaded,
      queued: list.map_or(0, Waitlist::len),
    }
  }

  /// Why a flow finds the queue full; none if it can wait. One flow of each class may always wait.
  fn excess_of(&self, now: Instant, class: &FlowClass, newcomer: &Newcomer) -> Option<Reason> {
    let list = self.classes.get(class).filter(|list| !list.is_empty())?;
    let supply = self.supply(&class.service);
    if list.is_overloaded(now, &supply) {
      return list.excess_of(now, &supply, newcomer);
    }
    let limit = self.shared_limit(&supply)?;
    let is_full = self.ahead(class, &supply) as f64 >= limit;
    is_full.then_some(Reason::Full)
  }

  /// How many flows of a service may wait in all balancers: as many as its targets answer while
  /// callers go on trying. None if their rate was never known.
  fn shared_limit(&self, supply: &Supply) -> Option<f64> {
    supply
      .rate()
      .map(|rate| rate.within(self.patience.persistence()))
  }

  /// How many flows of the class's priority and of higher ones wait in all balancers, as far as known.
  /// A report doesn't tell the priorities; of the lower ones only this balancer's are known.
  fn ahead(&self, class: &FlowClass, supply: &Supply) -> usize {
    let (mut ahead, mut behind) = (0, 0);
    for (other, list) in self.of_service(&class.service) {
      if other.priority <= class.priority {
        ahead += list.len();
      } else {
        behind += list.len();
      }
    }
    let reported = supply.waiting().unwrap_or(0);
    ahead.max(reported.saturating_sub(behind))
  }

  /// The flow that is displaced by a new one of a caller: of the lowest class below, or else of a
  /// caller of the same class that has at least two more flows. A late flow displaces only a late one
  /// of its class: no other makes room within the late limit.
  fn less_urgent(
    &self,
    class: &FlowClass,
    caller: Ipv4Addr,
    reason: Reason,
  ) -> Option<(FlowClass, Queued)> {
    let only_late = reason == Reason::Late;
    let lists = self.of_service(&class.service);
    let lists = lists.filter(|(_, list)| !list.is_empty());
    let (lowest, list) = lists.last()?;
    if lowest.priority > class.priority && !only_late {
      return Some((lowest.clone(), list.longest()?));
    }
    let list = self.classes.get(class)?;
    let (first, flow) = list.longest()?;
    if only_late && !list.is_late((first, flow)) {
      return None;
    }
    let most = list.flows_of(*flow.caller.ip());
    // With a difference of one, displacement would only swap the two callers.
    (most >= list.flows_of(caller) + 2).then_some((class.clone(), (first, flow)))
  }

  /// The lists of a service, the highest priority first.
  fn of_service(&self, service: &Service) -> impl Iterator<Item = (&FlowClass, &Waitlist)> {
    let lists = self.classes.iter();
    lists.filter(move |(class, _)| class.service == *service)
  }

  fn list(&mut self, class: &FlowClass) -> &mut Waitlist {
    let patience = self.patience;
    let list = self.classes.entry(class.clone());
    list.or_insert_with(|| Waitlist::new(patience))
  }

  fn supply(&self, service: &Service) -> Supply {
    self.services.get(service).copied().unwrap_or_default()
  }
}
