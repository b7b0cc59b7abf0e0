//! A change of a few routes is told by those few, and makes the same configuration everywhere.

use {
  crate::support::{configuration, configured, news},
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    datagram::{Catalog, Configuration, Record},
  },
  std::{collections::BTreeMap, time::Instant},
};

/// The routes of so many addresses.
fn routes(count: u8) -> Vec<(u8, &'static str)> {
  (1..=count).map(|number| (number, "a")).collect()
}

fn held(catalog: &Catalog) -> Configuration {
  let held = catalog.configuration().expect("a configuration");
  held.as_ref().clone()
}

/// A configuration: its revision, its version and its routes.
type Step<'a> = (u64, u64, Vec<(u8, &'a str)>);

/// A catalog that has heard of configurations.
fn catalog(configurations: &[Step]) -> Catalog {
  let now = Instant::now();
  let mut catalog = Catalog::default();
  let mut after = None;
  for (revision, version, routes) in configurations {
    let record = configured(*revision, *version, routes);
    catalog.offer(now, news(after, *revision, &[record]));
    after = Some(*revision);
  }
  catalog
}

#[test]
fn one_changed_route_of_many_is_told_alone() {
  let mut changed = routes(200);
  changed[9].1 = "b";
  changed.remove(0);
  let told = catalog(&[(5, 1, routes(200)), (6, 2, changed.clone())]);
  let news = told.since(Revision(5));
  assert_matches!(
    &news.records[..],
    [Record::Amendment { amendment, .. }] if amendment.routes.len() == 2
  );
  let mut other = catalog(&[(5, 1, routes(200))]);
  assert!(other.offer(Instant::now(), news).configuration);
  assert_eq!(held(&other), configuration(2, &changed));
}

#[test]
fn changes_are_told_together_whatever_came_between() {
  let second = [routes(10), vec![(20, "b")]].concat();
  let third = [routes(8), vec![(20, "a")]].concat();
  let told = catalog(&[
    (5, 1, routes(10)),
    (6, 2, second.clone()),
    (7, 3, third.clone()),
  ]);
  for (known, first) in [(5, (5, 1, routes(10))), (6, (6, 2, second))] {
    let mut other = catalog(&[first]);
    other.offer(Instant::now(), told.since(Revision(known)));
    assert_eq!(held(&other), configuration(3, &third));
    assert_eq!(other.complete(), Revision(7));
  }
}

#[test]
fn what_was_heard_as_a_change_is_told_on_as_one() {
  let second = [routes(10), vec![(20, "b")]].concat();
  let told = catalog(&[(5, 1, routes(10)), (6, 2, second.clone())]);
  let mut between = catalog(&[(5, 1, routes(10))]);
  between.offer(Instant::now(), told.since(Revision(5)));
  let mut last = catalog(&[(5, 1, routes(10))]);
  last.offer(Instant::now(), between.since(Revision(5)));
  assert_eq!(held(&last), configuration(2, &second));
}

#[test]
fn who_knows_less_than_the_teller_ever_did_is_told_the_whole() {
  let told = catalog(&[(5, 1, routes(10)), (6, 2, routes(9))]);
  let news = told.since(Revision(4));
  assert!(matches!(news.records[..], [Record::Configuration { .. }]));
}

#[test]
fn a_change_that_builds_on_what_is_not_known_here_is_not_taken() {
  let told = catalog(&[(5, 1, routes(10)), (6, 2, routes(9)), (7, 3, routes(8))]);
  let mut behind = catalog(&[(5, 1, routes(10))]);
  let change = behind.offer(Instant::now(), told.since(Revision(6)));
  assert!(!change.configuration);
  assert_eq!(held(&behind), configuration(1, &routes(10)));
  assert_eq!(behind.complete(), Revision(5));
}

#[test]
fn an_older_change_turns_nothing_back() {
  let told = catalog(&[(5, 1, routes(10)), (6, 2, routes(9))]);
  let older = told.since(Revision(5));
  let mut ahead = catalog(&[(5, 1, routes(10)), (7, 3, routes(3))]);
  assert!(!ahead.offer(Instant::now(), older).configuration);
  assert_eq!(held(&ahead), configuration(3, &routes(3)));
}

#[test]
fn any_walk_of_changes_ends_at_the_same_configuration() {
  let mut walk = Vec::new();
  let mut routes = BTreeMap::new();
  for step in 0..200_u64 {
    let number = (step * 7 % 31) as u8;
    if step % 3 == 0 {
      routes.remove(&number);
    } else {
      routes.insert(number, if step % 2 == 0 { "a" } else { "b" });
    }
    let listed = routes.iter().map(|(number, service)| (*number, *service));
    walk.push((step + 1, step + 1, listed.collect::<Vec<_>>()));
  }
  let told = catalog(&walk);
  let last = configuration(200, &walk[199].2);
  for known in 0..199 {
    let mut other = catalog(&walk[..=known]);
    other.offer(Instant::now(), told.since(Revision(known as u64 + 1)));
    assert_eq!(held(&other), last, "from {known}");
  }
}
