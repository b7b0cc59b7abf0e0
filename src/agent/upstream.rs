use {
  super::{
    call::{Body, Call, Chunks},
    problem::Problem,
  },
  crate::{Code, net},
  bytes::Bytes,
  futures::{Stream, StreamExt, stream},
  http::{HeaderMap, Request, Response, header},
  http_body_util::{BodyExt, Either, Full, StreamBody},
  hyper::{
    body::{Frame, Incoming},
    client::conn::http1,
  },
  hyper_util::rt::TokioIo,
  std::{
    io,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
  },
  tokio::{task::AbortHandle, time::timeout},
};

/// The timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

type RequestBody = Either<Full<Bytes>, StreamBody<PrefixedBody>>;

/// The buffered beginning of a body and the chunks that follow.
#[derive(Debug)]
pub struct PrefixedBody(stream::Chain<stream::Iter<std::option::IntoIter<Chunk>>, Chunks>);

type Chunk = Result<Frame<Bytes>, io::Error>;

impl Stream for PrefixedBody {
  type Item = Chunk;

  fn poll_next(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<Option<Chunk>> {
    self.0.poll_next_unpin(context)
  }
}

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
  /// The connection was refused, so no process listens there. The request was not sent.
  Refused,
  /// No connection could be established in time. The request was not sent.
  Unreachable,
  /// The request was sent, but the head of an answer did not arrive in time, so it may have run.
  Unknown,
}

/// An answer with its connection. Dropping it closes the connection, which cancels the request at
/// the other side.
#[derive(Debug)]
pub struct Answer {
  _connection: Connection,
  /// The head, and the body as it arrives.
  pub response: Response<Incoming>,
}

#[derive(Debug)]
struct Connection(AbortHandle);

impl Drop for Connection {
  fn drop(&mut self) {
    self.0.abort();
  }
}

impl Answer {
  /// The next chunk of the body; none at its end. Fails when the connection ends before the body.
  pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = self.response.body_mut().frame().await {
      if let Ok(data) = frame?.into_data() {
        return Ok(Some(data));
      }
    }
    Ok(None)
  }
}

/// Sends a call over a new connection and waits for the head of the answer until the call's
/// deadline. After a failure other than `Unknown` the call has certainly not run.
pub async fn send(to: SocketAddr, bind: Option<IpAddr>, call: Call) -> Result<Answer, Failure> {
  let deadline = call.deadline;
  let stream = match timeout(CONNECT_TIMEOUT, net::connect(to, bind)).await {
    Ok(Ok(stream)) => stream,
    Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
      return Err(Failure::Refused);
    }
    _ => return Err(Failure::Unreachable),
  };
  // The process may have been paused: a request whose deadline has passed must not start.
  let Some(left) = deadline.checked_duration_since(Instant::now()) else {
    return Err(Failure::Unreachable);
  };
  let handshake = http1::handshake(TokioIo::new(stream)).await;
  let (mut sender, connection) = handshake.map_err(|_| Failure::Unreachable)?;
  let connection = Connection(tokio::spawn(connection).abort_handle());
  match timeout(left, sender.send_request(request(call))).await {
    Ok(Ok(response)) => Ok(Answer {
      _connection: connection,
      response,
    }),
    _ => Err(Failure::Unknown),
  }
}

fn request(call: Call) -> Request<RequestBody> {
  let body = match call.body {
    Body::Stream(prefix, rest) => {
      let prefix = stream::iter(Some(Ok(Frame::data(prefix))));
      Either::Right(StreamBody::new(PrefixedBody(prefix.chain(rest))))
    }
    Body::Buffered(bytes) => Either::Left(Full::new(bytes)),
  };
  Request::from_parts(call.head, body)
}

/// Converts the head of a caller's HTTP/3 request to HTTP/1.1: sets `Host` and
/// `X-Forwarded-For`, and removes headers that a caller must not set.
///
/// Fails with `RequestMalformed` when the authority or the path is not valid.
pub fn prepare(call: &mut Call) -> Result<(), Problem> {
  let malformed = || Problem::new(Code::RequestMalformed);
  let head = &mut call.head;
  if let Some(authority) = head.uri.authority() {
    let host = header::HeaderValue::from_str(authority.as_str()).map_err(|_| malformed())?;
    head.headers.insert(header::HOST, host);
  }
  let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
  head.uri = path.parse().map_err(|_| malformed())?;
  head.version = http::Version::HTTP_11;
  let forwarded_for = header::HeaderValue::from_str(&call.caller.ip().to_string());
  head
    .headers
    .insert("x-forwarded-for", forwarded_for.map_err(|_| malformed())?);
  strip_connection_headers(&mut head.headers);
  // Only agents may set these headers; callers may set `fallwell-attempt` too.
  let internal = head
    .headers
    .keys()
    .filter(|name| name.as_str().starts_with("fallwell-") && name.as_str() != "fallwell-attempt");
  for name in internal.cloned().collect::<Vec<_>>() {
    head.headers.remove(name);
  }
  Ok(())
}

/// Removes headers that apply to a single connection (RFC 9110, 7.6.1).
pub fn strip_connection_headers(headers: &mut HeaderMap) {
  for name in [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
  ] {
    headers.remove(name);
  }
  headers.remove("keep-alive");
}
