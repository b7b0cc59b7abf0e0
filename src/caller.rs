//! A caller: HTTP/3 over QUIC, for the probe of the command line, the tests and the quickstart.

use {
  crate::code::{Code, Fault},
  bytes::{Buf, Bytes},
  futures::future,
  h3::client::{RequestStream, SendRequest},
  h3_quinn::{BidiStream, OpenStreams},
  http::{HeaderMap, Method, Request, StatusCode},
  quinn::{
    ClientConfig, Connection, Endpoint, IdleTimeout, TransportConfig, VarInt,
    crypto::rustls::QuicClientConfig,
  },
  rustls::{RootCertStore, pki_types::CertificateDer},
  std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
  },
  tokio::time::timeout,
};

/// How long a flow survives without a word from the other side.
const IDLE_MS: u32 = 60_000;

/// How often a quiet flow is kept alive.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// How long opening a flow may take.
const OPEN_MAX: Duration = Duration::from_secs(10);

/// A flow that a caller has open.
#[derive(Clone)]
pub struct Caller {
  connection: Connection,
  endpoint: Endpoint,
  name: String,
  requests: SendRequest<OpenStreams, Bytes>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
  /// Its body.
  pub body: Bytes,
  /// Its headers.
  pub headers: HeaderMap,
  /// Its status.
  pub status: StatusCode,
}

/// A request that is not whole yet.
pub struct Begun {
  stream: RequestStream<BidiStream<Bytes>, Bytes>,
}

/// An answer that goes on.
pub struct Feed {
  stream: RequestStream<BidiStream<Bytes>, Bytes>,
}

impl Caller {
  /// Opens a flow to a service whose certificate is signed for `name` by one of `roots`.
  pub async fn open(
    service: SocketAddr,
    name: &str,
    roots: &[CertificateDer<'static>],
  ) -> Result<Self, Fault> {
    let config = client(roots).map_err(failed)?;
    let local = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let mut endpoint = Endpoint::client(local).map_err(failed)?;
    endpoint.set_default_client_config(config);
    let connecting = endpoint.connect(service, name).map_err(failed)?;
    let connection = timeout(OPEN_MAX, connecting)
      .await
      .map_err(failed)?
      .map_err(failed)?;
    let (mut driver, requests) = h3::client::new(h3_quinn::Connection::new(connection.clone()))
      .await
      .map_err(failed)?;
    tokio::spawn(async move { future::poll_fn(|context| driver.poll_close(context)).await });
    Ok(Self {
      connection,
      endpoint,
      name: name.into(),
      requests,
    })
  }

  /// Ends the flow.
  pub async fn close(self) {
    self.connection.close(VarInt::from_u32(0x100), b"done");
    let _ = timeout(Duration::from_secs(1), self.endpoint.wait_idle()).await;
  }

  /// Why the flow has ended, if it has.
  pub fn ended(&self) -> Option<String> {
    self
      .connection
      .close_reason()
      .map(|reason| reason.to_string())
  }

  /// Sends a GET whose answer goes on.
  pub async fn feed(&self, path: &str) -> Result<Feed, Fault> {
    let mut stream = self.send(Method::GET, path, &[], Bytes::new()).await?;
    let head = stream.recv_response().await.map_err(failed)?;
    if head.status() != StatusCode::OK {
      return Err(failed(format!("status {}", head.status())));
    }
    Ok(Feed { stream })
  }

  /// Moves the flow to another local address, as a phone does that changes its network.
  pub fn rebind(&self) -> Result<(), Fault> {
    let local = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let socket = UdpSocket::bind(local).map_err(failed)?;
    self.endpoint.rebind(socket).map_err(failed)
  }

  /// Begins a request without a body, whose end the caller says later.
  pub async fn begin(&self, method: Method, path: &str) -> Result<Begun, Fault> {
    let stream = self.open_request(method, path, &[], 0).await?;
    Ok(Begun { stream })
  }

  /// Sends a request and waits for the whole answer.
  pub async fn request(
    &self,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
  ) -> Result<Answer, Fault> {
    let mut stream = self.send(method, path, headers, body.into()).await?;
    let head = stream.recv_response().await.map_err(failed)?;
    let mut body = Vec::new();
    while let Some(piece) = stream.recv_data().await.map_err(failed)? {
      body.extend_from_slice(piece.chunk());
    }
    Ok(Answer {
      body: body.into(),
      headers: head.headers().clone(),
      status: head.status(),
    })
  }

  /// The measured round trip to the target, through the balancers.
  pub fn round_trip(&self) -> Duration {
    self.connection.rtt()
  }

  async fn send(
    &self,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
  ) -> Result<RequestStream<BidiStream<Bytes>, Bytes>, Fault> {
    let mut stream = self.open_request(method, path, headers, body.len()).await?;
    if !body.is_empty() {
      stream.send_data(body).await.map_err(failed)?;
    }
    stream.finish().await.map_err(failed)?;
    Ok(stream)
  }

  async fn open_request(
    &self,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    length: usize,
  ) -> Result<RequestStream<BidiStream<Bytes>, Bytes>, Fault> {
    let mut request = Request::builder()
      .method(method)
      .uri(format!("https://{}{path}", self.name));
    if length > 0 {
      request = request.header("content-length", length);
    }
    for (name, value) in headers {
      request = request.header(*name, *value);
    }
    let request = request.body(()).map_err(failed)?;
    let mut requests = self.requests.clone();
    requests.send_request(request).await.map_err(failed)
  }
}

impl Begun {
  /// Waits for the answer's status.
  pub async fn status(&mut self) -> Result<StatusCode, Fault> {
    let head = self.stream.recv_response().await.map_err(failed)?;
    Ok(head.status())
  }

  /// Says that the request is whole.
  pub async fn finish(&mut self) -> Result<(), Fault> {
    self.stream.finish().await.map_err(failed)
  }
}

impl Feed {
  /// The next piece; none at the feed's end.
  pub async fn next(&mut self) -> Result<Option<Bytes>, Fault> {
    let piece = self.stream.recv_data().await.map_err(failed)?;
    Ok(piece.map(|mut piece| piece.copy_to_bytes(piece.remaining())))
  }
}

fn client(roots: &[CertificateDer<'static>]) -> eyre::Result<ClientConfig> {
  let mut store = RootCertStore::empty();
  for root in roots {
    store.add(root.clone())?;
  }
  let provider = Arc::new(rustls::crypto::ring::default_provider());
  let mut tls = rustls::ClientConfig::builder_with_provider(provider)
    .with_protocol_versions(&[&rustls::version::TLS13])?
    .with_root_certificates(store)
    .with_no_client_auth();
  tls.alpn_protocols = vec![b"h3".to_vec()];
  let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
  let mut transport = TransportConfig::default();
  transport
    .keep_alive_interval(Some(KEEP_ALIVE))
    .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_MS))));
  config.transport_config(Arc::new(transport));
  Ok(config)
}

fn failed(error: impl std::fmt::Display) -> Fault {
  Fault::new(Code::RequestOutcomeUnknown, error)
}
