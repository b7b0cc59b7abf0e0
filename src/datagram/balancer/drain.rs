use {
  super::per_second::PerSecond,
  crate::datagram::Flow,
  std::{
    collections::{HashMap, VecDeque},
    net::Ipv4Addr,
    time::{Duration, Instant},
  },
};

/// A flow that was sent to a target.
#[derive(Clone, Copy, Debug)]
struct Placement {
  at: Instant,
  flow: Flow,
  /// Whether it was placed too late for its objective.
  is_late: bool,
}

/// The recent placements of a class: how fast its queue drains.
#[derive(Debug)]
pub struct Drain {
  by_caller: HashMap<Ipv4Addr, usize>,
  /// When the late ones of `placed` were placed.
  late: VecDeque<Instant>,
  placed: VecDeque<Placement>,
  window: Duration,
}

impl Drain {
  /// No placements. They count for the time `window`.
  pub fn new(window: Duration) -> Self {
    Self {
      by_caller: HashMap::new(),
      late: VecDeque::new(),
      placed: VecDeque::new(),
      window,
    }
  }

  /// Whether flows were placed within the window.
  pub fn is_active(&self, now: Instant) -> bool {
    let last = self.placed.back();
    last.is_some_and(|last| self.is_recent(now, last.at))
  }

  /// The placements per second.
  pub fn rate(&self, now: Instant) -> PerSecond {
    let placed = &self.placed;
    let old = placed.partition_point(|placement| !self.is_recent(now, placement.at));
    PerSecond::of(placed.len() - old, self.window)
  }

  /// The placements per second that were too late for their objective.
  pub fn late_rate(&self, now: Instant) -> PerSecond {
    let old = self.late.partition_point(|at| !self.is_recent(now, *at));
    PerSecond::of(self.late.len() - old, self.window)
  }

  /// How many flows of a caller were placed within the window, as of the last call of `expire`.
  pub fn flows_of(&self, caller: Ipv4Addr) -> usize {
    self.by_caller.get(&caller).copied().unwrap_or(0)
  }

  /// Records a placement.
  pub fn record(&mut self, now: Instant, flow: Flow, is_late: bool) {
    self.expire(now);
    if is_late {
      self.late.push_back(now);
    }
    *self.by_caller.entry(*flow.caller.ip()).or_default() += 1;
    let at = now;
    self.placed.push_back(Placement { at, flow, is_late });
  }

  /// Removes the last placement of a flow: its target did not take it.
  pub fn retract(&mut self, flow: &Flow) {
    let index = self.placed.iter().rposition(|placed| placed.flow == *flow);
    let Some(placement) = index.and_then(|index| self.placed.remove(index)) else {
      return;
    };
    self.release(placement.flow);
    if placement.is_late
      && let Ok(index) = self.late.binary_search(&placement.at)
    {
      self.late.remove(index);
    }
  }

  /// Discards placements that are older than the window.
  pub fn expire(&mut self, now: Instant) {
    while let Some(first) = self.placed.front().copied() {
      if self.is_recent(now, first.at) {
        return;
      }
      self.placed.pop_front();
      if first.is_late {
        self.late.pop_front();
      }
      self.release(first.flow);
    }
  }

  fn is_recent(&self, now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < self.window
  }

  fn release(&mut self, flow: Flow) {
    let caller = *flow.caller.ip();
    let Some(count) = self.by_caller.get_mut(&caller) else {
      return;
    };
    *count -= 1;
    if *count == 0 {
      self.by_caller.remove(&caller);
    }
  }
}
