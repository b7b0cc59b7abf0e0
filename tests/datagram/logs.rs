//! Logs are bounded: see `platform/tests` for what a process writes.

#[test]
fn lines_are_written_once_they_are_due() {
  // Without a line nothing is due.
  assert_eq!(fallwell::logging::due(), None);
}
