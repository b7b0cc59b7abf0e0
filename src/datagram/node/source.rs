use {
  crate::{Revision, code::Fault, datagram::Update},
  std::{future::Future, time::Duration},
};

/// The platform's store, from which the configuration and the target list are read.
pub trait Source: Clone + Send + Sync + 'static {
  /// Reads a snapshot. Fails if the platform doesn't answer, or its answer is invalid.
  fn read(&self) -> impl Future<Output = Result<Update, Fault>> + Send;

  /// Waits up to `wait` for changes after a revision; none if the platform no longer has the
  /// history since then. Fails if the platform doesn't answer, or its answer is invalid.
  fn watch(
    &self,
    after: Revision,
    wait: Duration,
  ) -> impl Future<Output = Result<Option<Update>, Fault>> + Send;

  /// The names of the operator's orders and list entries that were read here and are ignored as
  /// invalid.
  fn ignored(&self) -> Vec<String>;

  /// The HTTP path of the platform's readiness check.
  fn readiness_path(&self) -> &'static str;
}
