//! Evacuated data centres and upstreams in warm-up, in the simulation.

use {
  super::{Item, World},
  crate::support::{configured_cold, evacuation, warming},
  fallwell::{
    Revision,
    datagram::{Flow, Record},
  },
  rand::RngExt,
  std::{collections::BTreeMap, time::Duration},
};

/// How long after it was closed a data centre may get opening packets, in milliseconds.
const CLOSED_AFTER_MS: u64 = 2500;

/// The time over which balancers stop placing flows in an evacuated data centre, in milliseconds.
const EVACUATION_MS: u64 = 1000;

/// The warm-up of an upstream, in milliseconds.
const WARMUP_MS: u64 = 4000;

/// How often an upstream reports the rest of its warm-up to the store, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 600;

/// The configured limit of new flows per second during the warm-up.
const FLOWS_PER_S: u16 = 12;

/// The most new flows in any second of the warm-up that pass the test: half as many more, and five.
const FLOWS_PER_S_MAX: usize = FLOWS_PER_S as usize * 3 / 2 + 5;

/// The data centres and the upstreams in warm-up.
#[derive(Default)]
pub struct DataCentres {
  /// When each closed data centre was closed, in milliseconds.
  closed: BTreeMap<&'static str, u64>,
  /// When the warm-up of each upstream ends, in milliseconds.
  warm_at: BTreeMap<u8, u64>,
  /// The opening packets of the last second at each upstream in warm-up.
  given: BTreeMap<u8, Vec<(u64, Flow)>>,
}

impl World {
  /// A simulation of two data centres, with a configured warm-up.
  pub fn with_data_centres(seed: u64) -> Self {
    let mut world = Self::empty(seed, false, 0);
    world.data_centres = Some(DataCentres::default());
    for host in 1..=3 {
      world.start_balancer(host);
    }
    world
  }

  /// The time over which balancers stop placing flows in an evacuated data centre.
  pub(super) fn closing(&self) -> Duration {
    Duration::from_millis(if self.data_centres.is_some() {
      EVACUATION_MS
    } else {
      0
    })
  }

