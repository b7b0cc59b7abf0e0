use {
  super::world::{SERVICE, record, service, target},
  assert_matches::assert_matches,
  fallwell::{
    Code, Revision,
    code::Fault,
    config::{HISTORY_LIMIT, Key, Record, Store, Verdict},
  },
};

const KEY: Key = Key::Service(SERVICE);

fn service_with(targets: &[u32]) -> fallwell::config::Service {
  service(targets.iter().copied().map(target))
}

#[test]
fn a_lower_revision_is_refused() {
  let mut store = Store::default();
  assert_eq!(
    store.offer(record(5, &service_with(&[1]))),
    Verdict::Accepted
  );
  assert_eq!(store.offer(record(4, &service_with(&[2]))), Verdict::Older);
  assert_eq!(store.offer(record(5, &service_with(&[1]))), Verdict::Known);
  assert_eq!(store.in_force(KEY), Some(Revision(5)));
  assert_eq!(store.reversions(), 0);
}

#[test]
fn an_invalid_document_is_rejected_with_a_reason_and_the_old_one_stays_in_force() {
  let mut store = Store::default();
  store.offer(record(1, &service_with(&[1])));
  let invalid = Record::new(KEY, Revision(2), Some("{".into()));
  assert_matches!(
    store.offer(invalid),
    Verdict::Rejected(Fault {
      code: Code::DocumentUnreadable,
      ..
    })
  );
  assert_eq!(store.in_force(KEY), Some(Revision(1)));
  assert_matches!(store.fault(KEY), Some(fault) if fault.detail.starts_with("service/1: "));
}

#[test]
fn a_process_that_joins_receives_the_document_in_force_besides_an_invalid_newer_one() {
  let mut store = Store::default();
  store.offer(record(1, &service_with(&[1])));
  store.offer(Record::new(KEY, Revision(2), Some("{".into())));
  store.offer(Record::new(KEY, Revision(3), Some("[".into())));
  let mut joined = Store::default();
  for record in store.records(KEY) {
    joined.offer(record);
  }
  assert_eq!(joined.in_force(KEY), Some(Revision(1)));
  assert_eq!(joined.digest(), store.digest());
}

#[test]
fn earlier_target_sets_are_stored_up_to_the_limit_and_sent_to_peers() {
  let mut store = Store::default();
  for revision in 1..=40 {
    store.offer(record(revision, &service_with(&[revision as u32, 100])));
  }
  assert_eq!(store.history(SERVICE).len(), HISTORY_LIMIT);
  assert_eq!(store.history(SERVICE)[0].revision, Revision(39));
  let mut joined = Store::default();
  for record in store.records(KEY) {
    joined.offer(record);
  }
  assert_eq!(joined.history(SERVICE), store.history(SERVICE));
}

#[test]
fn new_revisions_with_the_same_targets_add_at_most_one_set_to_the_history() {
  let mut store = Store::default();
  for revision in 1..=5 {
    store.offer(record(revision, &service_with(&[1, 2])));
  }
  assert!(store.history(SERVICE).len() <= 1);
}

#[test]
fn the_history_from_a_peer_is_merged() {
  let mut old = Store::default();
  old.offer(record(1, &service_with(&[1])));
  old.offer(record(2, &service_with(&[2])));
  let mut fresh = Store::default();
  fresh.offer(record(2, &service_with(&[2])));
  assert!(fresh.history(SERVICE).is_empty());
  for record in old.records(KEY) {
    assert_eq!(fresh.offer(record), Verdict::Known);
  }
  assert_eq!(fresh.history(SERVICE), old.history(SERVICE));
}

#[test]
fn of_two_services_with_the_same_address_the_lower_id_is_in_force_in_any_order() {
  let mut first = service_with(&[1]);
  first.id.0 = 2;
  let mut second = service_with(&[2]);
  second.id.0 = 1;
  for order in [[&first, &second], [&second, &first]] {
    let mut store = Store::default();
    for (index, service) in order.into_iter().enumerate() {
      store.offer(record(index as u64 + 1, service));
    }
    let in_force = store.services().map(|(_, service)| service.id.0);
    assert_eq!(in_force.collect::<Vec<_>>(), [1]);
  }
}

#[test]
fn invalid_documents_are_rejected_with_code_and_detail() {
  for (text, code, detail) in [
    (
      r#"{"id":1,"name":"x","generation":1,"address":"127.0.0.1:1","targets":[]}"#,
      Code::DocumentWithoutTargets,
      "service 1: found 0 targets, expected 1 or more",
    ),
    (
      r#"{"id":3,"name":"x","generation":1,"address":"127.0.0.1:1","targets":[]}"#,
      Code::DocumentIdMismatch,
      "service/1: `id` in the document differs from the key",
    ),
    (
      r#"{"id":1,"name":"x","generation":1,"address":"127.0.0.1:1","drain_s":9999999,
      "targets":[{"id":1,"agent":"127.0.0.1:2"}]}"#,
      Code::DocumentOutOfRange,
      "service 1: found 9999999, expected at most 604800, in `drain_s`",
    ),
    (
      r#"{"id":1,"name":"x","generation":1,"address":"127.0.0.1:1",
      "targets":[{"id":1,"agent":"127.0.0.1:2"},{"id":1,"agent":"127.0.0.1:3"}]}"#,
      Code::DocumentTargetTwice,
      "service 1: target 1 at 127.0.0.1:3 occurs twice in `targets`, by its id or its agent address",
    ),
    (
      r#"{"id":1,"name":"x","generation":1,"address":"127.0.0.1:1","colour":1,"targets":[]}"#,
      Code::DocumentUnreadable,
      "service/1: unknown field `colour`",
    ),
  ] {
    let mut store = Store::default();
    let record = Record::new(KEY, Revision(1), Some(text.into()));
    assert_matches!(store.offer(record), Verdict::Rejected(fault) => {
      assert_eq!(fault.code, code);
      assert!(fault.detail.starts_with(detail), "{}", fault.detail);
    });
  }
}
