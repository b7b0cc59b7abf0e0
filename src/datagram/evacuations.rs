use {
  super::Record,
  crate::Revision,
  std::collections::{BTreeMap, BTreeSet},
};

/// The data centres that are closed to new flows. A record that is older than the known one of its
/// data centre is ignored, whoever sends it.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
  /// The latest record of each data centre that was ever closed; kept after it reopens, so that an
  /// older record can't close it again.
  by_data_centre: BTreeMap<String, Evacuation>,
}

#[derive(Clone, Copy, Debug)]
struct Evacuation {
  closed: bool,
  revision: Revision,
}

impl Evacuations {
  /// The names of the closed data centres.
  pub fn closed(&self) -> impl Iterator<Item = &str> {
    let closed = self.by_data_centre.iter();
    let closed = closed.filter(|(_, evacuation)| evacuation.closed);
    closed.map(|(data_centre, _)| data_centre.as_str())
  }

  /// Reopens the closed data centres that a snapshot as of revision `to` doesn't list; true if
  /// there was any.
  pub fn drop_unlisted(&mut self, to: Revision, listed: &BTreeSet<String>) -> bool {
    let mut dropped = false;
    for (data_centre, evacuation) in &mut self.by_data_centre {
      if evacuation.closed && evacuation.revision < to && !listed.contains(data_centre) {
        *evacuation = Evacuation {
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
    let evacuation = self.by_data_centre.get(data_centre);
    evacuation.is_some_and(|evacuation| evacuation.closed)
  }

  /// The revision at which a data centre was opened again; none while it is closed, or if it never
  /// was.
  pub fn opened(&self, data_centre: &str) -> Option<Revision> {
    let evacuation = self.by_data_centre.get(data_centre)?;
    (!evacuation.closed).then_some(evacuation.revision)
  }

  /// The records after a revision.
  pub fn since(&self, after: Revision) -> impl Iterator<Item = Record> {
    let evacuations = self.by_data_centre.iter();
    let newer = evacuations.filter(move |(_, evacuation)| evacuation.revision > after);
    newer.map(|(data_centre, evacuation)| Record::Evacuation {
      closed: evacuation.closed,
      data_centre: data_centre.clone(),
      revision: evacuation.revision,
    })
  }

  /// Applies a record; true if it is newer than the known one. A data centre that is open both
  /// before and after may have been closed in between.
  pub fn apply(&mut self, data_centre: String, closed: bool, revision: Revision) -> bool {
    let known = self.by_data_centre.get(&data_centre);
    if known.is_some_and(|known| known.revision >= revision) {
      return false;
    }
    self
      .by_data_centre
      .insert(data_centre, Evacuation { closed, revision });
    true
  }
}
