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

/// An answer that goes on for longer is a feed: it no longer takes a slot.
const FEED: Duration = Duration::from_secs(1);

/// What a request ends in.
#[derive(Debug)]
pub enum Reply {
  /// An answer that is held.
  Held(ledger::Answer),
  /// An answer that comes from the upstream, with the slot that it takes.
  Live(Live),
  /// A final answer of the agent's own.
  Problem(Problem),
}

/// An answer that comes from the upstream.
#[derive(Debug)]
pub struct Live {
  answer: Answer,
  since: Instant,
  slot: Option<Slot>,
}

impl Live {
  /// An answer and the slot that it takes, here or at none.
  pub fn new(answer: Answer, slot: Option<Slot>) -> Self {
    Self {
      answer,
      since: Instant::now(),
      slot,
    }
  }

  /// The answer's head, without its body.
  pub fn head(&self) -> (StatusCode, HeaderMap) {
    let response = &self.answer.response;
    (response.status(), response.headers().clone())
  }

  /// The next piece of the body; none at its end, an error when the upstream cut it.
  pub async fn piece(&mut self) -> Result<Option<Bytes>, hyper::Error> {
    let piece = if let Ok(piece) = tokio::time::timeout(FEED, self.answer.piece()).await {
      piece
    } else {
      self.slot = None;
      self.answer.piece().await
    };
    self.release();
    piece
  }

  /// The answer as a response whose body holds the slot and the connection.
  pub fn response(self) -> Response<Self> {
    let (status, headers) = self.head();
    let mut response = Response::new(self);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
  }

  fn release(&mut self) {
    if self.since.elapsed() >= FEED {
      self.slot = None;
    }
  }
}

impl Body for Live {
  type Data = Bytes;
  type Error = hyper::Error;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
    self.release();
    let body: &mut Incoming = self.answer.response.body_mut();
    Pin::new(body).poll_frame(context)
  }
}
