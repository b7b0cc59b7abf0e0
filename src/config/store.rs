use {
  super::{Digest, Document, Instance, Key, Keyring, Record, Service, TargetSet},
  crate::{Revision, code::Fault, id},
  std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
  },
};

/// The maximum number of earlier target sets that are stored for a service.
pub const HISTORY_LIMIT: usize = 16;

/// The result of offering a record to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
  /// It is now in force and should be sent to peers.
  Accepted,
  /// A record of this revision is stored already; only its history is merged.
  Known,
  /// A record of a higher revision is stored and stays.
  Older,
  /// It is stored as the newest but is invalid, so the document in force stays. It should be sent
  /// to peers too.
  Rejected(Fault),
}

/// The state of one key.
#[derive(Clone, Debug)]
struct Entry {
  /// The record of the highest revision, valid or not.
  newest: Arc<Record>,
  /// The document in force with its revision; none if there was no valid one or it was deleted.
  in_force: Option<(Revision, Document)>,
  /// Earlier target sets of a service, newest first.
  history: Vec<TargetSet>,
  /// Why the newest record is invalid, if it is.
  fault: Option<Fault>,
  /// The newest valid record if the newest one is invalid, for peers that have neither.
  last_valid: Option<Arc<Record>>,
}

/// Stores the newest record of each key and decides which document is in force: the newest valid
/// one. The revision of a key never decreases, since a record that is not newer than the stored one
/// is not stored.
#[derive(Clone, Debug, Default)]
pub struct Store {
  digest: Digest,
  entries: BTreeMap<Key, Entry>,
  reversions: u64,
}

impl Store {
  /// The digest of all stored keys and revisions.
  pub fn digest(&self) -> &Digest {
    &self.digest
  }

  /// Why the newest record under `key` is invalid; none if it is valid or the key is unknown.
  pub fn fault(&self, key: Key) -> Option<&Fault> {
    self.entries.get(&key)?.fault.as_ref()
  }

  /// Earlier target sets of a service, newest first; empty if the service is unknown.
  pub fn history(&self, id: id::Service) -> &[TargetSet] {
    self
      .entries
      .get(&Key::Service(id))
      .map_or(&[], |entry| &entry.history)
  }

  /// The revision of the document in force under `key`.
  pub fn in_force(&self, key: Key) -> Option<Revision> {
    self
      .entries
      .get(&key)?
      .in_force
      .as_ref()
      .map(|(revision, _)| *revision)
  }

  /// The instances in force.
  pub fn instances(&self) -> impl Iterator<Item = &Instance> {
    self.documents().filter_map(|document| match document {
      Document::Instance(instance) => Some(instance),
      _ => None,
    })
  }

  /// The keyring in force, if any.
  pub fn keyring(&self) -> Option<&Keyring> {
    match self.document(Key::Keyring)? {
      Document::Keyring(keyring) => Some(keyring),
      _ => None,
    }
  }

  /// The keys in these buckets with their newest revisions.
  pub fn keys(&self, buckets: &[usize]) -> Vec<(Key, Revision)> {
    self
      .entries
      .iter()
      .filter(|(key, _)| buckets.contains(&Digest::bucket(**key)))
      .map(|(key, entry)| (*key, entry.newest.revision))
      .collect()
  }

  /// The number of keys, including those of deleted documents.
  pub fn len(&self) -> usize {
    self.entries.len()
  }

  /// Whether the store contains no key.
  pub fn is_empty(&self) -> bool {
    self.entries.is_empty()
  }

