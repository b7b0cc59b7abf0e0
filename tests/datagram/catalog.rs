//! What a process knows of the platform never steps back.

use {
  crate::support::{configured, listed, news, unlisted},
  fallwell::{Revision, config::Presence, datagram::Catalog, datagram::Version},
  std::time::{Duration, Instant},
};

#[test]
fn an_older_configuration_changes_nothing() {
  let mut catalog = Catalog::default();
  let now = Instant::now();
  catalog.offer(now, news(None, 5, &[configured(5, 7, &[(1, "a")])]));
  let change = catalog.offer(now, news(Some(0), 4, &[configured(4, 6, &[(1, "b")])]));
  assert!(change.is_empty());
  assert_eq!(catalog.version(), Version(7));
  assert_eq!(catalog.complete(), Revision(5));
}

#[test]
fn a_whole_list_from_the_past_drops_nothing() {
  let mut catalog = Catalog::default();
  let now = Instant::now();
  let live = Presence::Live;
  catalog.offer(now, news(None, 5, &[listed(5, "one", 1, "a", live)]));
  catalog.offer(now, news(None, 3, &[]));
  let (_, entry) = catalog.entries().next().expect("entry");
  assert_eq!(entry.gone, None);
}

#[test]
fn a_whole_list_drops_what_it_does_not_name() {
  let mut catalog = Catalog::default();
  let now = Instant::now();
  let live = Presence::Live;
  catalog.offer(now, news(None, 5, &[listed(5, "one", 1, "a", live)]));
  catalog.offer(now, news(None, 8, &[listed(7, "two", 2, "a", live)]));
  let gone = catalog.entries().map(|(_, entry)| entry.gone.is_some());
  assert_eq!(gone.collect::<Vec<_>>(), [true, false]);
}

#[test]
fn what_has_left_is_remembered_for_the_life_of_a_flow() {
  let mut catalog = Catalog::default();
  let now = Instant::now();
  let live = Presence::Live;
  catalog.offer(now, news(None, 5, &[listed(5, "one", 1, "a", live)]));
  catalog.offer(now, news(Some(5), 6, &[unlisted(6, "one")]));
  catalog.expire(now + Duration::from_mins(1));
  assert_eq!(catalog.entries().count(), 1);
  catalog.expire(now + Duration::from_mins(2));
  assert_eq!(catalog.entries().count(), 0);
}

#[test]
fn a_target_that_lapsed_is_back_with_its_next_record() {
  let mut catalog = Catalog::default();
  let now = Instant::now();
  let live = Presence::Live;
  catalog.offer(now, news(None, 5, &[listed(5, "one", 1, "a", live)]));
  catalog.offer(now, news(Some(5), 6, &[unlisted(6, "one")]));
  catalog.offer(now, news(Some(6), 7, &[listed(7, "one", 1, "a", live)]));
  let (_, entry) = catalog.entries().next().expect("entry");
  assert_eq!(entry.gone, None);
}

#[test]
fn news_with_a_gap_before_it_does_not_count_as_complete() {
  let mut catalog = Catalog::default();
  let now = Instant::now();
  catalog.offer(now, news(None, 5, &[]));
  catalog.offer(now, news(Some(8), 9, &[configured(9, 7, &[])]));
  assert_eq!(catalog.complete(), Revision(5));
  assert_eq!(catalog.version(), Version(7));
}

#[test]
fn what_came_since_brings_another_catalog_level() {
  let mut first = Catalog::default();
  let mut second = Catalog::default();
  let now = Instant::now();
  let live = Presence::Live;
  let records = [
    listed(3, "one", 1, "a", live),
    configured(4, 7, &[(1, "a")]),
  ];
  first.offer(now, news(None, 5, &records));
  second.offer(now, first.since(Revision(0)));
  first.offer(now, news(Some(5), 6, &[unlisted(6, "one")]));
  second.offer(now, first.since(second.complete()));
  assert_eq!(second.complete(), Revision(6));
  assert_eq!(second.version(), Version(7));
  let (_, entry) = second.entries().next().expect("entry");
  assert!(entry.gone.is_some());
}

#[test]
fn a_catalog_that_began_with_a_whole_list_tells_others_the_whole() {
  let now = Instant::now();
  let live = Presence::Live;
  let mut first = Catalog::default();
  first.offer(now, news(None, 5, &[listed(5, "one", 1, "a", live)]));
  // It left the list before the second process started.
  let mut second = Catalog::default();
  second.offer(now, news(None, 6, &[]));
  first.offer(now, second.since(first.complete()));
  let (_, entry) = first.entries().next().expect("entry");
  assert!(entry.gone.is_some());
}

#[test]
fn a_catalog_that_forgot_a_removal_tells_others_the_whole() {
  let now = Instant::now();
  let live = Presence::Live;
  let mut first = Catalog::default();
  first.offer(now, news(None, 5, &[listed(5, "one", 1, "a", live)]));
  let mut second = first.clone();
  second.offer(now, news(Some(5), 6, &[unlisted(6, "one")]));
  second.expire(now + Duration::from_mins(5));
  first.offer(now, second.since(first.complete()));
  let (_, entry) = first.entries().next().expect("entry");
  assert!(entry.gone.is_some());
}
