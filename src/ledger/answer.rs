use {
  bytes::Bytes,
  http::{HeaderMap, StatusCode},
  std::sync::Arc,
};

/// A complete answer, cached for requests that repeat the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
  /// The complete body.
  pub body: Bytes,
  /// Shared, so that cloning an answer doesn't copy them.
  pub headers: Arc<HeaderMap>,
  /// The status that the upstream answered with.
  pub status: StatusCode,
}

impl Answer {
  /// An estimate of the memory that it takes, in bytes.
  pub fn size(&self) -> usize {
    let headers = self.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + 64);
    self.body.len() + headers.sum::<usize>()
  }
}
