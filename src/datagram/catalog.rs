use {
  super::{
    Configuration, Evacuations, FormerBackends, FormerTargets, Record, Route, Service, Target,
    Update, Upstream, Warmup,
    age::{age_ms, time_of},
    changelog::Changelog,
    former_backends::Removed,
    frame::Tombstone,
    target,
  },
  crate::Revision,
  smallvec::SmallVec,
  std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// How long a tombstone, former target or former backend is kept; longer than their flows may live.
const TOMBSTONE_TTL: Duration = Duration::from_secs(75);

/// A target, or the tombstone of one.
#[derive(Clone, Debug)]
pub struct Entry {
  /// The revision of the earliest record of it that is known here.
  pub first: Revision,
  /// When it was removed from the target list; none while it is listed.
  pub removed: Option<Instant>,
  /// The revision of the latest record of it.
  pub revision: Revision,
  /// Its latest description, kept after its removal.
  pub target: Arc<Target>,
}

/// A process's replica of the configuration in force and the target list. A record never replaces a
/// newer one, whoever sends it.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
  evacuations: Evacuations,
  synced: Revision,
  /// The latest change of each route since the first configuration received here, including removed
  /// routes.
  changelog: Changelog,
  configuration: Option<(Revision, Arc<Configuration>)>,
  former_backends: FormerBackends,
  former_targets: FormerTargets,
  /// The revisions between which changes were last missed here.
  gap: Option<(Revision, Revision)>,
  /// Removals up to this revision may not be known here.
  removals_from: Revision,
  /// The revision of the configuration from which on all services that addresses were routed to are
  /// known here; 0 before the first one.
  routes_known_from: Revision,
  targets: BTreeMap<target::Id, Entry>,
}

/// What an update changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
  /// Whether a data centre was evacuated, or opened again.
  pub evacuations: bool,
  /// Whether another configuration is in force.
  pub configuration: bool,
  /// Whether changes were missed that a flow may depend on.
  pub has_gap: bool,
  /// The targets that were added, changed or removed.
  pub targets: Vec<target::Id>,
}

impl Change {
  /// Whether nothing changed.
  pub fn is_empty(&self) -> bool {
    !self.evacuations && !self.configuration && !self.has_gap && self.targets.is_empty()
  }
}

impl Entry {
  /// The latest record of a target, for a receiver that is complete up to `after`.
  fn record(&self, now: Instant, id: &target::Id, after: Revision) -> Record {
    let (id, revision) = (id.clone(), self.revision);
    match self.removed {
      Some(removed) if self.first > after => Record::Removed {
        id,
        revision,
        target: self.target.as_ref().clone(),
        first: self.first,
        age_ms: age_ms(now, removed),
      },
      removed => Record::Target {
        id,
        revision,
        target: removed.is_none().then(|| self.target.as_ref().clone()),
      },
    }
  }
}

impl Catalog {
  /// The data centres that are closed to new flows.
  pub fn evacuations(&self) -> &Evacuations {
    &self.evacuations
  }

  /// The revision up to which no record is missing.
  pub fn synced(&self) -> Revision {
    self.synced
  }

  /// The configuration in force.
  pub fn configuration(&self) -> Option<&Arc<Configuration>> {
    self
      .configuration
      .as_ref()
      .map(|(_, configuration)| configuration)
  }

  /// The revision of the configuration in force; 0 if there is none.
  pub fn configured(&self) -> Revision {
    let configuration = self.configuration.as_ref();
    configuration.map_or(Revision::default(), |(revision, _)| *revision)
  }

  /// The revision of the configuration from which on all services that addresses were routed to are
  /// known here; none before the first one. A target that started later has no flow of an address that
  /// was not routed to its service since then.
  pub fn routes_known_from(&self) -> Option<Revision> {
    (self.routes_known_from > Revision::default()).then_some(self.routes_known_from)
  }

  /// All targets, including tombstones.
  pub fn entries(&self) -> impl Iterator<Item = (&target::Id, &Entry)> {
    self.targets.iter()
  }

