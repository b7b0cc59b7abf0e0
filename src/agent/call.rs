use {
  super::problem::Problem,
  crate::{Code, config::Route},
  bytes::{Bytes, BytesMut},
  futures::{SinkExt, StreamExt, channel::mpsc},
  http::{Method, Request, header, request::Parts},
  hyper::body::Frame,
  std::{
    hash::Hasher,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
  },
  xxhash_rust::xxh3::{Xxh3, xxh3_128},
};

/// A body of up to this many bytes is held, so that its request can go to a peer; a larger one
/// streams to the upstream beside.
const HELD_MAX: usize = 64 << 10;

/// How many pieces of a body wait on their way.
const PIECES: usize = 16;

/// The pieces of a request's body; an error cuts it, so that nobody takes it for whole.
pub type Pieces = mpsc::Receiver<Result<Frame<Bytes>, io::Error>>;

/// A request's body.
#[derive(Debug)]
pub enum Body {
  /// The beginning, and the pieces that follow it.
  Stream(Bytes, Pieces),
  /// All of it.
  Whole(Bytes),
}

/// A request of a caller on its way through agents.
#[derive(Debug)]
pub struct Call {
  /// Its body.
  pub body: Body,
  /// Who sent it.
  pub caller: SocketAddr,
  /// Its method, path and headers.
  pub head: Parts,
  /// What the operator says of it.
  pub route: Route,
  /// When it is of no use any more to start it.
  pub start_by: Instant,
  /// Whether it may only run at the upstream beside: it is a feed, or may be one.
  pub stays: bool,
}

impl Call {
  /// A call whose deadline begins now. Holds the body when it is small enough.
  pub async fn new(
    caller: SocketAddr,
    request: Request<()>,
    route: Option<Route>,
    pieces: Option<Pieces>,
  ) -> Result<Self, Problem> {
    let stays = route.as_ref().is_none_or(|route| route.feed);
    let route = route.unwrap_or_default();
    let (head, ()) = request.into_parts();
    let start_by = Instant::now() + Duration::from_millis(route.deadline_ms);
    let body = match pieces {
      Some(pieces) => hold(pieces).await?,
      None => Body::Whole(Bytes::new()),
    };
    Ok(Self {
      body,
      caller,
      head,
      route,
      start_by,
      stays,
    })
  }

  /// The header that sets one request that may not be repeated apart from all others
  /// (draft-ietf-httpapi-idempotency-key-header).
  pub fn key(&self) -> Option<u128> {
    let key = self.head.headers.get("idempotency-key")?;
    let mut bytes = self.head.method.as_str().as_bytes().to_vec();
    bytes.push(b' ');
    bytes.extend(self.head.uri.path().as_bytes());
    bytes.push(b' ');
    bytes.extend(key.as_bytes());
    Some(xxh3_128(&bytes))
  }

  /// A hash of what is asked, by which another request under the same key is told.
  pub fn fingerprint(&self) -> u64 {
    let mut hasher = Xxh3::new();
    let path = self.head.uri.path_and_query();
    hasher.write(path.map_or("/", |path| path.as_str()).as_bytes());
    if let Body::Whole(body) = &self.body {
      hasher.write(body);
    }
    hasher.finish()
  }

  /// Whether the caller says that it never sent this key before.
  pub fn is_first(&self) -> bool {
    let attempt = self.head.headers.get("fallwell-attempt");
    attempt.is_some_and(|attempt| attempt.as_bytes() == b"1")
  }

  /// Whether its method may have a body.
  pub fn has_body(request: &Request<()>) -> bool {
    let bodiless = matches!(
      *request.method(),
      Method::GET | Method::HEAD | Method::DELETE
    );
    !bodiless || request.headers().contains_key(header::CONTENT_LENGTH)
  }

  /// A copy that can be sent to a peer; none when the body is not held.
  pub fn copy(&self) -> Option<Self> {
    let Body::Whole(body) = &self.body else {
      return None;
    };
    Some(Self {
      body: Body::Whole(body.clone()),
      caller: self.caller,
      head: self.head.clone(),
      route: self.route.clone(),
      start_by: self.start_by,
      stays: self.stays,
    })
  }

  /// The time until it is of no use to start it.
  pub fn remaining(&self) -> Duration {
    self.start_by.saturating_duration_since(Instant::now())
  }
}

async fn hold(mut pieces: Pieces) -> Result<Body, Problem> {
  let mut held = BytesMut::new();
  while let Some(piece) = pieces.next().await {
    let piece = piece.map_err(|_| Problem::new(Code::RequestCancelled))?;
    if let Ok(data) = piece.into_data() {
      held.extend_from_slice(&data);
    }
    if held.len() > HELD_MAX {
      return Ok(Body::Stream(held.freeze(), pieces));
    }
  }
  Ok(Body::Whole(held.freeze()))
}

/// Where the pieces of a body are put in.
#[derive(Debug)]
pub struct Writer(mpsc::Sender<Result<Frame<Bytes>, io::Error>>);

impl Writer {
  /// A body and where its pieces are put in.
  pub fn new() -> (Self, Pieces) {
    let (sender, pieces) = mpsc::channel(PIECES);
    (Self(sender), pieces)
  }

  /// Adds a piece; false when nobody reads any more.
  pub async fn add(&mut self, piece: Bytes) -> bool {
    self.0.send(Ok(Frame::data(piece))).await.is_ok()
  }

  /// Cuts the body.
  pub async fn cut(&mut self) {
    let cut = io::Error::new(io::ErrorKind::ConnectionAborted, "caller gave up");
    let _ = self.0.send(Err(cut)).await;
  }
}
