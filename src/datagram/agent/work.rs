use {
  super::running::{Request, Running},
  crate::datagram::{
    Flow, Load, Overload,
    load::wait_ms,
    uneven::{Kind, Kinds, Pace},
  },
  smallvec::SmallVec,
  std::time::{Duration, Instant},
};

/// Weight of the newest request in the moving averages.
const MEAN_WEIGHT: f64 = 0.05;

/// An answer that takes less than this fraction of the usual time counts as an error: an upstream
/// that fails a request does no work for it. Few good answers are as quick, and those come from all
/// upstreams alike.
const ERROR_TIME_RATIO: f64 = 0.2;

/// Weight of the newest answer in the share of errors; large enough for a few errors in a row to
/// show.
const FAILED_WEIGHT: f64 = 0.1;

/// Weight of an answer that took longer than the usual time.
const USUAL_WEIGHT_LONGER: f64 = 0.2;

/// Weight of an answer that took no longer than the usual time: small, so that the usual time stays
/// near the longest answers.
const USUAL_WEIGHT_SHORTER: f64 = 0.02;

/// An upstream that leaves an opening packet unanswered for so long is down.
const DOWN_AFTER: Duration = Duration::from_millis(60);

/// Measurements are dropped when no newer one has come for so long.
const MEASUREMENT_TTL: Duration = Duration::from_secs(3);

/// So many consecutive resets, without an answer between them, open the circuit. A healthy upstream
/// resets some requests, such as those that cross the end of their flow.
const RESETS_TO_OPEN: u32 = 3;

/// How many overdue requests count: as many as the answers within which a change of speed shows.
const OVERDUE_MAX: usize = 5;

/// How long the circuit stays open at first; the time doubles with each reset of a trial request.
const OPEN_FOR_MIN: Duration = Duration::from_millis(500);

/// The longest time for which the circuit stays open.
const OPEN_FOR_MAX: Duration = Duration::from_secs(2);

/// The requests in flight at an agent's upstream, the upstream's health as its answers show it, and
/// the circuit breaker that stops new flows while the upstream resets its requests.
#[derive(Debug, Default)]
pub struct Work {
  /// How many answers were measured, modulo 2^16.
  answers: u16,
  /// Moving average of the bytes of a request and its answer.
  bytes: f64,
  /// The number of requests that were reset since the last answer.
  consecutive_resets: u32,
  /// The share of answers that were most likely errors.
  failed: f64,
  in_flight: u16,
  /// The service times of each kind of work; with overload control.
  kinds: Kinds,
  /// When a service time was last measured; none once the measurements have been dropped.
  last_measured: Option<Instant>,
  /// Until when the circuit is open; none while it is closed. It is half open after that.
  open_until: Option<Instant>,
  overload: Overload,
  /// The service time; with overload control.
  pace: Pace,
  /// The requests in flight that have arrived; with overload control.
  running: Running,
  /// How many requests the average of `service_ms` covers.
  samples: u32,
  /// Moving average of the time of a request that did not wait for a slot, in milliseconds.
  service_ms: f64,
  /// When the first opening packet since the upstream's last packet was sent.
  unanswered_since: Option<Instant>,
  /// The approximate high quantile of service times, in milliseconds.
  usual_ms: f64,
}

impl Work {
  /// The state of an upstream that has just started.
  pub fn new(overload: Overload) -> Self {
    Self {
      overload,
      ..Self::default()
    }
  }

  /// Counts a request that has begun; `is_first` in its flow.
  pub fn count_request(&mut self, now: Instant, flow: &Flow, is_first: bool) {
    if self.overload.enabled {
      self.kinds.begin(now, Kind::from(flow.route), is_first);
    }
  }

  /// Records that data of a flow's request has arrived. `ahead` requests were in flight when its
  /// first data arrived.
  pub fn receive(&mut self, now: Instant, flow: Flow, ahead: u16) {
    if self.overload.enabled {
      self.running.begin(now, flow, ahead);
    }
  }

  /// Records that no answer to a flow's request is expected any more.
  pub fn forget(&mut self, flow: &Flow) {
    self.running.end(flow);
  }

  /// Counts a request as in flight.
  pub fn begin(&mut self) {
    self.in_flight = self.in_flight.saturating_add(1);
  }

