use {
  super::{Health, Rank},
  crate::{Revision, config, id},
  std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
  },
};

/// A target of a routing table.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
  /// The address of its agent, for frames.
  pub address: SocketAddr,
  /// How many flows may be open at it.
  pub connections: u32,
  /// Unique within the service.
  pub id: id::Target,
  /// Its health, by which new flows are placed.
  pub health: Health,
  pub(super) rank: Rank,
}

/// An immutable routing table of one service: its current set of targets and the previous sets.
#[derive(Clone, Debug)]
pub struct Table {
  by_id: HashMap<id::Target, u16>,
  /// The targets of all sets, each of them once.
  entries: Vec<Entry>,
  /// How many of the sets, the current one included, an opening packet is routed by.
  recent: usize,
  /// The revision of each set, in the order of `sets`.
  revisions: Vec<Revision>,
  /// The revision of the current set.
  revision: Revision,
  service: id::Service,
  /// Target sets as indices of `entries`, the current one first.
  sets: Vec<Vec<u16>>,
}

impl Table {
  /// Builds the table of a service from its document, its previous sets (the newest first) and the
  /// health of its targets. Opening packets are routed by the first `recent` sets, the current one
  /// included.
  pub fn new(
    revision: Revision,
    service: &config::Service,
    history: &[config::TargetSet],
    recent: usize,
    health: impl Fn(&config::Target) -> Health,
  ) -> Self {
    let mut table = Self {
      by_id: HashMap::new(),
      entries: Vec::new(),
      recent: recent.max(1),
      revisions: vec![revision],
      revision,
      service: service.id,
      sets: Vec::new(),
    };
    table.add_set(&service.targets, &health);
    for set in history {
      table.revisions.push(set.revision);
      // A target that is only in a previous set opens no new flows.
      table.add_set(&set.targets, |target| match health(target) {
        Health::Silent => Health::Silent,
        _ => Health::Leaving,
      });
    }
    table
  }

  fn add_set(&mut self, targets: &[config::Target], health: impl Fn(&config::Target) -> Health) {
    let mut set = Vec::with_capacity(targets.len());
    for target in targets {
      let next = self.entries.len() as u16;
      let index = *self.by_id.entry(target.id).or_insert(next);
      if index == next {
        self.entries.push(Entry {
          address: target.agent,
          connections: target.connections,
          id: target.id,
          rank: Rank::new(self.service, target.id),
          health: health(target),
        });
      }
      set.push(index);
    }
    self.sets.push(set);
  }

  /// The entries of the current set.
  pub fn current(&self) -> impl Iterator<Item = &Entry> {
    self.sets[0].iter().map(|index| self.entry(*index))
  }

  /// The entries of the current set and of all previous sets, each target once.
  pub fn entries(&self) -> &[Entry] {
    &self.entries
  }

  pub(super) fn entry(&self, index: u16) -> &Entry {
    &self.entries[usize::from(index)]
  }

  /// The first candidate of a key in each set whose revision is `from` or later, whatever the
  /// health of the targets is.
  pub fn first_candidates(&self, key: u64, from: Revision) -> BTreeSet<id::Target> {
    let sets = self.sets.iter().zip(&self.revisions);
    let later_sets = sets.filter(|(_, revision)| **revision >= from);
    let firsts = later_sets.filter_map(|(set, _)| {
      let entries = set.iter().map(|index| self.entry(*index));
      entries.max_by_key(|entry| entry.rank.score(key))
    });
    firsts.map(|entry| entry.id).collect()
  }

  /// The entry of a target; none if no set contains it.
  pub fn get(&self, id: id::Target) -> Option<&Entry> {
    self.by_id.get(&id).map(|index| self.entry(*index))
  }

  /// How many sets, the current one included, an opening packet is routed by.
  pub fn recent(&self) -> usize {
    self.recent
  }

  /// The revision of the current set.
  pub fn revision(&self) -> Revision {
    self.revision
  }

  /// The service whose packets the table routes.
  pub fn service(&self) -> id::Service {
    self.service
  }

  /// The sets that a packet is routed by: all, or the recent ones if it opens a flow.
  pub(super) fn sets(&self, opens: bool) -> &[Vec<u16>] {
    if opens {
      &self.sets[..self.recent.min(self.sets.len())]
    } else {
      &self.sets
    }
  }
}
