use {
  crate::datagram::{Load, load::wait_ms},
  std::time::{Duration, Instant},
};

/// The weight of the newest request in the means.
const NEWEST: f64 = 0.05;

/// An answer that takes less than this part of what answers usually take most likely is an error: an
/// upstream that fails a request does no work for it. Few good ones are as quick, and at all upstreams
/// alike.
const QUICK_PART: f64 = 0.2;

/// The weight of the newest answer in the share of failed ones: a few in a row show.
const FAILED_NEWEST: f64 = 0.1;

/// The weights of an answer that took longer than usual, and of one that took less: most take less, so
/// that quick ones hardly change what is usual.
const USUAL: (f64, f64) = (0.2, 0.02);

/// An upstream that leaves opening packets unanswered for so long does not serve.
const SILENT: Duration = Duration::from_millis(60);

/// How long a measure counts without a newer one.
const MEASURED: Duration = Duration::from_secs(3);

/// After so many requests in a row that it broke off, and no answer between, an upstream does not
/// serve. One that is well breaks some off, such as those that cross the end of their flow.
const BROKEN: u32 = 3;

/// How long such an upstream is given nothing: the first time, and the longest; twice as long each
/// time that it breaks off the request it is then tried with.
const REST: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(2));

/// What an upstream has to do, as its agent counts it.
#[derive(Debug, Default)]
pub struct Work {
  /// How many requests in a row it broke off.
  broken: u32,
  bytes: f64,
  /// The share of requests that it most likely failed.
  failed: f64,
  /// Until when it is given nothing.
  rests: Option<Instant>,
  samples: u32,
  /// When the last request was answered.
  measured: Option<Instant>,
  /// Since when an opening packet is unanswered.
  silent: Option<Instant>,
  service_ms: f64,
  under_way: u16,
  /// What most answers do not exceed, in milliseconds.
  usual_ms: f64,
}

impl Work {
  /// A request has begun.
  pub fn begun(&mut self) {
    self.under_way = self.under_way.saturating_add(1);
  }

  /// A request has ended, answered or not.
  pub fn ended(&mut self) {
    self.under_way = self.under_way.saturating_sub(1);
  }

  /// A request was answered after `time`, when `ahead` others were there before it. Its time is not
  /// measured where the slots are not known yet: waiting would be taken for work, and a target of 4
  /// slots, said to answer in 6 ms instead of 53, was given 904 of 1,288 new flows (by the logs).
  pub fn answered(&mut self, now: Instant, time: Duration, ahead: u16, slots: Option<u16>) {
    self.broken = 0;
    self.rests = None;
    if let Some(slots) = slots {
      self.measure(now, time, ahead, slots);
    }
    self.ended();
  }

  /// The upstream broke a request off.
  pub fn broken_off(&mut self, now: Instant) {
    self.broken = self.broken.saturating_add(1);
    if let Some(times) = self.broken.checked_sub(BROKEN) {
      let rest = REST.0.saturating_mul(1 << times.min(8));
      self.rests = Some(now + rest.min(REST.1));
    }
    self.ended();
  }

  /// Whether the upstream may be given a new flow. One that breaks requests off rests, and is then
  /// tried with one flow at a time: three of 63 targets that went up and down lost 5 requests in
  /// 5.5 s instead of 68 (by what callers saw).
  pub fn admits(&mut self, now: Instant) -> bool {
    let admits = !self.rests(now);
    if admits && self.rests.is_some() {
      // The next is tried even if this one is never answered.
      self.rests = Some(now + REST.0);
    }
    admits
  }

  fn rests(&self, now: Instant) -> bool {
    self.rests.is_some_and(|until| now < until)
  }

  fn measure(&mut self, now: Instant, time: Duration, ahead: u16, slots: u16) {
    self.forget(now);
    self.measured = Some(now);
    let slots = f64::from(slots);
    let queue = (f64::from(ahead) + 1.0 - slots).max(0.0);
    let ms = time.as_secs_f64() * 1000.0 / (1.0 + queue / slots);
    self.samples = self.samples.saturating_add(1);
    let weight = NEWEST.max(1.0 / f64::from(self.samples));
    self.service_ms += weight * (ms - self.service_ms);
    self.judge(ms);
  }

  /// Tells an answer that most likely is an error from a good one.
  fn judge(&mut self, ms: f64) {
    let quick = ms < self.usual_ms * QUICK_PART;
    self.failed += FAILED_NEWEST * (f64::from(u8::from(quick)) - self.failed);
    let (longer, shorter) = USUAL;
    let weight = if ms > self.usual_ms { longer } else { shorter };
    self.usual_ms += weight * (ms - self.usual_ms);
  }

  /// The time until a request more would be answered, in milliseconds.
  pub fn wait_ms(&self, slots: u16) -> f64 {
    wait_ms(self.service_ms, self.under_way, slots)
  }

  /// Forgets what was measured long ago, so that a target which was given nothing for what it did
  /// gets another chance.
  pub fn forget(&mut self, now: Instant) {
    let old = |at: Instant| now.saturating_duration_since(at) >= MEASURED;
    if self.measured.is_some_and(old) {
      self.measured = None;
      self.samples = 0;
      self.service_ms = 0.0;
      self.failed = 0.0;
    }
  }

  /// A flow has ended that moved so many bytes in so many requests.
  pub fn moved(&mut self, bytes: f64) {
    self.bytes = blend(self.bytes, bytes);
  }

  /// The upstream was given an opening packet.
  pub fn asked(&mut self, now: Instant) {
    self.silent.get_or_insert(now);
  }

  /// The upstream said something; whether it did not serve until then.
  pub fn heard(&mut self, now: Instant) -> bool {
    let silent = self.silent.take();
    silent.is_some_and(|since| now.saturating_duration_since(since) >= SILENT)
  }

  /// How many requests are under way.
  pub fn under_way(&self) -> u16 {
    self.under_way
  }

  /// What others are told.
  pub fn load(&self, now: Instant, flows: usize) -> Load {
    let down = self
      .silent
      .is_some_and(|since| now.saturating_duration_since(since) >= SILENT);
    Load {
      bytes: whole(self.bytes) as u32,
      down: down || self.rests(now),
      failed: (self.failed * 100.0) as u8,
      flows: flows.min(usize::from(u16::MAX)) as u16,
      room: None,
      service_ms: whole(self.service_ms) as u16,
      work: self.under_way,
    }
  }
}

/// A mean as a count; none of them is negative.
fn whole(mean: f64) -> u64 {
  mean.round().abs().min(f64::from(u16::MAX)) as u64
}

fn blend(mean: f64, newest: f64) -> f64 {
  if mean == 0.0 {
    return newest;
  }
  mean + NEWEST * (newest - mean)
}
