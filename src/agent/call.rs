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

/// The largest body in bytes that is buffered, so that its request can be sent to a peer. A larger
/// one is streamed to the upstream of this agent.
const BUFFERED_MAX: usize = 64 << 10;

/// The maximum number of chunks of a body that are queued for its reader.
const CHUNKS_MAX: usize = 16;

/// The chunks of a request's body; an error means that the body is incomplete.
pub type Chunks = mpsc::Receiver<Result<Frame<Bytes>, io::Error>>;

/// A request's body.
#[derive(Debug)]
pub enum Body {
  /// The bytes received so far, and the chunks that follow.
  Stream(Bytes, Chunks),
  /// The complete body.
  Buffered(Bytes),
}

/// A caller's request, as agents run it or hand it off.
#[derive(Debug)]
pub struct Call {
  /// Its body.
  pub body: Body,
  /// The caller's address.
  pub caller: SocketAddr,
  /// The method, path and headers.
  pub head: Parts,
  /// The operator's settings for such requests; the defaults if no route matches.
  pub route: Route,
  /// When the head of the answer must have arrived. A request that has not started by then is not
  /// run.
  pub deadline: Instant,
  /// Whether it is run here or refused instead of being offered to peers: true for a feed, and for
  /// a request that matches no route and so could be a feed. Retries and hand-offs to a key's home
  /// ignore this.
  pub local_only: bool,
}

impl Call {
  /// Creates a call whose deadline is counted from now. Waits for the body until it is complete or
  /// too large to buffer.
  ///
  /// Fails with `RequestCancelled` when the body ends early.
  pub async fn new(
    caller: SocketAddr,
    request: Request<()>,
    route: Option<Route>,
    chunks: Option<Chunks>,
  ) -> Result<Self, Problem> {
    let local_only = route.as_ref().is_none_or(|route| route.feed);
    let route = route.unwrap_or_default();
    let (head, ()) = request.into_parts();
    let deadline = Instant::now() + Duration::from_millis(route.deadline_ms);
    let body = match chunks {
      Some(chunks) => buffer(chunks).await?,
      None => Body::Buffered(Bytes::new()),
    };
    Ok(Self {
      body,
      caller,
      head,
      route,
      deadline,
      local_only,
    })
  }

  /// A hash of the method, the path and the `Idempotency-Key` header
  /// (draft-ietf-httpapi-idempotency-key-header); none without that header.
  pub fn key(&self) -> Option<u128> {
    let key = self.head.headers.get("idempotency-key")?;
    let mut bytes = self.head.method.as_str().as_bytes().to_vec();
    bytes.push(b' ');
    bytes.extend(self.head.uri.path().as_bytes());
    bytes.push(b' ');
    bytes.extend(key.as_bytes());
    Some(xxh3_128(&bytes))
  }

  /// A hash of the path, the query and a buffered body, which tells whether another request reuses
  /// the same idempotency key.
  pub fn fingerprint(&self) -> u64 {
    let mut hasher = Xxh3::new();
    let path = self.head.uri.path_and_query();
    hasher.write(path.map_or("/", |path| path.as_str()).as_bytes());
    if let Body::Buffered(body) = &self.body {
      hasher.write(body);
    }
    hasher.finish()
  }

  /// Whether the caller marks this as its first attempt with the key.
  pub fn is_first(&self) -> bool {
    let attempt = self.head.headers.get("fallwell-attempt");
    attempt.is_some_and(|attempt| attempt.as_bytes() == b"1")
  }

  /// Whether a body is expected: the method usually has one, or `Content-Length` is present.
  pub fn has_body(request: &Request<()>) -> bool {
    let bodiless = matches!(
      *request.method(),
      Method::GET | Method::HEAD | Method::DELETE
    );
    !bodiless || request.headers().contains_key(header::CONTENT_LENGTH)
  }

  /// A copy that can be sent to a peer; none if the body is not buffered.
  pub fn try_clone(&self) -> Option<Self> {
    let Body::Buffered(body) = &self.body else {
      return None;
    };
    Some(Self {
      body: Body::Buffered(body.clone()),
      caller: self.caller,
      head: self.head.clone(),
      route: self.route.clone(),
      deadline: self.deadline,
      local_only: self.local_only,
    })
  }

  /// The time left until the deadline; zero once it has passed.
  pub fn remaining(&self) -> Duration {
    self.deadline.saturating_duration_since(Instant::now())
  }
}

async fn buffer(mut chunks: Chunks) -> Result<Body, Problem> {
  let mut buffered = BytesMut::new();
  while let Some(chunk) = chunks.next().await {
    let chunk = chunk.map_err(|_| Problem::new(Code::RequestCancelled))?;
    if let Ok(data) = chunk.into_data() {
      buffered.extend_from_slice(&data);
    }
    if buffered.len() > BUFFERED_MAX {
      return Ok(Body::Stream(buffered.freeze(), chunks));
    }
  }
  Ok(Body::Buffered(buffered.freeze()))
}

/// The sending half of a request's body.
#[derive(Debug)]
pub struct BodyWriter(mpsc::Sender<Result<Frame<Bytes>, io::Error>>);

impl BodyWriter {
  /// Creates a body and its writer.
  pub fn new() -> (Self, Chunks) {
    let (sender, chunks) = mpsc::channel(CHUNKS_MAX);
    (Self(sender), chunks)
  }

  /// Sends a chunk, once there is room for it; false if the body has been dropped.
  pub async fn send(&mut self, chunk: Bytes) -> bool {
    self.0.send(Ok(Frame::data(chunk))).await.is_ok()
  }

  /// Ends the body with an error, so that it is not taken for complete.
  pub async fn abort(&mut self) {
    let error = io::Error::new(
      io::ErrorKind::ConnectionAborted,
      "request body is incomplete",
    );
    let _ = self.0.send(Err(error)).await;
  }
}
