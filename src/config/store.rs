use {
  super::{Digest, Document, Instance, Key, Keyring, Record, Service, Set},
  crate::{Revision, code::Fault, id},
  std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
  },
};

/// How many earlier target sets a service keeps.
pub const HISTORY_LIMIT: usize = 16;

/// What became of an offered record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
  /// It is in force; peers want to hear of it.
  Accepted,
  /// It is held already, at this revision.
  Known,
  /// It is older than what is held, which stays in force.
  Older,
  /// It is newer but not valid: what was in force stays in force. Peers want to hear of it too.
  Rejected(Fault),
}

/// One key's state.
#[derive(Clone, Debug)]
struct Entry {
  /// The record of the highest revision, valid or not.
  newest: Arc<Record>,
  /// The document in force, if any, and the revision that it came with.
  in_force: Option<(Revision, Document)>,
  /// Earlier target sets of a service, newest first.
  history: Vec<Set>,
  /// Why the newest record is not in force.
  fault: Option<Fault>,
  /// The text of the document in force where it is not the newest, for peers that join.
  valid: Option<Arc<Record>>,
}

/// The machine that holds the configuration. It never steps back: a revision that is not higher
/// than the one held is refused, whoever offers it.
#[derive(Clone, Debug, Default)]
pub struct Store {
  digest: Digest,
  entries: BTreeMap<Key, Entry>,
  reversions: u64,
}

impl Store {
  /// A hash of all that is held.
  pub fn digest(&self) -> &Digest {
    &self.digest
  }

  /// Why the newest document under `key` is not in force.
  pub fn fault(&self, key: Key) -> Option<&Fault> {
    self.entries.get(&key)?.fault.as_ref()
  }

  /// Earlier target sets of a service, newest first.
  pub fn history(&self, id: id::Service) -> &[Set] {
    self
      .entries
      .get(&Key::Service(id))
      .map_or(&[], |entry| &entry.history)
  }

  /// The revision in force under `key`.
  pub fn in_force(&self, key: Key) -> Option<Revision> {
    self
      .entries
      .get(&key)?
      .in_force
      .as_ref()
      .map(|(revision, _)| *revision)
  }

  /// The instances that the platform lists.
  pub fn instances(&self) -> impl Iterator<Item = &Instance> {
    self.documents().filter_map(|document| match document {
      Document::Instance(instance) => Some(instance),
      _ => None,
    })
  }

  /// The keyring in force.
  pub fn keyring(&self) -> Option<&Keyring> {
    match self.document(Key::Keyring)? {
      Document::Keyring(keyring) => Some(keyring),
      _ => None,
    }
  }

  /// The keys of a bucket with the revisions held.
  pub fn keys(&self, buckets: &[usize]) -> Vec<(Key, Revision)> {
    self
      .entries
      .iter()
      .filter(|(key, _)| buckets.contains(&Digest::bucket(**key)))
      .map(|(key, entry)| (*key, entry.newest.revision))
      .collect()
  }

  /// How many keys are held.
  pub fn len(&self) -> usize {
    self.entries.len()
  }

  /// Whether nothing is held.
  pub fn is_empty(&self) -> bool {
    self.entries.is_empty()
  }

  /// Takes a record into force, or says why not.
  pub fn offer(&mut self, record: Record) -> Verdict {
    let held = self
      .entries
      .get(&record.key)
      .map(|entry| entry.newest.revision);
    match held {
      Some(held) if record.revision < held => return Verdict::Older,
      Some(held) if record.revision == held => {
        self.merge_history(&record);
        return Verdict::Known;
      }
      _ => {}
    }
    let before = self.in_force(record.key);
    let key = record.key;
    let verdict = self.replace(held, record);
    if self.in_force(key) < before && self.entries[&key].newest.text.is_some() {
      self.reversions += 1;
      debug_assert!(false, "configuration stepped back under {key}");
    }
    verdict
  }

