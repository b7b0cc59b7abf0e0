use {
  super::{per_second::PerSecond, targets::Targets},
  crate::datagram::Service,
  std::time::{Duration, Instant},
};

/// What a balancer knows of all targets of a service together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
  /// The time to process a request that isn't queued: the mean of the targets.
  pub answer: Duration,
  /// The requests per second that the targets can answer.
  pub rate: PerSecond,
  /// How many flows wait for the service in all balancers: the highest that an agent has reported;
  /// none without a recent report.
  pub waiting: Option<usize>,
}

impl Targets {
  /// The capacity of the listed targets of a service.
  pub fn capacity(&self, now: Instant, service: &Service) -> Capacity {
    // The interval of statuses within a data centre. Agents of other data centres report less often;
    // between their reports only the others count.
    let report_ttl = self.tuning.status;
    let agents = self.services.get(service).into_iter().flatten();
    let known = agents.filter_map(|agent| Some((agent, self.by_agent.get(agent)?)));
    let listed = known.filter(|(_, target)| target.service == *service && target.removed.is_none());
    let (mut targets, mut time_ms, mut waiting) = (0, 0.0, None);
    for (agent, target) in listed {
      targets += 1;
      time_ms += target.load.time_ms();
      let age = self.age_ms(now, *agent).map(Duration::from_millis);
      if age.is_some_and(|age| age < report_ttl) {
        waiting = waiting.max(Some(usize::from(target.load.waiting)));
      }
    }
    Capacity {
      answer: Duration::from_secs_f64(time_ms / 1000.0 / f64::from(targets.max(1))),
      rate: PerSecond(self.rate(now, service)),
      waiting,
    }
  }
}
