//! Buffering of log lines; `platform/tests` covers the limit of what a process writes.

#[test]
fn without_buffered_lines_no_flush_is_due() {
  assert_eq!(fallwell::logging::defer_flush(), None);
}
