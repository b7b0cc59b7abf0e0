use {
  super::{
    call::{Body, Call, Pieces},
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

/// How long a connection may take to be made.
const CONNECT_MAX: Duration = Duration::from_secs(1);

type Sent = Either<Full<Bytes>, StreamBody<Rest>>;

/// The beginning of a body and the pieces that follow it.
#[derive(Debug)]
pub struct Rest(stream::Chain<stream::Iter<std::option::IntoIter<Piece>>, Pieces>);

type Piece = Result<Frame<Bytes>, io::Error>;

impl Stream for Rest {
  type Item = Piece;

  fn poll_next(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<Option<Piece>> {
    self.0.poll_next_unpin(context)
  }
}

/// Why a request was not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
  /// Nobody listens there: whoever did is dead, and the request did not leave.
  Dead,
  /// No connection was made in time: the request did not leave.
  Unreachable,
  /// The request left, and no answer came.
  Unknown,
}

/// An answer and the connection that it comes by, which ends with it: a request that is given up
/// is cancelled on the other side.
#[derive(Debug)]
pub struct Answer {
  _connection: Connection,
  /// The answer.
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
  /// The next piece of the body; none at its end, an error when it was cut.
  pub async fn piece(&mut self) -> Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = self.response.body_mut().frame().await {
      if let Ok(data) = frame?.into_data() {
        return Ok(Some(data));
      }
    }
    Ok(None)
  }
}

/// Sends a call, once, over a connection of its own. Only a connection that was never made proves
/// that it has not run.
pub async fn send(to: SocketAddr, bind: Option<IpAddr>, call: Call) -> Result<Answer, Failure> {
  let start_by = call.start_by;
  let stream = match timeout(CONNECT_MAX, net::connect(to, bind)).await {
    Ok(Ok(stream)) => stream,
    Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
      return Err(Failure::Dead);
    }
    _ => return Err(Failure::Unreachable),
  };
  // A process that slept here must not start what nobody waits for any more.
  let Some(left) = start_by.checked_duration_since(Instant::now()) else {
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

fn request(call: Call) -> Request<Sent> {
  let body = match call.body {
    Body::Stream(begun, rest) => {
      let begun = stream::iter(Some(Ok(Frame::data(begun))));
      Either::Right(StreamBody::new(Rest(begun.chain(rest))))
    }
    Body::Whole(bytes) => Either::Left(Full::new(bytes)),
  };
  Request::from_parts(call.head, body)
}

/// Makes the head of a caller's request one that an HTTP/1.1 process takes.
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
  let from = header::HeaderValue::from_str(&call.caller.ip().to_string());
  head
    .headers
    .insert("x-forwarded-for", from.map_err(|_| malformed())?);
  strip(&mut head.headers);
  // Words between agents are never a caller's to say; the attempt is.
  let own = head
    .headers
    .keys()
    .filter(|name| name.as_str().starts_with("fallwell-") && name.as_str() != "fallwell-attempt");
  for name in own.cloned().collect::<Vec<_>>() {
    head.headers.remove(name);
  }
  Ok(())
}

/// Removes the headers that speak of one connection only (RFC 9110, 7.6.1).
pub fn strip(headers: &mut HeaderMap) {
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
