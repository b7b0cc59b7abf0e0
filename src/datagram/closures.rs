use {
  super::Record,
  crate::Revision,
  std::collections::{BTreeMap, BTreeSet},
};

/// Which data centres are closed to new flows. A word that is older than the last one of a data
/// centre changes nothing, whoever offers it.
#[derive(Clone, Debug, Default)]
pub struct Closures {
  /// Those that were ever closed: an old word of one that is open again must not close it.
  closures: BTreeMap<String, Closure>,
}

#[derive(Clone, Copy, Debug)]
struct Closure {
  closed: bool,
  revision: Revision,
}

impl Closures {
  /// The names of those that are closed.
  pub fn closed(&self) -> impl Iterator<Item = &str> {
    let closed = self.closures.iter();
    let closed = closed.filter(|(_, closure)| closure.closed);
    closed.map(|(data_centre, _)| data_centre.as_str())
  }

  /// Opens those that are closed and that a whole list, as of a revision, does not name; true where
  /// there was one.
  pub fn drop_unlisted(&mut self, to: Revision, listed: &BTreeSet<String>) -> bool {
    let mut dropped = false;
    for (data_centre, closure) in &mut self.closures {
      if closure.closed && closure.revision < to && !listed.contains(data_centre) {
        *closure = Closure {
          closed: false,
          revision: to,
        };
        dropped = true;
      }
    }
    dropped
  }

  /// Whether a data centre is closed.
  pub fn is_closed(&self, data_centre: &str) -> bool {
    let closure = self.closures.get(data_centre);
    closure.is_some_and(|closure| closure.closed)
  }

  /// The revision at which a data centre was opened again; none where it is closed, or never was.
  pub fn opened(&self, data_centre: &str) -> Option<Revision> {
    let closure = self.closures.get(data_centre)?;
    (!closure.closed).then_some(closure.revision)
  }

  /// The words that came after a revision.
  pub fn since(&self, after: Revision) -> impl Iterator<Item = Record> {
    let closures = self.closures.iter();
    let newer = closures.filter(move |(_, closure)| closure.revision > after);
    newer.map(|(data_centre, closure)| Record::Closure {
      closed: closure.closed,
      data_centre: data_centre.clone(),
      revision: closure.revision,
    })
  }

  /// Takes a word; true where it is newer than what was known. One that is open both before and after
  /// may have been closed between.
  pub fn take(&mut self, data_centre: String, closed: bool, revision: Revision) -> bool {
    let known = self.closures.get(&data_centre);
    if known.is_some_and(|known| known.revision >= revision) {
      return false;
    }
    self
      .closures
      .insert(data_centre, Closure { closed, revision });
    true
  }
}
