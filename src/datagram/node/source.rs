use {
  crate::{Revision, code::Fault, datagram::News},
  std::{future::Future, time::Duration},
};

/// Where the configuration and the list of targets are read.
pub trait Source: Clone + Send + Sync + 'static {
  /// Reads the whole.
  fn read(&self) -> impl Future<Output = Result<News, Fault>> + Send;

  /// Waits for what comes after a revision, for as long as `wait` where nothing comes; none where
  /// the platform has forgotten what came after it.
  fn watch(
    &self,
    after: Revision,
    wait: Duration,
  ) -> impl Future<Output = Result<Option<News>, Fault>> + Send;

  /// What operators order, and entries of the list, that was read here and cannot be obeyed, by name.
  fn ignored(&self) -> Vec<String>;

  /// The path where the platform asks whether the process is ready.
  fn readiness_path(&self) -> &'static str;
}
