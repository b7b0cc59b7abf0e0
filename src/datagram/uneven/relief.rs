use {smallvec::SmallVec, std::collections::BTreeMap};

/// A target that takes more than this many times as long as the median is relieved.
const RATIO_MIN: f64 = 2.0;

/// One target in so many may be relieved, so that the others can carry its flows.
const TARGETS_PER_RELIEVED: usize = 3;

/// What is known of a target when the relief of its service is decided.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
  /// How many answers were measured, modulo 2^16.
  pub answers: u16,
  /// Whether it fails more requests than its peers.
  pub fails: bool,
  /// The number of its requests.
  pub in_flight: u16,
  /// How many times as long as the median it takes; none where it is not measured.
  pub ratio: Option<f64>,
  /// How many requests it works on at once.
  pub slots: u16,
}

impl Sample {
  /// Its ratio if it is slow enough, or fails enough, to be relieved.
  fn excess(&self) -> Option<f64> {
    let ratio = self.ratio?;
    (self.fails || ratio > RATIO_MIN).then_some(ratio.max(1.0))
  }
}

#[derive(Clone, Copy, Debug)]
enum State {
  /// Gets a share of new flows in inverse proportion to its ratio.
  Relieved { ratio: f64 },
  /// Gets new flows while it has fewer requests than `allowed`. `answers` were measured at the last
  /// decision.
  Trial { allowed: u16, answers: u16 },
}

/// The targets of a service that get fewer new flows, since they are slow or fail, and those that
/// are tried again after that.
#[derive(Clone, Debug)]
pub struct Relief<K> {
  states: BTreeMap<K, State>,
}

impl<K> Default for Relief<K> {
  fn default() -> Self {
    Self {
      states: BTreeMap::new(),
    }
  }
}

impl<K: Copy + Ord> Relief<K> {
  /// Decides anew for all targets of the service.
  pub fn update(&mut self, samples: &[(K, Sample)]) {
    let relieved = worst(samples);
    let per_slot = in_flight_per_slot(samples);
    let before = std::mem::take(&mut self.states);
    for (target, sample) in samples {
      let found = relieved.iter().find(|(other, _)| other == target);
      let state = match (found, before.get(target)) {
        (Some((_, ratio)), _) => Some(State::Relieved { ratio: *ratio }),
        (None, Some(state)) => state.returning(sample, per_slot),
        (None, None) => None,
      };
      self.states.extend(state.map(|state| (*target, state)));
    }
  }

  /// Removes a target whose upstream has started again.
  pub fn remove(&mut self, target: K) {
    self.states.remove(&target);
  }

  /// Whether no target is relieved or tried again.
  pub fn is_empty(&self) -> bool {
    self.states.is_empty()
  }

  /// Whether a target is relieved.
  pub fn is_relieved(&self, target: K) -> bool {
    matches!(self.states.get(&target), Some(State::Relieved { .. }))
  }

  /// Whether a target with this many requests may be given a new flow as any other: it is not
  /// relieved, and not all flows that its trial allows are there.
  pub fn permits(&self, target: K, in_flight: u16) -> bool {
    match self.states.get(&target) {
      None => true,
      Some(State::Relieved { .. }) => false,
      Some(State::Trial { allowed, .. }) => in_flight < *allowed,
    }
  }

  /// The relieved target whose share a new flow belongs to, by a point from 0 to 1 that is uniform
  /// over flows; none where it belongs to the others. `pool` are the targets that share the flows,
  /// with their slots.
  pub fn draw(&self, point: f64, pool: &[(K, u16)]) -> Option<K> {
    let share = |(target, slots): &(K, u16)| match self.states.get(target) {
      Some(State::Relieved { ratio }) => f64::from(*slots) / ratio,
      _ => f64::from(*slots),
    };
    let mut left = point * pool.iter().map(share).sum::<f64>();
    let mut relieved = pool.iter().filter(|(target, _)| self.is_relieved(*target));
    let drawn = relieved.find(|entry| {
      left -= share(entry);
      left < 0.0
    });
    drawn.map(|(target, _)| *target)
  }
}

impl State {
  /// The state after this one of a target that is not relieved, where its peers have `per_slot`
  /// requests for each slot; none once it carries its share.
  fn returning(self, sample: &Sample, per_slot: f64) -> Option<Self> {
    let Self::Trial { allowed, answers } = self else {
      return Some(Self::Trial {
        allowed: 1,
        answers: sample.answers,
      });
    };
    // A count that has decreased is that of a restarted agent, or has wrapped around: it proves no
    // answer.
    let answered = sample.answers.saturating_sub(answers);
    // With more requests than are allowed, answers may be those of requests from before the trial.
    let doublings = if sample.in_flight > allowed {
      0
    } else {
      answered
    };
    // 16 doublings exceed any count of 16 bits.
    let allowed = f64::from(allowed) * f64::from(doublings.min(16)).exp2();
    let share = f64::from(sample.slots) * per_slot.max(1.0);
    (allowed < share).then_some(Self::Trial {
      allowed: allowed as u16,
      answers: sample.answers,
    })
  }
}

/// The mean number of requests for each slot of the service's targets.
fn in_flight_per_slot<K>(samples: &[(K, Sample)]) -> f64 {
  let in_flight = samples
    .iter()
    .map(|(_, sample)| f64::from(sample.in_flight));
  let slots = samples.iter().map(|(_, sample)| f64::from(sample.slots));
  in_flight.sum::<f64>() / slots.sum::<f64>().max(1.0)
}

/// The targets to relieve, with their ratios: the worst, as many as may be relieved at a time.
fn worst<K: Copy + Ord>(samples: &[(K, Sample)]) -> SmallVec<[(K, f64); 16]> {
  let excess = samples
    .iter()
    .filter_map(|(target, sample)| Some((*target, sample.excess()?)));
  let mut worst = excess.collect::<SmallVec<[(K, f64); 16]>>();
  worst.sort_by(|(_, one), (_, other)| other.total_cmp(one));
  worst.truncate((samples.len() / TARGETS_PER_RELIEVED).max(1));
  worst
}