  /// Counts a request as no longer in flight, answered or not.
  pub fn end(&mut self) {
    self.in_flight = self.in_flight.saturating_sub(1);
  }

  /// Ends a request that was answered after `time` and closes the circuit. `ahead` requests were
  /// in flight when it arrived. Without `slots` the time is not measured, since the time spent in
  /// the queue can't be told from the service time.
  pub fn record_answer(
    &mut self,
    now: Instant,
    flow: &Flow,
    time: Duration,
    ahead: u16,
    slots: Option<u16>,
  ) {
    self.consecutive_resets = 0;
    self.open_until = None;
    if let Some(slots) = slots {
      self.measure(now, time, ahead, slots);
      self.measure_kind(now, Kind::from(flow.route), time, ahead, slots);
    }
    self.end();
  }

  /// Ends a request that the upstream reset, and opens the circuit after too many of these.
  pub fn record_reset(&mut self, now: Instant) {
    self.consecutive_resets = self.consecutive_resets.saturating_add(1);
    if let Some(doublings) = self.consecutive_resets.checked_sub(RESETS_TO_OPEN) {
      let open_for = OPEN_FOR_MIN.saturating_mul(1 << doublings.min(8));
      self.open_until = Some(now + open_for.min(OPEN_FOR_MAX));
    }
    self.end();
  }

  /// Whether the circuit breaker lets a new flow through. A half-open circuit lets one through as a
  /// trial and is open again at once. With it, three of 63 targets that went down and up lost 5 requests
  /// in 5.5 s instead of 68.
  pub fn allows(&mut self, now: Instant) -> bool {
    let allows = !self.is_open(now);
    if allows && self.open_until.is_some() {
      // Bounds the wait for a trial that is never answered.
      self.open_until = Some(now + OPEN_FOR_MIN);
    }
    allows
  }

  fn is_open(&self, now: Instant) -> bool {
    self.open_until.is_some_and(|until| now < until)
  }

