use {
  super::{Shared, problem::Problem},
  crate::Code,
  bytes::Bytes,
  futures::{SinkExt, channel::mpsc},
  http::{HeaderMap, Request, Response, header},
  http_body_util::{BodyExt, Either, Empty, StreamBody},
  hyper::{
    body::{Frame, Incoming},
    client::conn::http1,
  },
  hyper_util::rt::TokioIo,
  std::{io, net::SocketAddr, time::Duration},
  tokio::{net::TcpStream, task::AbortHandle, time::timeout},
};

/// How long a connection to the upstream beside may take.
const CONNECT_MAX: Duration = Duration::from_secs(1);

/// How many pieces of a body wait on their way.
const PIECES: usize = 16;

/// The pieces of a request's body; an error cuts it, so that the upstream never takes it for
/// whole.
pub type Pieces = mpsc::Receiver<Result<Frame<Bytes>, io::Error>>;

type Body = Either<Empty<Bytes>, StreamBody<Pieces>>;

/// An answer and the connection that it comes by, which ends with it: a request that is given up
/// is cancelled at the upstream.
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

/// Where the pieces of a body are put in.
#[derive(Debug)]
pub struct Feeder(mpsc::Sender<Result<Frame<Bytes>, io::Error>>);

impl Feeder {
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

/// Sends a request to the upstream, once, over a connection of its own. Only a connection that was
/// never made proves that the upstream has not run it.
pub async fn send(
  shared: &Shared,
  caller: SocketAddr,
  request: Request<()>,
  pieces: Option<Pieces>,
  deadline: Duration,
) -> Result<Answer, Problem> {
  let request = forwarded(caller, request, pieces)?;
  let connect = TcpStream::connect(shared.settings.upstream);
  let Ok(Ok(stream)) = timeout(CONNECT_MAX, connect).await else {
    return Err(Problem::new(Code::RequestUpstreamUnreachable));
  };
  let _ = stream.set_nodelay(true);
  let handshake = http1::handshake(TokioIo::new(stream)).await;
  let (mut sender, connection) =
    handshake.map_err(|_| Problem::new(Code::RequestUpstreamUnreachable))?;
  let connection = Connection(tokio::spawn(connection).abort_handle());
  match timeout(deadline, sender.send_request(request)).await {
    Ok(Ok(response)) => Ok(Answer {
      _connection: connection,
      response,
    }),
    _ => Err(Problem::new(Code::RequestOutcomeUnknown)),
  }
}

impl Answer {
  /// The next piece of the body; none at its end, an error when the upstream cut it.
  pub async fn piece(&mut self) -> Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = self.response.body_mut().frame().await {
      if let Ok(data) = frame?.into_data() {
        return Ok(Some(data));
      }
    }
    Ok(None)
  }
}

/// The request as the upstream gets it.
fn forwarded(
  caller: SocketAddr,
  request: Request<()>,
  pieces: Option<Pieces>,
) -> Result<Request<Body>, Problem> {
  let malformed = |_| Problem::new(Code::RequestMalformed);
  let (mut parts, ()) = request.into_parts();
  if let Some(authority) = parts.uri.authority() {
    let host = header::HeaderValue::from_str(authority.as_str());
    let host = host.map_err(|_| Problem::new(Code::RequestMalformed))?;
    parts.headers.insert(header::HOST, host);
  }
  let path = parts
    .uri
    .path_and_query()
    .map_or("/", |path| path.as_str())
    .parse()
    .map_err(|_: http::uri::InvalidUri| Problem::new(Code::RequestMalformed))?;
  let forwarded = header::HeaderValue::from_str(&caller.ip().to_string());
  parts
    .headers
    .insert("x-forwarded-for", forwarded.map_err(malformed)?);
  strip(&mut parts.headers);
  parts.uri = path;
  parts.version = http::Version::HTTP_11;
  let body = match pieces {
    Some(pieces) => Either::Right(StreamBody::new(pieces)),
    None => Either::Left(Empty::new()),
  };
  Ok(Request::from_parts(parts, body))
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
