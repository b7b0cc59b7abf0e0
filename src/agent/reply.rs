use {
  super::{problem::Problem, slots::Slot, upstream::Answer},
  crate::ledger,
  bytes::Bytes,
  http::{HeaderMap, Response, StatusCode},
  hyper::body::{Body, Frame, Incoming},
  std::{
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
  },
};

/// The time after which the slot of an unfinished answer is released, since the answer may be a
/// feed (a long-running stream).
const SLOT_TIME_MAX: Duration = Duration::from_secs(1);

/// The reply to a request.
#[derive(Debug)]
pub enum Reply {
  /// A complete answer, kept by the ledger.
  Buffered(ledger::Answer),
  /// An answer that is still being received from the upstream or a peer.
  Streamed(Streamed),
  /// The agent's own answer that the request failed.
  Problem(Problem),
}

/// An answer that is still being received, with the slot that it takes.
#[derive(Debug)]
pub struct Streamed {
  answer: Answer,
  since: Instant,
  slot: Option<Slot>,
}

impl Streamed {
  /// Creates it from an answer. The slot is that of this agent's upstream; none for a feed, or if
  /// the request ran at a peer.
  pub fn new(answer: Answer, slot: Option<Slot>) -> Self {
    Self {
      answer,
      since: Instant::now(),
      slot,
    }
  }

  /// The status and the headers.
  pub fn head(&self) -> (StatusCode, HeaderMap) {
    let response = &self.answer.response;
    (response.status(), response.headers().clone())
  }

  /// The next chunk of the body; none at its end. Fails when the connection ends before the body.
  pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, hyper::Error> {
    let chunk =
      if let Ok(chunk) = tokio::time::timeout(SLOT_TIME_MAX, self.answer.next_chunk()).await {
        chunk
      } else {
        self.slot = None;
        self.answer.next_chunk().await
      };
    self.release_slot();
    chunk
  }

  /// Converts the answer to a response whose body owns the slot and the connection.
  pub fn response(self) -> Response<Self> {
    let (status, headers) = self.head();
    let mut response = Response::new(self);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
  }

  /// Releases the slot if the answer takes longer than `SLOT_TIME_MAX`.
  fn release_slot(&mut self) {
    if self.since.elapsed() >= SLOT_TIME_MAX {
      self.slot = None;
    }
  }
}

impl Body for Streamed {
  type Data = Bytes;
  type Error = hyper::Error;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
    self.release_slot();
    let body: &mut Incoming = self.answer.response.body_mut();
    Pin::new(body).poll_frame(context)
  }
}