  fn measure(&mut self, now: Instant, time: Duration, ahead: u16, slots: u16) {
    self.expire_measurements(now);
    self.last_measured = Some(now);
    let ms = time.as_secs_f64() * 1000.0 / (1.0 + queue_per_slot(ahead, slots));
    self.samples = self.samples.saturating_add(1);
    let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.samples));
    self.service_ms += weight * (ms - self.service_ms);
    self.update_failed(ms);
  }

  /// Adds the time of an answer to the measurements of overload control.
  fn measure_kind(&mut self, now: Instant, kind: Kind, time: Duration, ahead: u16, slots: u16) {
    if !self.overload.enabled {
      return;
    }
    self.answers = self.answers.wrapping_add(1);
    let own = self.own_time(kind, time, ahead, slots);
    self.kinds.record(now, kind, own);
    self.pace.record(own);
  }

  /// The part of a request's time that it did not wait for a slot. Each request ahead of it took as
  /// long as the mean of all kinds.
  fn own_time(&self, kind: Kind, time: Duration, ahead: u16, slots: u16) -> Duration {
    let queue = queue_per_slot(ahead, slots);
    let (Some(mean), Some(own)) = (self.pace.time(), self.kinds.time(kind)) else {
      return time.div_f64(1.0 + queue);
    };
    let wait = mean.as_secs_f64() * queue;
    let own = own.as_secs_f64().max(f64::MIN_POSITIVE);
    time.mul_f64(own / (own + wait))
  }

  /// The requests that have been in flight for longer than expected of their kinds, with the least
  /// time that each takes.
  fn overdue(&self, now: Instant, slots: u16) -> SmallVec<[(Kind, Duration); OVERDUE_MAX]> {
    let oldest = self.running.oldest().take(OVERDUE_MAX);
    let overdue = oldest.filter_map(|request| {
      let Request {
        ahead,
        kind,
        received,
      } = *request;
      let time = self.own_time(kind, now.saturating_duration_since(received), ahead, slots);
      let expected = self.kinds.time(kind).or(self.pace.time())?;
      (time > expected).then_some((kind, time))
    });
    overdue.collect()
  }

  /// When the load is to be looked at again although nothing happens, since a request is then in
  /// flight for longer than expected; none where no request can become overdue.
  pub fn overdue_at(&self, last: Instant, interval: Duration) -> Option<Instant> {
    let expected = self.pace.time()?;
    let oldest = self.running.oldest().next()?;
    Some((oldest.received + expected).max(last + interval))
  }

  /// Updates the share of errors and the usual time from the service time of an answer.
  fn update_failed(&mut self, ms: f64) {
    let is_error = ms < self.usual_ms * ERROR_TIME_RATIO;
    self.failed += FAILED_WEIGHT * (f64::from(u8::from(is_error)) - self.failed);
    let weight = if ms > self.usual_ms {
      USUAL_WEIGHT_LONGER
    } else {
      USUAL_WEIGHT_SHORTER
    };
    self.usual_ms += weight * (ms - self.usual_ms);
  }

  /// The expected time until one more request would be answered, in milliseconds.
  pub fn wait_ms(&self, slots: u16) -> f64 {
    let service_ms = if self.overload.enabled {
      self.pace.time().map_or(0.0, to_ms)
    } else {
      self.service_ms
    };
    wait_ms(service_ms, self.in_flight, slots)
  }

  /// Drops measurements that are too old, so that a target which gets no flows because of them gets
  /// some again.
  pub fn expire_measurements(&mut self, now: Instant) {
    let is_old = |at: Instant| now.saturating_duration_since(at) >= MEASUREMENT_TTL;
    if self.last_measured.is_some_and(is_old) {
      self.last_measured = None;
      self.samples = 0;
      self.service_ms = 0.0;
      self.failed = 0.0;
      self.pace = Pace::default();
    }
    self.kinds.expire(now, MEASUREMENT_TTL);
  }

  /// Adds the bytes of a request and its answer to their average.
  pub fn record_bytes(&mut self, bytes: f64) {
    self.bytes = moving_average(self.bytes, bytes);
  }

  /// Starts the timer after which an upstream that sends no packet is down, unless it runs already.
  pub fn await_answer(&mut self, now: Instant) {
    self.unanswered_since.get_or_insert(now);
  }

  /// Stops the timer of `await_answer`, as the upstream sent a packet; true if it was down until
  /// then.
  pub fn note_heard(&mut self, now: Instant) -> bool {
    let unanswered = self.unanswered_since.take();
    unanswered.is_some_and(|since| now.saturating_duration_since(since) >= DOWN_AFTER)
  }

  /// The number of requests in flight.
  pub fn in_flight(&self) -> u16 {
    self.in_flight
  }

  /// The load that is reported to balancers, without its `room` and `waiting`; `flows` is the
  /// number of known flows.
  pub fn load(&self, now: Instant, flows: usize, slots: u16) -> Load {
    let down = self
      .unanswered_since
      .is_some_and(|since| now.saturating_duration_since(since) >= DOWN_AFTER);
    let overdue = self.overdue(now, slots);
    let missing = overdue.iter().map(|(_, time)| *time);
    let service_ms = if self.overload.enabled {
      // A measured time is reported as at least 1 ms, since 0 stands for unknown.
      let time = self.pace.time_with_missing(missing);
      time.map_or(0.0, |time| to_ms(time).max(1.0))
    } else {
      self.service_ms
    };
    Load {
      answers: self.answers,
      bytes: to_count(self.bytes) as u32,
      down: down || self.is_open(now),
      failed: (self.failed * 100.0) as u8,
      flows: flows.min(usize::from(u16::MAX)) as u16,
      room: None,
      service_ms: to_count(service_ms) as u16,
      times: self.kinds.times(&overdue),
      waiting: 0,
      work: self.in_flight,
    }
  }
}

/// How many requests wait for each slot where one arrives behind `ahead` others.
fn queue_per_slot(ahead: u16, slots: u16) -> f64 {
  let slots = f64::from(slots);
  (f64::from(ahead) + 1.0 - slots).max(0.0) / slots
}

fn to_ms(time: Duration) -> f64 {
  time.as_secs_f64() * 1000.0
}

/// Rounds an average, which is never negative, to a count that fits 16 bits.
fn to_count(mean: f64) -> u64 {
  mean.round().abs().min(f64::from(u16::MAX)) as u64
}

/// The moving average after `newest`, which is the first sample where `mean` is 0.
fn moving_average(mean: f64, newest: f64) -> f64 {
  if mean == 0.0 {
    return newest;
  }
  mean + MEAN_WEIGHT * (newest - mean)
}
