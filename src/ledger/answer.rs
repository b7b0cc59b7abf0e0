use {
  bytes::Bytes,
  http::{HeaderMap, StatusCode},
  std::sync::Arc,
};

/// A whole answer, held for the requests that ask for it again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
  /// Its body.
  pub body: Bytes,
  /// Its headers.
  pub headers: Arc<HeaderMap>,
  /// Its status.
  pub status: StatusCode,
}

impl Answer {
  /// The memory that it takes, in bytes, near enough for a bound.
  pub fn size(&self) -> usize {
    let headers = self.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + 64);
    self.body.len() + headers.sum::<usize>()
  }
}
