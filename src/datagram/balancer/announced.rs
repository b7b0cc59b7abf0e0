use {
  crate::datagram::Service,
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

/// The longest interval between two reports of a queue; shorter than the time after which agents
/// discard one.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(100);

/// After this long without an answer to a report, a service's agents are assumed to grant nothing. Two
/// grants fit in this time, each with the time for which it is reserved (25 ms), so that the loss of
/// one is not taken for silence; and a flow that was queued meanwhile can be sent to two more targets
/// (40 ms each) before its caller retransmits after 200 ms. Counted from the first report that is not
/// answered, since nothing is due between two reports.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// How long it is remembered that no agent answers: as long as agents keep a report. After that they
/// have to be asked again.
const SILENCE_TTL: Duration = Duration::from_millis(350);

/// The number of queued flows of a class: its priority and its flows.
pub type ClassLength = (u8, usize);

/// What agents of a service were last sent.
#[derive(Clone, Debug)]
struct Report {
  at: Instant,
  classes: Vec<ClassLength>,
  /// When the first of the reports was sent that no agent has answered; none if one has answered
  /// the last.
  unanswered_since: Option<Instant>,
}

/// The queue lengths that agents were last sent, by service, and whether they have answered.
#[derive(Debug, Default)]
pub struct Announced {
  services: BTreeMap<Service, Report>,
}

impl Announced {
  /// Whether queue lengths are due to be sent to agents: the last ones are old, or the queue of a
  /// class has since doubled or halved. They then count as sent. Reports of short queues must not be
  /// fewer: agents count down what was reported with each grant that is used, and grant nothing to a
  /// queue that has been refilled meanwhile.
  pub fn is_due(&mut self, now: Instant, service: &Service, classes: &[ClassLength]) -> bool {
    let last = self.services.get(service);
    let due = last.is_none_or(|last| {
      let is_old = now.saturating_duration_since(last.at) >= RENEWAL_INTERVAL;
      is_old || is_changed(&last.classes, classes) || is_changed(classes, &last.classes)
    });
    if due {
      let recent = last.filter(|last| now.saturating_duration_since(last.at) < SILENCE_TTL);
      let unanswered_since = recent.and_then(|last| last.unanswered_since);
      let report = Report {
        at: now,
        classes: classes.to_vec(),
        unanswered_since: unanswered_since.or(Some(now)),
      };
      // Older reports decide nothing.
      self
        .services
        .retain(|_, last| now.saturating_duration_since(last.at) < SILENCE_TTL);
      self.services.insert(service.clone(), report);
    }
    due
  }

  /// Clears the lengths of a service whose queue is empty, so that the next flow is reported at
  /// once. Agents learn of the empty queue when they grant a slot.
  pub fn clear(&mut self, service: &Service) {
    if let Some(report) = self.services.get_mut(service) {
      report.classes.clear();
    }
  }

  /// Records that an agent has answered: by a grant, a refusal or a status that shows that it knows
  /// of waiting flows.
  pub fn record_answer(&mut self, service: &Service) {
    if let Some(report) = self.services.get_mut(service) {
      report.unanswered_since = None;
    }
  }

  /// Whether no agent of a service has answered the reports of the queue.
  pub fn is_unanswered(&self, now: Instant, service: &Service) -> bool {
    let is_past = |at: Instant, time| now.saturating_duration_since(at) >= time;
    self.services.get(service).is_some_and(|report| {
      let unanswered = report.unanswered_since;
      unanswered.is_some_and(|since| is_past(since, ANSWER_TIMEOUT))
        && !is_past(report.at, SILENCE_TTL)
    })
  }
}

/// Whether the queue of a class of `after` is at least twice as long as it was in `before`.
fn is_changed(before: &[ClassLength], after: &[ClassLength]) -> bool {
  after.iter().any(|(priority, flows)| {
    let same = before.iter().find(|(other, _)| other == priority);
    *flows >= 2 * same.map_or(0, |(_, flows)| *flows)
  })
}