  /// What a peer is offered of `key`: the record in force with its history and, where the newest
  /// is another one, that too.
  pub fn records(&self, key: Key) -> Vec<Record> {
    let Some(entry) = self.entries.get(&key) else {
      return Vec::new();
    };
    let newest = Record {
      history: entry.history.clone(),
      ..(*entry.newest).clone()
    };
    let valid = entry.valid.as_ref().map(|record| (**record).clone());
    valid.into_iter().chain([newest]).collect()
  }

  /// How often a revision stepped back: always 0, asserted and counted.
  pub fn reversions(&self) -> u64 {
    self.reversions
  }

  /// The newest revision held under `key`, in force or not.
  pub fn revision(&self, key: Key) -> Option<Revision> {
    self.entries.get(&key).map(|entry| entry.newest.revision)
  }

  /// The service in force under `id`.
  pub fn service(&self, id: id::Service) -> Option<&Service> {
    match self.document(Key::Service(id))? {
      Document::Service(service) => Some(service),
      _ => None,
    }
  }

  /// The services in force. Of two with one address the lower id has it, whatever came first, so
  /// that every process decides the same.
  pub fn services(&self) -> impl Iterator<Item = (Revision, &Service)> {
    let mut addresses: HashMap<SocketAddr, id::Service> = HashMap::new();
    self
      .entries
      .values()
      .filter_map(|entry| match &entry.in_force {
        Some((revision, Document::Service(service))) => Some((*revision, service)),
        _ => None,
      })
      .filter(move |(_, service)| {
        *addresses.entry(service.address).or_insert(service.id) == service.id
      })
  }

  fn document(&self, key: Key) -> Option<&Document> {
    self
      .entries
      .get(&key)?
      .in_force
      .as_ref()
      .map(|(_, document)| document)
  }

  fn documents(&self) -> impl Iterator<Item = &Document> {
    self
      .entries
      .values()
      .filter_map(|entry| entry.in_force.as_ref().map(|(_, document)| document))
  }

  fn merge_history(&mut self, record: &Record) {
    let Some(entry) = self.entries.get_mut(&record.key) else {
      return;
    };
    let in_force = entry.in_force.as_ref().map(|(revision, _)| *revision);
    merge(&mut entry.history, &record.history, in_force);
  }

  fn replace(&mut self, held: Option<Revision>, record: Record) -> Verdict {
    let key = record.key;
    if let Some(held) = held {
      self.digest.toggle(key, held);
    }
    self.digest.toggle(key, record.revision);
    let read = record
      .text
      .as_deref()
      .map(|text| Document::read(key, text))
      .transpose();
    let old = self.entries.remove(&key);
    let (mut history, before, mut valid) = match old {
      Some(entry) if entry.fault.is_some() => (entry.history, entry.in_force, entry.valid),
      Some(entry) => (entry.history, entry.in_force, Some(entry.newest)),
      None => (Vec::new(), None, None),
    };
    let (in_force, fault) = match read {
      Ok(document) => {
        if let Some((revision, Document::Service(service))) = before {
          history.insert(
            0,
            Set {
              revision,
              targets: service.targets,
            },
          );
        }
        valid = None;
        (document.map(|document| (record.revision, document)), None)
      }
      Err(fault) => (before, Some(fault)),
    };
    let offered = record.history;
    let newest = Arc::new(Record {
      history: Vec::new(),
      ..record
    });
    let revision = in_force.as_ref().map(|(revision, _)| *revision);
    merge(&mut history, &offered, revision);
    self.entries.insert(
      key,
      Entry {
        fault: fault.clone(),
        history,
        in_force,
        newest,
        valid,
      },
    );
    match fault {
      Some(fault) => Verdict::Rejected(fault),
      None => Verdict::Accepted,
    }
  }
}

/// Joins two histories, newest first, without the set in force and without doubles.
fn merge(history: &mut Vec<Set>, offered: &[Set], in_force: Option<Revision>) {
  history.extend(offered.iter().cloned());
  history.retain(|set| Some(set.revision) != in_force);
  history.sort_by_key(|set| std::cmp::Reverse(set.revision));
  history.dedup_by_key(|set| set.revision);
  history.dedup_by(|older, newer| older.targets == newer.targets);
  history.truncate(HISTORY_LIMIT);
}
