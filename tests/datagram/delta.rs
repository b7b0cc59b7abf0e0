//! Differences between configurations: a change of a few routes is sent as those alone, and yields
//! the same configuration everywhere.

use {
  crate::support::{configuration, configured, update},
  assert_matches::assert_matches,
  fallwell::{
    Revision,
    datagram::{Catalog, Configuration, Record},
  },
  std::{collections::BTreeMap, time::Instant},
};

/// Routes of `count` addresses, all to service `a`.
fn routes(count: u8) -> Vec<(u8, &'static str)> {
  (1..=count).map(|number| (number, "a")).collect()
}

fn in_force(catalog: &Catalog) -> Configuration {
  let in_force = catalog.configuration().expect("a configuration");
  in_force.as_ref().clone()
}

/// A configuration: its revision, version and routes.
type Step<'a> = (u64, u64, Vec<(u8, &'a str)>);

/// A catalog that has received configurations one after another.
fn catalog(configurations: &[Step]) -> Catalog {
  let now = Instant::now();
  let mut catalog = Catalog::default();
  let mut after = None;
  for (revision, version, routes) in configurations {
    let record = configured(*revision, *version, routes);
    catalog.apply_update(now, update(after, *revision, &[record]));
    after = Some(*revision);
  }
  catalog
}

#[test]
fn only_changed_routes_are_sent() {
  let mut changed = routes(200);
  changed[9].1 = "b";
  changed.remove(0);
  let sender = catalog(&[(5, 1, routes(200)), (6, 2, changed.clone())]);
  let update = sender.since(Instant::now(), Revision(5));
  assert_matches!(
    &update.records[..],
    [Record::Delta { delta, .. }] if delta.routes.len() == 2
  );
  let mut other = catalog(&[(5, 1, routes(200))]);
  assert!(other.apply_update(Instant::now(), update).configuration);
  assert_eq!(in_force(&other), configuration(2, &changed));
}

#[test]
fn several_changes_are_sent_as_one_difference() {
  let second = [routes(10), vec![(20, "b")]].concat();
  let third = [routes(8), vec![(20, "a")]].concat();
  let sender = catalog(&[
    (5, 1, routes(10)),
    (6, 2, second.clone()),
    (7, 3, third.clone()),
  ]);
  for (known, first) in [(5, (5, 1, routes(10))), (6, (6, 2, second))] {
    let mut other = catalog(&[first]);
    other.apply_update(
      Instant::now(),
      sender.since(Instant::now(), Revision(known)),
    );
    assert_eq!(in_force(&other), configuration(3, &third));
    assert_eq!(other.synced(), Revision(7));
  }
}

/// Guards against an old route under a new version: the receiver has a configuration that the sender
/// missed, between two in which the route is the same.
#[test]
fn a_route_that_changed_and_changed_back_is_sent() {
  let second = vec![(1, "b")];
  let source = catalog(&[(5, 1, routes(1)), (6, 2, second.clone()), (7, 3, routes(1))]);
  let mut sender = catalog(&[(5, 1, routes(1))]);
  sender.apply_update(Instant::now(), source.since(Instant::now(), Revision(5)));
  let mut other = catalog(&[(5, 1, routes(1)), (6, 2, second)]);
  other.apply_update(Instant::now(), sender.since(Instant::now(), Revision(6)));
  assert_eq!(in_force(&other), configuration(3, &routes(1)));
}

#[test]
fn a_received_difference_is_forwarded_as_one() {
  let second = [routes(10), vec![(20, "b")]].concat();
  let sender = catalog(&[(5, 1, routes(10)), (6, 2, second.clone())]);
  let mut between = catalog(&[(5, 1, routes(10))]);
  between.apply_update(Instant::now(), sender.since(Instant::now(), Revision(5)));
  let mut last = catalog(&[(5, 1, routes(10))]);
  last.apply_update(Instant::now(), between.since(Instant::now(), Revision(5)));
  assert_eq!(in_force(&last), configuration(2, &second));
}

#[test]
fn a_receiver_older_than_the_senders_history_gets_the_whole_configuration() {
  let sender = catalog(&[(5, 1, routes(10)), (6, 2, routes(9))]);
  let update = sender.since(Instant::now(), Revision(4));
  assert!(matches!(update.records[..], [Record::Configuration { .. }]));
}

#[test]
fn a_difference_from_an_unknown_configuration_is_ignored() {
  let sender = catalog(&[(5, 1, routes(10)), (6, 2, routes(9)), (7, 3, routes(8))]);
  let mut behind = catalog(&[(5, 1, routes(10))]);
  let change = behind.apply_update(Instant::now(), sender.since(Instant::now(), Revision(6)));
  assert!(!change.configuration);
  assert_eq!(in_force(&behind), configuration(1, &routes(10)));
  assert_eq!(behind.synced(), Revision(5));
}

#[test]
fn an_older_difference_is_ignored() {
  let sender = catalog(&[(5, 1, routes(10)), (6, 2, routes(9))]);
  let older = sender.since(Instant::now(), Revision(5));
  let mut ahead = catalog(&[(5, 1, routes(10)), (7, 3, routes(3))]);
  assert!(!ahead.apply_update(Instant::now(), older).configuration);
  assert_eq!(in_force(&ahead), configuration(3, &routes(3)));
}

#[test]
fn differences_from_any_revision_yield_the_same_configuration() {
  let mut steps = Vec::new();
  let mut routes = BTreeMap::new();
  for step in 0..200_u64 {
    let number = (step * 7 % 31) as u8;
    if step % 3 == 0 {
      routes.remove(&number);
    } else {
      routes.insert(number, if step % 2 == 0 { "a" } else { "b" });
    }
    let listed = routes.iter().map(|(number, service)| (*number, *service));
    steps.push((step + 1, step + 1, listed.collect::<Vec<_>>()));
  }
  let sender = catalog(&steps);
  let last = configuration(200, &steps[199].2);
  for known in 0..199 {
    let mut other = catalog(&steps[..=known]);
    other.apply_update(
      Instant::now(),
      sender.since(Instant::now(), Revision(known as u64 + 1)),
    );
    assert_eq!(in_force(&other), last, "from {known}");
  }
}
