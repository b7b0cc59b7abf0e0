use {
  super::{
    Closures, Configuration, Former, News, Record, Route, Service, Target, Warmup,
    changed::Changed, target,
  },
  crate::Revision,
  smallvec::SmallVec,
  std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// How long a target that has left the list, and a service that an address led to, is remembered. Its
/// flows may live for as long.
const GONE_KEPT: Duration = Duration::from_secs(75);

/// A target, or what is remembered of it.
#[derive(Clone, Debug)]
pub struct Entry {
  /// When it left the list, if it did.
  pub gone: Option<Instant>,
  /// The revision of the last word of it.
  pub revision: Revision,
  /// What the list says, or last said.
  pub target: Arc<Target>,
}

/// What a process knows of the platform: the configuration in force and the list of targets. It
/// never goes back to an older record, whoever offers it.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
  closures: Closures,
  complete: Revision,
  /// The routes that changed since the first configuration that came here, those that were dropped too.
  changed: Changed,
  configuration: Option<(Revision, Arc<Configuration>)>,
  former: Former,
  /// What left the list up to this revision may not be known here.
  removals_from: Revision,
  targets: BTreeMap<target::Id, Entry>,
}

/// What news changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
  /// Whether a data centre was closed, or opened again.
  pub closures: bool,
  /// Whether a configuration came into force.
  pub configuration: bool,
  /// The targets whose entry changed.
  pub targets: Vec<target::Id>,
}

impl Change {
  /// Whether nothing changed.
  pub fn is_empty(&self) -> bool {
    !self.closures && !self.configuration && self.targets.is_empty()
  }
}

impl Catalog {
  /// Which data centres are closed to new flows.
  pub fn closures(&self) -> &Closures {
    &self.closures
  }

  /// The revision up to which nothing is missing.
  pub fn complete(&self) -> Revision {
    self.complete
  }

  /// The configuration in force.
  pub fn configuration(&self) -> Option<&Arc<Configuration>> {
    self.configuration.as_ref().map(|(_, held)| held)
  }

  /// All targets, those that have left the list among them.
  pub fn entries(&self) -> impl Iterator<Item = (&target::Id, &Entry)> {
    self.targets.iter()
  }

  /// The entry of a target.
  pub fn get(&self, id: &target::Id) -> Option<&Entry> {
    self.targets.get(id)
  }

  /// The newest run at an address that the list holds, else the newest that it held.
  pub fn at(&self, address: SocketAddrV4) -> Option<(&target::Id, &Entry)> {
    let here = self.targets.iter();
    here
      .filter(|(_, entry)| entry.target.address == address)
      .max_by_key(|(_, entry)| (entry.gone.is_none(), entry.revision))
  }

  /// Forgets targets that left long ago.
  pub fn expire(&mut self, now: Instant) {
    self.former.expire(now, GONE_KEPT);
    let removals_from = &mut self.removals_from;
    self.targets.retain(|_, entry| {
      let kept = |gone| now.saturating_duration_since(gone) < GONE_KEPT;
      let kept = entry.gone.is_none_or(kept);
      if !kept {
        *removals_from = entry.revision.max(*removals_from);
      }
      kept
    });
  }

  /// Takes news; older records change nothing.
  pub fn offer(&mut self, now: Instant, news: News) -> Change {
    let mut change = Change::default();
    // A whole list from before what is known would drop targets that came since.
    let whole = news.after.is_none() && news.to >= self.complete;
    let listed = whole.then(|| Listed::of(&news));
    if self.complete == Revision::default() {
      self.removals_from = news.to;
    }
    for record in news.records {
      self.take(now, record, &mut change);
    }
    if let Some(listed) = listed {
      self.drop_unlisted(now, news.to, &listed, &mut change);
    }
    if news.after.is_none_or(|after| after <= self.complete) {
      self.complete = self.complete.max(news.to);
    }
    change
  }

  /// What is behind an address, as far as known.
  pub fn route(&self, address: &SocketAddrV4) -> Option<&Route> {
    self.configuration()?.routes.get(address)
  }

  /// The services that may have flows to an address: all that it leads to, and all that it is known
  /// to have led to in the lifetime of the flows. None where it leads nowhere now.
  pub fn services(&self, address: &SocketAddrV4) -> SmallVec<[Service; 2]> {
    let Some(route) = self.route(address) else {
      return SmallVec::new();
    };
    let mut services = route.backends.services().cloned().collect::<SmallVec<_>>();
    for service in self.former.of(address) {
      if !services.contains(service) {
        services.push(service.clone());
      }
    }
    services
  }

  /// The services that addresses led to before, besides those of now.
  pub fn former(&self) -> &Former {
    &self.former
  }

