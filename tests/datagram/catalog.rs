//! A catalog never replaces a record with an older one.

use {
  crate::support::{configured, listed, unlisted, update},
  fallwell::{Revision, config::Presence, datagram::Catalog, datagram::Version},
  std::time::{Duration, Instant},
};

#[test]
fn an_older_configuration_is_ignored() {
  let mut catalog = Catalog::default();
  let now = Instant::now();
  catalog.apply_update(now, update(None, 5, &[configured(5, 7, &[(1, "a")])]));
  let change = catalog.apply_update(now, update(Some(0), 4, &[configured(4, 6, &[(1, "b")])]));
  assert!(change.is_empty());
  assert_eq!(catalog.version(), Version(7));
  assert_eq!(catalog.synced(), Revision(5));
}

#[test]
fn an_older_snapshot_removes_nothing() {
  let mut catalog = Catalog::default();
  let now = Instant::now();
  let live = Presence::Live;
  catalog.apply_update(now, update(None, 5, &[listed(5, "one", 1, "a", live)]));
  catalog.apply_update(now, update(None, 3, &[]));
  let (_, entry) = catalog.entries().next().expect("entry");
  assert_eq!(entry.removed, None);
}

#[test]
fn a_snapshot_removes_unlisted_targets() {
  let mut catalog = Catalog::default();
  let now = Instant::now();
  let live = Presence::Live;
  catalog.apply_update(now, update(None, 5, &[listed(5, "one", 1, "a", live)]));
  catalog.apply_update(now, update(None, 8, &[listed(7, "two", 2, "a", live)]));
  let removed = catalog.entries().map(|(_, entry)| entry.removed.is_some());
  assert_eq!(removed.collect::<Vec<_>>(), [true, false]);
}

#[test]
fn tombstones_are_kept_for_the_lifetime_of_a_flow() {
  let mut catalog = Catalog::default();
  let now = Instant::now();
  let live = Presence::Live;
  catalog.apply_update(now, update(None, 5, &[listed(5, "one", 1, "a", live)]));
  catalog.apply_update(now, update(Some(5), 6, &[unlisted(6, "one")]));
  catalog.expire(now + Duration::from_mins(1));
  assert_eq!(catalog.entries().count(), 1);
  catalog.expire(now + Duration::from_mins(2));
  assert_eq!(catalog.entries().count(), 0);
}

#[test]
fn a_removed_target_returns_with_its_next_record() {
  let mut catalog = Catalog::default();
  let now = Instant::now();
  let live = Presence::Live;
  catalog.apply_update(now, update(None, 5, &[listed(5, "one", 1, "a", live)]));
  catalog.apply_update(now, update(Some(5), 6, &[unlisted(6, "one")]));
  catalog.apply_update(now, update(Some(6), 7, &[listed(7, "one", 1, "a", live)]));
  let (_, entry) = catalog.entries().next().expect("entry");
  assert_eq!(entry.removed, None);
}

#[test]
fn an_update_after_a_gap_does_not_count_as_complete() {
  let mut catalog = Catalog::default();
  let now = Instant::now();
  catalog.apply_update(now, update(None, 5, &[]));
  catalog.apply_update(now, update(Some(8), 9, &[configured(9, 7, &[])]));
  assert_eq!(catalog.synced(), Revision(5));
  assert_eq!(catalog.version(), Version(7));
}

#[test]
fn updates_since_a_revision_bring_another_catalog_up_to_date() {
  let mut first = Catalog::default();
  let mut second = Catalog::default();
  let now = Instant::now();
  let live = Presence::Live;
  let records = [
    listed(3, "one", 1, "a", live),
    configured(4, 7, &[(1, "a")]),
  ];
  first.apply_update(now, update(None, 5, &records));
  second.apply_update(now, first.since(now, Revision(0)));
  first.apply_update(now, update(Some(5), 6, &[unlisted(6, "one")]));
  second.apply_update(now, first.since(now, second.synced()));
  assert_eq!(second.synced(), Revision(6));
  assert_eq!(second.version(), Version(7));
  let (_, entry) = second.entries().next().expect("entry");
  assert!(entry.removed.is_some());
}

#[test]
fn a_catalog_that_started_from_a_snapshot_sends_a_snapshot() {
  let now = Instant::now();
  let live = Presence::Live;
  let mut first = Catalog::default();
  first.apply_update(now, update(None, 5, &[listed(5, "one", 1, "a", live)]));
  // It was removed from the target list before the second process started.
  let mut second = Catalog::default();
  second.apply_update(now, update(None, 6, &[]));
  first.apply_update(now, second.since(now, first.synced()));
  let (_, entry) = first.entries().next().expect("entry");
  assert!(entry.removed.is_some());
}

#[test]
fn a_catalog_with_an_expired_tombstone_sends_a_snapshot() {
  let now = Instant::now();
  let live = Presence::Live;
  let mut first = Catalog::default();
  first.apply_update(now, update(None, 5, &[listed(5, "one", 1, "a", live)]));
  let mut second = first.clone();
  second.apply_update(now, update(Some(5), 6, &[unlisted(6, "one")]));
  second.expire(now + Duration::from_mins(5));
  first.apply_update(now, second.since(now, first.synced()));
  let (_, entry) = first.entries().next().expect("entry");
  assert!(entry.removed.is_some());
}