  /// The data centre of an instance.
  pub(super) fn data_centre(&self, host: u8) -> &'static str {
    match (&self.data_centres, host % 2) {
      (Some(_), 1) => "elsewhere",
      _ => "default",
    }
  }

  /// Closes a data centre to new flows if the store answers.
  pub fn close(&mut self, data_centre: &'static str) {
    if !self.store_answers {
      return;
    }
    let now = self.now;
    let revision = self.next_revision();
    let record = evacuation(revision, data_centre, true);
    self.write(key(data_centre), record);
    if let Some(data_centres) = &mut self.data_centres {
      data_centres.closed.entry(data_centre).or_insert(now);
    }
  }

  /// Opens a closed data centre again if the store answers. If it was closed for so long that all
  /// processes had to know, the warm-up of its upstreams begins now, before the store knows.
  pub fn open(&mut self, data_centre: &'static str) {
    let since = self
      .data_centres
      .as_ref()
      .and_then(|data_centres| data_centres.closed.get(data_centre).copied());
    let Some(since) = since.filter(|_| self.store_answers) else {
      return;
    };
    let revision = self.next_revision();
    let record = evacuation(revision, data_centre, false);
    self.write(key(data_centre), record);
    let was_evacuated = self.now > since + CLOSED_AFTER_MS;
    for host in self.targets() {
      if was_evacuated && self.data_centre(host) == data_centre {
        self.start_warmup(host);
      }
    }
    if let Some(data_centres) = &mut self.data_centres {
      data_centres.closed.remove(data_centre);
    }
  }

  /// Starts the warm-up of an upstream.
  pub(super) fn start_warmup(&mut self, host: u8) {
    let until = self.now + WARMUP_MS;
    if let Some(data_centres) = &mut self.data_centres {
      data_centres.warm_at.insert(host, until);
      let first = self.rng.random_range(1..REPORT_INTERVAL_MS);
      self.schedule(first, Item::Warmup(host));
    }
  }

  /// Stores the rest of an upstream's warm-up.
  pub(super) fn report_warmup(&mut self, host: u8) {
    let left = self.warmup_left(host);
    let id = String::from(self.upstreams[&host].id.clone());
    let listed = self.records.get(&id);
    let listed = listed.is_some_and(|record| {
      matches!(
        record,
        Record::Target { target: Some(target), .. }
          if target.presence == fallwell::config::Presence::Live
      )
    });
    if !self.upstreams[&host].is_up || !listed {
      return;
    }
    let revision = self.next_revision();
    let left = Duration::from_millis(left);
    let mut record = warming(revision, &id, host, self.upstreams[&host].service, left);
    self.set_location_and_warmup(host, &mut record);
    self.write(id, record);
    if !left.is_zero() {
      self.schedule(REPORT_INTERVAL_MS, Item::Warmup(host));
    }
  }

  /// Whether an upstream is in warm-up, or was within the last second.
  fn is_warming_up(&self, host: u8) -> bool {
    let until = self
      .data_centres
      .as_ref()
      .and_then(|data_centres| data_centres.warm_at.get(&host));
    until.is_some_and(|until| self.now < until + 1000)
  }

  /// The rest of an upstream's warm-up, in milliseconds.
  pub(super) fn warmup_left(&self, host: u8) -> u64 {
    let until = self
      .data_centres
      .as_ref()
      .and_then(|data_centres| data_centres.warm_at.get(&host).copied());
    until.map_or(0, |until| until.saturating_sub(self.now))
  }

  /// Sets the data centre and the rest of the warm-up in a target's record.
  pub(super) fn set_location_and_warmup(&self, host: u8, record: &mut Record) {
    if let Record::Target {
      target: Some(target),
      ..
    } = record
    {
      target.data_centre = self.data_centre(host).into();
      target.warmup_left = Duration::from_millis(self.warmup_left(host));
    }
  }

  /// The record of a configuration, with the warm-up if this simulation has one.
  pub(super) fn with_warmup(&self, routes: &[(u8, &str)], revision: u64, record: Record) -> Record {
    if self.data_centres.is_none() {
      return record;
    }
    let lasts = Duration::from_millis(WARMUP_MS);
    configured_cold(revision, self.version, routes, lasts, FLOWS_PER_S)
  }

  /// Checks and counts an opening packet at an upstream. Retransmissions of one count once.
  pub(super) fn count_opening(&mut self, host: u8, flow: Flow, calm: bool) {
    let (data_centre, now) = (self.data_centre(host), self.now);
    let warming_up = self.is_warming_up(host);
    let Some(data_centres) = &mut self.data_centres else {
      return;
    };
    let since = data_centres.closed.get(data_centre);
    let late = since.is_some_and(|since| now > since + CLOSED_AFTER_MS);
    assert!(
      !late || !calm,
      "{host} is in {data_centre}, which is closed"
    );
    let given = data_centres.given.entry(host).or_default();
    if !warming_up || self.upstreams[&host].service != "a" {
      given.clear();
      return;
    }
    given.retain(|(at, given)| now < at + 1000 && *given != flow);
    given.push((now, flow));
    assert!(
      given.len() <= FLOWS_PER_S_MAX,
      "{host} is in warm-up and was given {} flows in a second",
      given.len()
    );
  }

  /// Whether a snapshot of the store includes a record: it has no removed targets and no reopened
  /// data centres.
  pub(super) fn is_in_snapshot(record: &Record) -> bool {
    !matches!(
      record,
      Record::Evacuation { closed: false, .. } | Record::Target { target: None, .. }
    )
  }

  /// The store's latest revision.
  pub(super) fn latest_revision(&self) -> Revision {
    Revision(self.revision)
  }
}

fn key(data_centre: &str) -> String {
  format!("evacuation {data_centre}")
}
