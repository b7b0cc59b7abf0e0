//! When the platform last confirmed the configuration, as processes report it to each other.

use {
  serde::{Deserialize, Serialize},
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
};

/// How long a reader's confirmations are remembered after a later one of another reader.
const READER_TTL: Duration = Duration::from_mins(1);

/// A reader's clock counts as faster than this process's by one part in so many, at most.
const DRIFT: u32 = 1000;

/// A report that the platform has answered a process, its reader.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
  /// How long ago that was when the report was sent, as far as the sender knows, in milliseconds.
  pub age_ms: u32,
  /// When it was, by the reader's clock: the time since the first one, in milliseconds.
  pub at_ms: u64,
  /// A random number that distinguishes the reader's incarnation from others.
  pub reader: u32,
}

/// A confirmation as this process knows it.
#[derive(Clone, Copy, Debug)]
struct Dated {
  /// When it was, by the reader's clock.
  at_ms: u64,
  /// When it was, by this process's clock.
  at: Instant,
}

/// The latest confirmations that a process knows of.
///
/// A report may wait in a socket, or in a process that is paused, and be passed on after that as if
/// it had just been sent. Hence later confirmations of a reader are dated by its clock: none is more
/// recent than its distance from an earlier one allows.
#[derive(Clone, Debug)]
pub struct Confirmations {
  by_reader: HashMap<u32, Dated>,
  /// When the platform first answered this process.
  first: Option<Instant>,
  /// The incarnation of this process.
  own: u32,
}

impl Confirmations {
  /// No confirmations yet. `own` distinguishes this incarnation of the process from others.
  pub fn new(own: u32) -> Self {
    Self {
      by_reader: HashMap::new(),
      first: None,
      own,
    }
  }

  /// Forgets readers whose confirmations are long out of date.
  pub fn expire(&mut self) {
    let Some(latest) = self.latest() else {
      return;
    };
    self
      .by_reader
      .retain(|_, dated| latest.saturating_duration_since(dated.at) < READER_TTL);
  }

  /// When the platform last answered a process, as far as is known here.
  pub fn latest(&self) -> Option<Instant> {
    self.by_reader.values().map(|dated| dated.at).max()
  }

  /// Records that the platform has answered this process.
  pub fn record_answer(&mut self, now: Instant) {
    let first = *self.first.get_or_insert(now);
    let at_ms = now.saturating_duration_since(first).as_millis() as u64;
    self.by_reader.insert(self.own, Dated { at_ms, at: now });
  }

  /// Records the report of another process.
  pub fn record_report(&mut self, now: Instant, report: Confirmation) {
    if report.reader == self.own {
      return;
    }
    let age = Duration::from_millis(report.age_ms.into());
    let received = now.checked_sub(age).unwrap_or(now);
    let at = match self.by_reader.get(&report.reader) {
      None => received,
      Some(known) if report.at_ms <= known.at_ms => return,
      Some(known) => {
        let distance = Duration::from_millis(report.at_ms - known.at_ms);
        let latest = known.at.checked_add(distance + distance / DRIFT);
        latest.map_or(received, |latest| latest.min(received))
      }
    };
    let at_ms = report.at_ms;
    self.by_reader.insert(report.reader, Dated { at_ms, at });
  }

  /// The latest confirmation, for other processes.
  pub fn report(&self, now: Instant) -> Option<Confirmation> {
    let readers = self.by_reader.iter();
    let (reader, dated) = readers.max_by_key(|(_, dated)| dated.at)?;
    let age = now.saturating_duration_since(dated.at).as_millis();
    Some(Confirmation {
      age_ms: age.try_into().unwrap_or(u32::MAX),
      at_ms: dated.at_ms,
      reader: *reader,
    })
  }
}