  /// An address led to a service until some time ago, by a peer's word; true where that was not known.
  pub fn remember(&mut self, at: Instant, address: SocketAddrV4, service: &Service) -> bool {
    let known = self.services(&address).contains(service);
    if !known {
      self.former.learn(address, service, at);
    }
    !known
  }

  /// What came after a revision; the whole where removals since then may not be known here.
  pub fn since(&self, after: Revision) -> News {
    let whole = after < self.removals_from;
    let oldest = if whole { Revision::default() } else { after };
    let configuration = self.configuration.iter();
    let configuration = configuration.filter(|(revision, _)| *revision > oldest);
    let configuration =
      configuration.map(|(revision, held)| self.changed.record(held, oldest, *revision));
    let closures = self.closures.since(oldest);
    let targets = self.targets.iter();
    let targets = targets.filter(|(_, entry)| entry.revision > oldest);
    let targets = targets.map(|(id, entry)| Record::Target {
      id: id.clone(),
      revision: entry.revision,
      target: entry.gone.is_none().then(|| entry.target.as_ref().clone()),
    });
    News {
      after: (!whole).then_some(after),
      records: closures.chain(configuration).chain(targets).collect(),
      to: self.complete,
    }
  }

  /// What cold targets of a service may be given; none where nothing is stated.
  pub fn warmup(&self, service: &Service) -> Option<Warmup> {
    self.configuration()?.warmups.get(service).copied()
  }

  /// The version in force.
  pub fn version(&self) -> super::Version {
    self
      .configuration()
      .map(|held| held.version)
      .unwrap_or_default()
  }

  fn take(&mut self, now: Instant, record: Record, change: &mut Change) {
    match record {
      Record::Closure {
        closed,
        data_centre,
        revision,
      } => change.closures |= self.closures.take(data_centre, closed, revision),
      Record::Configuration {
        configuration,
        revision,
      } => {
        change.configuration |= self.configure(now, configuration, revision);
      }
      Record::Amendment {
        amendment,
        after,
        revision,
      } => {
        let known = self.configuration.as_ref();
        if let Some((held, before)) = known.filter(|_| after <= self.complete)
          && *held < revision
        {
          let configuration = amendment.amend(before);
          change.configuration |= self.configure(now, configuration, revision);
        }
      }
      Record::Target {
        id,
        revision,
        target,
      } => self.take_target(now, id, revision, target, change),
    }
  }

  /// Takes a configuration; true where it is newer than the one in force.
  fn configure(&mut self, now: Instant, configuration: Configuration, revision: Revision) -> bool {
    match &self.configuration {
      Some((held, before)) if *held >= revision || before.version >= configuration.version => {
        return false;
      }
      Some((_, before)) => {
        self.changed.replace(before, &configuration, revision);
        self.former.replace(now, before, &configuration);
      }
      None => self.changed.begin(revision),
    }
    self.configuration = Some((revision, Arc::new(configuration)));
    true
  }

  fn take_target(
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
    // A word of a run before, which was written late.
    let born = target.as_ref().and_then(|target| target.born);
    if let (Some(born), Some(held)) = (born, known.and_then(|entry| entry.target.born))
      && born < held
    {
      return;
    }
    let entry = match (target, known) {
      (Some(target), _) => Entry {
        gone: None,
        revision,
        target: Arc::new(target),
      },
      (None, Some(entry)) => Entry {
        gone: Some(entry.gone.unwrap_or(now)),
        revision,
        target: Arc::clone(&entry.target),
      },
      (None, None) => return,
    };
    self.targets.insert(id.clone(), entry);
    change.targets.push(id);
  }

  /// What a whole list no longer names has left it.
  fn drop_unlisted(&mut self, now: Instant, to: Revision, listed: &Listed, change: &mut Change) {
    change.closures |= self.closures.drop_unlisted(to, &listed.closed);
    for (id, entry) in &mut self.targets {
      if entry.gone.is_none() && entry.revision < to && !listed.targets.contains(id) {
        entry.gone = Some(now);
        entry.revision = to;
        change.targets.push(id.clone());
      }
    }
  }
}

/// What a whole list names.
#[derive(Default)]
struct Listed {
  closed: BTreeSet<String>,
  targets: HashSet<target::Id>,
}

impl Listed {
  fn of(news: &News) -> Self {
    let mut listed = Self::default();
    for record in &news.records {
      match record {
        Record::Closure { data_centre, .. } => {
          listed.closed.insert(data_centre.clone());
        }
        Record::Amendment { .. } | Record::Configuration { .. } => {}
        Record::Target { id, .. } => {
          listed.targets.insert(id.clone());
        }
      }
    }
    listed
  }
}
