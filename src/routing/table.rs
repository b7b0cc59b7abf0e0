use {
  super::{Rank, Standing},
  crate::{Revision, config, id},
  std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
  },
};

/// A target as routing sees it.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
  /// Where frames reach its agent.
  pub address: SocketAddr,
  /// How many flows it may hold.
  pub connections: u32,
  /// The target.
  pub id: id::Target,
  /// What is believed of it.
  pub standing: Standing,
  pub(super) rank: Rank,
}

/// An immutable snapshot of one service: its targets, and the sets of targets that stood before.
#[derive(Clone, Debug)]
pub struct Table {
  by_id: HashMap<id::Target, u16>,
  /// All targets of the sets.
  entries: Vec<Entry>,
  /// How many of the sets are recent enough for a flow's opening packet to be of them.
  recent: usize,
  /// The revisions that brought the sets.
  revisions: Vec<Revision>,
  /// The revision in force.
  revision: Revision,
  /// The service.
  service: id::Service,
  /// Target sets as indices of `entries`, the current one first.
  sets: Vec<Vec<u16>>,
}

impl Table {
  /// Builds the table of a service from its document, its history and what is believed of its
  /// targets. The first `recent` sets, the current one counted, are asked about opening packets.
  pub fn new(
    revision: Revision,
    service: &config::Service,
    history: &[config::Set],
    recent: usize,
    standing: impl Fn(&config::Target) -> Standing,
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
    table.add(&service.targets, &standing);
    for set in history {
      table.revisions.push(set.revision);
      table.add(&set.targets, |target| match standing(target) {
        Standing::Silent => Standing::Silent,
        _ => Standing::Leaving,
      });
    }
    table
  }

  fn add(&mut self, targets: &[config::Target], standing: impl Fn(&config::Target) -> Standing) {
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
          standing: standing(target),
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

  /// All entries: the current set's and those of the sets before.
  pub fn entries(&self) -> &[Entry] {
    &self.entries
  }

  pub(super) fn entry(&self, index: u16) -> &Entry {
    &self.entries[usize::from(index)]
  }

  /// The first candidates of a key in the current set, leaving targets counted, and in each
  /// earlier set from a revision on.
  pub fn earlier_firsts(&self, key: u64, from: Revision) -> BTreeSet<id::Target> {
    let sets = self.sets.iter().zip(&self.revisions);
    let counted = sets.filter(|(_, revision)| **revision >= from);
    let firsts = counted.filter_map(|(set, _)| {
      let entries = set.iter().map(|index| self.entry(*index));
      entries.max_by_key(|entry| entry.rank.score(key))
    });
    firsts.map(|entry| entry.id).collect()
  }

  /// The entry of a target.
  pub fn get(&self, id: id::Target) -> Option<&Entry> {
    self.by_id.get(&id).map(|index| self.entry(*index))
  }

  /// How many sets are asked about opening packets.
  pub fn recent(&self) -> usize {
    self.recent
  }

  /// The revision in force.
  pub fn revision(&self) -> Revision {
    self.revision
  }

  /// The service.
  pub fn service(&self) -> id::Service {
    self.service
  }

  /// The sets to be asked about a packet.
  pub(super) fn sets(&self, opens: bool) -> &[Vec<u16>] {
    if opens {
      &self.sets[..self.recent.min(self.sets.len())]
    } else {
      &self.sets
    }
  }
}