  /// Stores a record if it is newer than the stored one, and puts its document in force if it is
  /// valid.
  pub fn offer(&mut self, record: Record) -> Verdict {
    let stored = self
      .entries
      .get(&record.key)
      .map(|entry| entry.newest.revision);
    match stored {
      Some(stored) if record.revision < stored => return Verdict::Older,
      Some(stored) if record.revision == stored => {
        self.merge_history(&record);
        return Verdict::Known;
      }
      _ => {}
    }
    let before = self.in_force(record.key);
    let key = record.key;
    let verdict = self.replace(stored, record);
    if self.in_force(key) < before && self.entries[&key].newest.text.is_some() {
      self.reversions += 1;
      debug_assert!(false, "revision in force decreased under {key}");
    }
    verdict
  }

  /// The records to send to a peer for `key`: the newest with the history, preceded by the newest
  /// valid one if that is another.
  pub fn records(&self, key: Key) -> Vec<Record> {
    let Some(entry) = self.entries.get(&key) else {
      return Vec::new();
    };
    let newest = Record {
      history: entry.history.clone(),
      ..(*entry.newest).clone()
    };
    let last_valid = entry.last_valid.as_ref().map(|record| (**record).clone());
    last_valid.into_iter().chain([newest]).collect()
  }

  /// How often a revision in force decreased. Anything but 0 is a bug.
  pub fn reversions(&self) -> u64 {
    self.reversions
  }

  /// The newest revision stored under `key`, in force or not.
  pub fn revision(&self, key: Key) -> Option<Revision> {
    self.entries.get(&key).map(|entry| entry.newest.revision)
  }

  /// The service in force with this id, if any.
  pub fn service(&self, id: id::Service) -> Option<&Service> {
    match self.document(Key::Service(id))? {
      Document::Service(service) => Some(service),
      _ => None,
    }
  }

  /// The services in force with their revisions. Of two with the same address only the one with the
  /// lower id is included, so that every process chooses the same, whichever came first.
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
    merge_histories(&mut entry.history, &record.history, in_force);
  }

  fn replace(&mut self, stored: Option<Revision>, record: Record) -> Verdict {
    let key = record.key;
    if let Some(stored) = stored {
      self.digest.toggle(key, stored);
    }
    self.digest.toggle(key, record.revision);
    let parsed = record
      .text
      .as_deref()
      .map(|text| Document::parse(key, text))
      .transpose();
    let old = self.entries.remove(&key);
    let (mut history, before, mut last_valid) = match old {
      Some(entry) if entry.fault.is_some() => (entry.history, entry.in_force, entry.last_valid),
      Some(entry) => (entry.history, entry.in_force, Some(entry.newest)),
      None => (Vec::new(), None, None),
    };
    let (in_force, fault) = match parsed {
      Ok(document) => {
        if let Some((revision, Document::Service(service))) = before {
          history.insert(
            0,
            TargetSet {
              revision,
              targets: service.targets,
            },
          );
        }
        last_valid = None;
        (document.map(|document| (record.revision, document)), None)
      }
      Err(fault) => (before, Some(fault)),
    };
    let offered_history = record.history;
    let newest = Arc::new(Record {
      history: Vec::new(),
      ..record
    });
    let revision = in_force.as_ref().map(|(revision, _)| *revision);
    merge_histories(&mut history, &offered_history, revision);
    self.entries.insert(
      key,
      Entry {
        fault: fault.clone(),
        history,
        in_force,
        newest,
        last_valid,
      },
    );
    match fault {
      Some(fault) => Verdict::Rejected(fault),
      None => Verdict::Accepted,
    }
  }
}

/// Adds the offered history and keeps the newest `HISTORY_LIMIT` sets, newest first, without the
/// set in force and without sets that equal the next newer one.
fn merge_histories(
  history: &mut Vec<TargetSet>,
  offered: &[TargetSet],
  in_force: Option<Revision>,
) {
  history.extend(offered.iter().cloned());
  history.retain(|set| Some(set.revision) != in_force);
  history.sort_by_key(|set| std::cmp::Reverse(set.revision));
  history.dedup_by_key(|set| set.revision);
  history.dedup_by(|older, newer| older.targets == newer.targets);
  history.truncate(HISTORY_LIMIT);
}
