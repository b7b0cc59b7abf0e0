//! A minimal HTTP/1.1 client and server, for the platform, the resource API and the stand-ins.

use {
  crate::code::{Code, Fault},
  bytes::Bytes,
  http::{Method, Request, Response, StatusCode},
  http_body_util::{BodyExt, Full, Limited},
  hyper::{
    body::{Body, Incoming},
    client,
    server::conn::http1,
    service::service_fn,
  },
  hyper_util::rt::{TokioIo, TokioTimer},
  std::{
    convert::Infallible,
    error::Error,
    future::Future,
    net::SocketAddr,
    time::{Duration, Instant},
  },
  tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
  },
};

/// The largest response body that is accepted, in bytes.
const RESPONSE_BYTES_MAX: usize = 16 << 20;

/// How long a server waits for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends one request over a new connection and returns the status and the complete body; fails
/// after `limit`, also if the process was paused and the answer has arrived meanwhile.
pub async fn request(
  to: SocketAddr,
  method: Method,
  path: &str,
  body: impl Into<Bytes>,
  limit: Duration,
) -> Result<(StatusCode, Bytes), Fault> {
  let failed =
    |error: &dyn std::fmt::Display| Fault::new(Code::PlatformUnreachable, format!("{to}: {error}"));
  let request = Request::builder()
    .method(method)
    .uri(path)
    .header("host", to.to_string())
    .body(Full::new(body.into()))
    .map_err(|error| failed(&error))?;
  let start = Instant::now();
  match timeout(limit, send(to, request)).await {
    // A paused process finds the answer before it finds that the time is over.
    Ok(Ok(_)) if start.elapsed() > limit => Err(failed(&"answer was received after the timeout")),
    Ok(Ok(answer)) => Ok(answer),
    Ok(Err(error)) => Err(failed(&error)),
    Err(elapsed) => Err(failed(&elapsed)),
  }
}

async fn send(
  to: SocketAddr,
  request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), Box<dyn Error + Send + Sync>> {
  let stream = TcpStream::connect(to).await?;
  let (mut sender, connection) = client::conn::http1::handshake(TokioIo::new(stream)).await?;
  let task = tokio::spawn(connection);
  let answer = sender.send_request(request).await?;
  let status = answer.status();
  let body = Limited::new(answer.into_body(), RESPONSE_BYTES_MAX)
    .collect()
    .await?;
  task.abort();
  Ok((status, body.to_bytes()))
}

/// Binds an address and serves requests until the future is dropped.
pub async fn serve<F, R, B>(address: SocketAddr, handle: F) -> Result<(), Fault>
where
  F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
  R: Future<Output = Response<B>> + Send + 'static,
  B: Body<Data = Bytes> + Send + 'static,
  B::Error: Into<Box<dyn Error + Send + Sync>>,
{
  let listener = TcpListener::bind(address)
    .await
    .map_err(|error| Fault::new(Code::AddressUnavailable, format!("{address}: {error}")))?;
  accept(listener, handle).await
}

/// Serves requests on a listener until the future is dropped.
pub async fn accept<F, R, B>(listener: TcpListener, handle: F) -> Result<(), Fault>
where
  F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
  R: Future<Output = Response<B>> + Send + 'static,
  B: Body<Data = Bytes> + Send + 'static,
  B::Error: Into<Box<dyn Error + Send + Sync>>,
{
  loop {
    let Ok((stream, _)) = listener.accept().await else {
      tokio::time::sleep(Duration::from_millis(10)).await;
      continue;
    };
    let handle = handle.clone();
    tokio::spawn(async move {
      let service = service_fn(move |request| {
        let answer = handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
      });
      let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    });
  }
}

/// Creates a response with a status and a complete body.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
  let mut response = Response::new(Full::new(body.into()));
  *response.status_mut() = status;
  response
}

/// The value of the query parameter `name`, without percent-decoding; none if it is missing.
pub fn parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
  query?.split('&').find_map(|pair| {
    let (key, value) = pair.split_once('=')?;
    (key == name).then_some(value)
  })
}