  /// The entry of a target.
  pub fn get(&self, id: &target::Id) -> Option<&Entry> {
    self.targets.get(id)
  }

  /// The latest entry of an upstream in the target list, else its latest tombstone. Entries of other
  /// services at its address belong to other programs.
  pub fn entry_of(&self, upstream: &Upstream) -> Option<&Entry> {
    let entries = self.targets.values().filter(|entry| {
      entry.target.address == upstream.address && entry.target.service == upstream.service
    });
    entries.max_by_key(|entry| (entry.removed.is_none(), entry.revision))
  }

  /// Drops expired tombstones, former targets and former backends.
  pub fn expire(&mut self, now: Instant) {
    self.former_backends.expire(now, TOMBSTONE_TTL);
    self.former_targets.expire(now, TOMBSTONE_TTL);
    let removals_from = &mut self.removals_from;
    self.targets.retain(|_, entry| {
      let kept = |removed| now.saturating_duration_since(removed) < TOMBSTONE_TTL;
      let kept = entry.removed.is_none_or(kept);
      if !kept {
        *removals_from = entry.revision.max(*removals_from);
      }
      kept
    });
  }

  /// Applies an update and returns what it changed; records that are older than the known ones are
  /// ignored.
  pub fn apply_update(&mut self, now: Instant, update: Update) -> Change {
    let mut change = Change::default();
    // A snapshot that is older than the catalog would remove targets that were added since.
    let snapshot = update.after.is_none() && update.to >= self.synced;
    let listed = snapshot.then(|| Listed::of(&update));
    if self.synced == Revision::default() {
      self.removals_from = update.to;
    }
    let is_contiguous = update.after.is_none_or(|after| after <= self.synced);
    if update.has_gap && is_contiguous && update.to > self.synced {
      self.gap = Some((self.synced, update.to));
      change.has_gap = true;
    }
    for record in update.records {
      self.apply(now, record, &mut change);
    }
    if let Some(listed) = listed {
      self.drop_unlisted(now, update.to, &listed, &mut change);
    }
    if change.has_gap {
      self.routes_known_from = self.configured();
    }
    if is_contiguous {
      self.synced = self.synced.max(update.to);
    }
    change
  }

  /// The route of an address; none if the configuration has no such route.
  pub fn route(&self, address: &SocketAddrV4) -> Option<&Route> {
    self.configuration()?.routes.get(address)
  }

  /// Whether a service gets new flows.
  pub fn is_routed(&self, service: &Service) -> bool {
    let configuration = self.configuration().into_iter();
    let mut routes = configuration.flat_map(|configuration| configuration.routes.values());
    routes.any(|route| route.backends.takes(service))
  }

  /// The services that may own flows to an address: all that it is routed to, and those that it was
  /// routed to within a flow's lifetime. Empty if the address has no route.
  pub fn services(&self, address: &SocketAddrV4) -> SmallVec<[Service; 2]> {
    let Some(route) = self.route(address) else {
      return SmallVec::new();
    };
    let mut services = route.backends.services().cloned().collect::<SmallVec<_>>();
    for service in self.former_backends.of(address) {
      if !services.contains(service) {
        services.push(service.clone());
      }
    }
    services
  }

  /// The services that addresses were routed to before.
  pub fn former_backends(&self) -> &FormerBackends {
    &self.former_backends
  }

  /// The targets that were removed before this process saw them listed.
  pub fn former_targets(&self) -> &FormerTargets {
    &self.former_targets
  }

  /// Imports a former backend that another process knows of, unless the address is still routed to
  /// it.
  pub fn import_backend(&mut self, address: SocketAddrV4, backend: Removed) {
    let route = self.route(&address);
    let is_present = route.is_some_and(|route| {
      let mut services = route.backends.services();
      services.any(|service| *service == backend.service)
    });
    if !is_present {
      self.former_backends.record(address, backend);
    }
  }

