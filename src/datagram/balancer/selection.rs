//! Selects the entry of the target list that describes the upstream of each agent. Other entries of
//! its instance belong to other programs, or to former targets.

use {
  super::targets::{Contact, FormerTarget, TargetState, Targets},
  crate::{
    Revision,
    datagram::{Catalog, Entry, Service, target::Identity},
  },
  std::{
    collections::{BTreeMap, HashMap, hash_map},
    net::SocketAddrV4,
    time::Instant,
  },
};

/// What a process reports about its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Report {
  /// When the report came.
  pub at: Instant,
  /// The revision up to which the process knows the target list.
  pub synced: Revision,
  /// Its upstream; none for a balancer.
  pub upstream: Option<Identity>,
}

impl Report {
  /// Whether an entry of the process's instance describes its upstream; none if the process may not
  /// have received the entry.
  fn owns(&self, entry: &Entry) -> Option<bool> {
    if self.upstream == Some(entry.target.identity()) {
      return Some(true);
    }
    (self.synced >= entry.revision).then_some(false)
  }
}

impl Targets {
  /// Records what a process reports about its upstream. Returns whether another entry of its instance
  /// may have to be selected.
  pub fn record_report(&mut self, agent: SocketAddrV4, report: Report) -> bool {
    let newest = self.listed.get(&agent).copied();
    if newest.is_none() && report.upstream.is_none() {
      return false;
    }
    let before = self.reports.insert(agent, report);
    let Some(newest) = newest else {
      return false;
    };
    let selected = self.by_agent.get(&agent).map(|target| target.identity);
    match before {
      None => selected != report.upstream || !self.undecided.is_empty(),
      Some(before) => {
        let is_other = before.upstream != report.upstream || before.synced < newest;
        is_other && selected != report.upstream
      }
    }
  }

  /// Whether a service has a listed entry of which it is not known yet whether it describes a target.
  pub fn is_undecided(&self, service: &Service) -> bool {
    self.undecided.contains(service)
  }

  /// Replaces the targets by those of the catalog; what is known of their load and their agents is
  /// kept.
  pub fn update(&mut self, catalog: &Catalog) {
    let configuration = catalog.configuration();
    self.warmups =
      configuration.map_or_else(BTreeMap::new, |configuration| configuration.warmups.clone());
    self.routes_known_from = catalog.routes_known_from();
    self.services.clear();
    let selected = self.select(catalog);
    self.update_former(catalog);
    self
      .comparisons
      .retain(|service, _| self.services.contains_key(service));
    let mut before = std::mem::take(&mut self.by_agent);
    for (agent, entry) in selected {
      let heard = self.unlisted.remove(&agent);
      let target = before.remove(&agent).unwrap_or_else(|| {
        let mut target = TargetState::new(entry);
        target.contact.last_heard = heard.filter(|_| entry.removed.is_some());
        target
      });
      let target = target.renewed(entry);
      if entry.target.start_time > target.start_time {
        for comparison in self.comparisons.values_mut() {
          comparison.remove(agent);
        }
      }
      self.by_agent.insert(agent, target.updated(entry));
    }
  }

  /// The entry of each agent's target. Indexes the agents by service.
  fn select<'a>(&mut self, catalog: &'a Catalog) -> HashMap<SocketAddrV4, &'a Entry> {
    let mut selected: HashMap<SocketAddrV4, &Entry> = HashMap::new();
    self.listed.clear();
    self.undecided.clear();
    for (_, entry) in catalog.entries() {
      let agent = self.agent_on(*entry.target.address.ip());
      let is_listed = entry.removed.is_none();
      if is_listed {
        let newest = self.listed.entry(agent).or_default();
        *newest = entry.revision.max(*newest);
      }
      let report = self.reports.get(&agent).copied();
      let is_owned = report.and_then(|report| report.owns(entry));
      if agent != self.address && (is_owned != Some(false) || !is_listed) {
        self.index(&entry.target.service, agent);
      }
      if agent == self.address || is_owned == Some(false) {
        continue;
      }
      match selected.entry(agent) {
        hash_map::Entry::Vacant(vacant) => {
          vacant.insert(entry);
        }
        hash_map::Entry::Occupied(mut other) => {
          let rejected =
            if precedence(catalog, report, other.get()) < precedence(catalog, report, entry) {
              other.insert(entry)
            } else {
              entry
            };
          if report.is_none() && rejected.removed.is_none() {
            self.undecided.insert(rejected.target.service.clone());
          }
        }
      }
    }
    selected
  }

  /// Adds an agent to those of a service.
  fn index(&mut self, service: &Service, agent: SocketAddrV4) {
    let agents = self.services.entry(service.clone()).or_default();
    if !agents.contains(&agent) {
      agents.push(agent);
    }
  }

  /// Replaces the targets that this process never saw listed.
  fn update_former(&mut self, catalog: &Catalog) {
    let mut before = std::mem::take(&mut self.former);
    for (instance, service, removed) in catalog.former_targets().all() {
      let agent = self.agent_on(instance);
      self.index(service, agent);
      let contact = Contact {
        since: None,
        last_heard: self.unlisted.remove(&agent),
      };
      let former = before.remove(&agent);
      let former = former.unwrap_or(FormerTarget { contact, removed });
      let latest = self.former.entry(agent).or_insert(former);
      latest.removed = latest.removed.max(removed);
    }
  }
}

/// What decides between two entries of an instance. An agent's report goes before the rest; without
/// one, an entry of a service that gets no flows is less likely to describe a target.
fn precedence(
  catalog: &Catalog,
  report: Option<Report>,
  entry: &Entry,
) -> (bool, bool, bool, Revision) {
  let is_own = report.is_some_and(|report| report.owns(entry) == Some(true));
  let is_routed = report.is_none() && catalog.is_routed(&entry.target.service);
  (entry.removed.is_none(), is_own, is_routed, entry.revision)
}