  /// Imports a target that was removed from the target list; true if it was not known here, listed
  /// or removed.
  pub fn import_target(&mut self, instance: Ipv4Addr, service: &Service, at: Instant) -> bool {
    let is_known = self
      .targets
      .values()
      .any(|entry| *entry.target.address.ip() == instance && entry.target.service == *service);
    !is_known && self.former_targets.record(instance, service, at)
  }

  /// The targets that were removed within the lifetime of a flow.
  pub fn tombstones(&self, now: Instant) -> Vec<Tombstone> {
    let removed = self.targets.values().filter_map(|entry| {
      Some(Tombstone {
        address: entry.target.address,
        age_ms: age_ms(now, entry.removed?),
        service: entry.target.service.clone(),
      })
    });
    let former = self.former_targets.all();
    let former = former.map(|(instance, service, at)| Tombstone {
      // Only the instance counts.
      address: SocketAddrV4::new(instance, 0),
      age_ms: age_ms(now, at),
      service: service.clone(),
    });
    removed.chain(former).collect()
  }

  /// The update after a revision; a snapshot if the receiver may know something that was removed
  /// without this process knowing. It includes what the receiver may have missed of the changes since
  /// then: removed targets and former backends.
  pub fn since(&self, now: Instant, after: Revision) -> Update {
    let is_in_gap = self
      .gap
      .is_some_and(|(from, to)| from < after && after < to);
    let snapshot = after < self.removals_from || is_in_gap;
    let oldest = if snapshot { Revision::default() } else { after };
    let configuration = self.configuration.iter();
    let configuration = configuration.filter(|(revision, _)| *revision > oldest);
    let configuration =
      configuration.map(|(revision, current)| self.changelog.record(current, oldest, *revision));
    let evacuations = self.evacuations.since(oldest);
    let targets = self.targets.iter();
    let targets = targets.filter(|(_, entry)| entry.revision > oldest);
    let targets = targets.map(|(id, entry)| entry.record(now, id, oldest));
    let records = evacuations.chain(configuration).chain(targets);
    Update {
      after: (!snapshot).then_some(after),
      has_gap: self.gap.is_some_and(|(_, to)| after < to),
      records: records.chain(self.missed_backends(now, oldest)).collect(),
      to: self.synced,
    }
  }

  /// The former backends that a receiver which is complete up to `after` may not know.
  fn missed_backends(&self, now: Instant, after: Revision) -> impl Iterator<Item = Record> {
    let backends = self.former_backends.all();
    let backends = backends.filter(move |(address, removed)| {
      self.route(address).is_some() && (after == Revision::default() || removed.last > after)
    });
    backends.map(move |(address, removed)| Record::FormerBackend {
      address,
      age_ms: age_ms(now, removed.at),
      revision: removed.last,
      service: removed.service.clone(),
    })
  }

  /// The warm-up of a service's targets; none if not configured.
  pub fn warmup(&self, service: &Service) -> Option<Warmup> {
    self.configuration()?.warmups.get(service).copied()
  }

  /// The version of the configuration in force; 0 if there is none.
  pub fn version(&self) -> super::Version {
    self
      .configuration()
      .map(|configuration| configuration.version)
      .unwrap_or_default()
  }

  fn apply(&mut self, now: Instant, record: Record, change: &mut Change) {
    match record {
      Record::Evacuation {
        closed,
        data_centre,
        revision,
      } => change.evacuations |= self.evacuations.apply(data_centre, closed, revision),
      Record::Configuration {
        configuration,
        revision,
      } => {
        change.configuration |= self.configure(now, configuration, revision);
      }
      Record::FormerBackend {
        address,
        revision,
        service,
        age_ms,
      } => {
        let removed = Removed {
          at: time_of(now, age_ms),
          last: revision,
          service,
        };
        self.import_backend(address, removed);
      }
      Record::Delta {
        delta,
        after,
        revision,
      } => {
        let known = self.configuration.as_ref();
        if let Some((current, before)) = known.filter(|_| after <= self.synced)
          && *current < revision
        {
          let changed = delta.routes.iter().map(|(address, _)| *address);
          let changed = changed.collect::<Vec<_>>();
          let configuration = delta.apply(before);
          if self.configure(now, configuration, revision) {
            // A route may have changed and changed back meanwhile.
            self.changelog.record_changed(changed.into_iter(), revision);
            change.configuration = true;
          }
        }
      }
      Record::Target {
        id,
        revision,
        target,
      } => self.apply_target(now, id, revision, target, change),
      Record::Removed {
        id,
        revision,
        target,
        first,
        age_ms,
      } => {
        if self.targets.contains_key(&id) {
          return self.apply_target(now, id, revision, None, change);
        }
        let entry = Entry {
          first,
          removed: Some(time_of(now, age_ms)),
          revision,
          target: Arc::new(target),
        };
        self.targets.insert(id.clone(), entry);
        change.targets.push(id);
      }
    }
  }

  /// Puts a configuration into force; true if it is newer than the one before.
  fn configure(&mut self, now: Instant, configuration: Configuration, revision: Revision) -> bool {
    match &self.configuration {
      Some((current, before))
        if *current >= revision || before.version >= configuration.version =>
      {
        return false;
      }
      Some((last, before)) => {
        self.changelog.replace(before, &configuration, revision);
        let before = (before.as_ref(), *last);
        self.former_backends.replace(now, before, &configuration);
      }
      None => self.changelog.begin(revision),
    }
    self.configuration = Some((revision, Arc::new(configuration)));
    true
  }

  fn apply_target(
    &mut self,
    now: Instant,
    id: target::Id,
    revision: Revision,
    target: Option<Target>,
    change: &mut Change,
  ) {
    let known = self.targets.get(&id);
    if known.is_some_and(|entry| entry.revision >= revision) {
      return;
    }
    // A late record of an earlier incarnation.
    let start_time = target.as_ref().and_then(|target| target.start_time);
    if let (Some(start_time), Some(latest)) =
      (start_time, known.and_then(|entry| entry.target.start_time))
      && start_time < latest
    {
      return;
    }
    let entry = match (target, known) {
      (Some(mut target), _) => {
        // A later record of the same incarnation does not tell any more when it started.
        let before = known.filter(|entry| entry.target.start_time == target.start_time);
        target.started = target
          .started
          .max(before.and_then(|entry| entry.target.started));
        Entry {
          first: known.map_or(revision, |entry| entry.first),
          removed: None,
          revision,
          target: Arc::new(target),
        }
      }
      (None, Some(entry)) => Entry {
        first: entry.first,
        removed: Some(entry.removed.unwrap_or(now)),
        revision,
        target: Arc::clone(&entry.target),
      },
      (None, None) => return,
    };
    self.targets.insert(id.clone(), entry);
    change.targets.push(id);
  }

  /// Removes the targets and reopens the data centres that a snapshot doesn't list.
  fn drop_unlisted(&mut self, now: Instant, to: Revision, listed: &Listed, change: &mut Change) {
    change.evacuations |= self.evacuations.drop_unlisted(to, &listed.closed);
    for (id, entry) in &mut self.targets {
      if entry.removed.is_none() && entry.revision < to && !listed.targets.contains(id) {
        entry.removed = Some(now);
        entry.revision = to;
        change.targets.push(id.clone());
      }
    }
  }
}

/// The targets and data centres that a snapshot lists.
#[derive(Default)]
struct Listed {
  closed: BTreeSet<String>,
  targets: HashSet<target::Id>,
}

impl Listed {
  fn of(update: &Update) -> Self {
    let mut listed = Self::default();
    for record in &update.records {
      match record {
        Record::Evacuation { data_centre, .. } => {
          listed.closed.insert(data_centre.clone());
        }
        Record::Configuration { .. } | Record::Delta { .. } | Record::FormerBackend { .. } => {}
        Record::Removed { id, .. } | Record::Target { id, .. } => {
          listed.targets.insert(id.clone());
        }
      }
    }
    listed
  }
}
