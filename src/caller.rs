//! An HTTP/3 client over QUIC, for the `probe` verb, the tests and the quickstart example.

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

/// The idle timeout of a flow, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 60_000;

/// The interval between keep-alive packets on an idle flow.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// How long the handshake of a flow may take.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);

/// An open flow to a service. Clones share the flow.
#[derive(Clone)]
pub struct Caller {
  connection: Connection,
  endpoint: Endpoint,
  name: String,
  requests: SendRequest<OpenStreams, Bytes>,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
  /// The response body.
  pub body: Bytes,
  /// The response headers.
  pub headers: HeaderMap,
  /// The response status.
  pub status: StatusCode,
}

/// A request whose end has not been sent yet.
pub struct UnfinishedRequest {
  stream: RequestStream<BidiStream<Bytes>, Bytes>,
}

/// A response whose body is read chunk by chunk.
pub struct Feed {
  stream: RequestStream<BidiStream<Bytes>, Bytes>,
}

impl Caller {
  /// Opens a flow to a service. Its certificate has to be issued for `name` by one of `roots`.
  pub async fn open(
    service: SocketAddr,
    name: &str,
    roots: &[CertificateDer<'static>],
  ) -> Result<Self, Fault> {
    let config = client_config(roots).map_err(unknown_outcome)?;
    let local = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let mut endpoint = Endpoint::client(local).map_err(unknown_outcome)?;
    endpoint.set_default_client_config(config);
    let connecting = endpoint.connect(service, name).map_err(unknown_outcome)?;
    let connection = timeout(OPEN_TIMEOUT, connecting)
      .await
      .map_err(unknown_outcome)?
      .map_err(unknown_outcome)?;
    let (mut driver, requests) = h3::client::new(h3_quinn::Connection::new(connection.clone()))
      .await
      .map_err(unknown_outcome)?;
    tokio::spawn(async move { future::poll_fn(|context| driver.poll_close(context)).await });
    Ok(Self {
      connection,
      endpoint,
      name: name.into(),
      requests,
    })
  }

  /// Closes the flow, and waits up to a second until the service has been notified.
  pub async fn close(self) {
    self.connection.close(VarInt::from_u32(0x100), b"done");
    let _ = timeout(Duration::from_secs(1), self.endpoint.wait_idle()).await;
  }

  /// Why the flow has closed; none while it is open.
  pub fn ended(&self) -> Option<String> {
    self
      .connection
      .close_reason()
      .map(|reason| reason.to_string())
  }

  /// Sends a GET request with a streamed response; fails unless its status is 200.
  pub async fn feed(&self, path: &str) -> Result<Feed, Fault> {
    let mut stream = self.send(Method::GET, path, &[], Bytes::new()).await?;
    let head = stream.recv_response().await.map_err(unknown_outcome)?;
    if head.status() != StatusCode::OK {
      return Err(unknown_outcome(format!("status {}", head.status())));
    }
    Ok(Feed { stream })
  }

  /// Migrates the flow to another local address, as when a phone changes its network.
  pub fn rebind(&self) -> Result<(), Fault> {
    let local = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let socket = UdpSocket::bind(local).map_err(unknown_outcome)?;
    self.endpoint.rebind(socket).map_err(unknown_outcome)
  }

  /// Sends the head of a request without a body; [`UnfinishedRequest::finish`] ends the request.
  pub async fn begin(&self, method: Method, path: &str) -> Result<UnfinishedRequest, Fault> {
    let stream = self.open_request(method, path, &[], 0).await?;
    Ok(UnfinishedRequest { stream })
  }

  /// Sends a request and waits for the complete response.
  pub async fn request(
    &self,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
  ) -> Result<Answer, Fault> {
    let mut stream = self.send(method, path, headers, body.into()).await?;
    let head = stream.recv_response().await.map_err(unknown_outcome)?;
    let mut body = Vec::new();
    while let Some(chunk) = stream.recv_data().await.map_err(unknown_outcome)? {
      body.extend_from_slice(chunk.chunk());
    }
    Ok(Answer {
      body: body.into(),
      headers: head.headers().clone(),
      status: head.status(),
    })
  }

  /// The estimated round-trip time to the target, including the balancers.
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
      stream.send_data(body).await.map_err(unknown_outcome)?;
    }
    stream.finish().await.map_err(unknown_outcome)?;
    Ok(stream)
  }

  async fn open_request(
    &self,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body_len: usize,
  ) -> Result<RequestStream<BidiStream<Bytes>, Bytes>, Fault> {
    let mut request = Request::builder()
      .method(method)
      .uri(format!("https://{}{path}", self.name));
    if body_len > 0 {
      request = request.header("content-length", body_len);
    }
    for (name, value) in headers {
      request = request.header(*name, *value);
    }
    let request = request.body(()).map_err(unknown_outcome)?;
    let mut requests = self.requests.clone();
    requests
      .send_request(request)
      .await
      .map_err(unknown_outcome)
  }
}

impl UnfinishedRequest {
  /// Waits for the status of the response, without its body.
  pub async fn status(&mut self) -> Result<StatusCode, Fault> {
    let head = self.stream.recv_response().await.map_err(unknown_outcome)?;
    Ok(head.status())
  }

  /// Ends the request.
  pub async fn finish(&mut self) -> Result<(), Fault> {
    self.stream.finish().await.map_err(unknown_outcome)
  }
}

impl Feed {
  /// Waits for the next chunk of the body; none at its end.
  pub async fn next(&mut self) -> Result<Option<Bytes>, Fault> {
    let chunk = self.stream.recv_data().await.map_err(unknown_outcome)?;
    Ok(chunk.map(|mut chunk| chunk.copy_to_bytes(chunk.remaining())))
  }
}

fn client_config(roots: &[CertificateDer<'static>]) -> eyre::Result<ClientConfig> {
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
    .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
    .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
  config.transport_config(Arc::new(transport));
  Ok(config)
}

fn unknown_outcome(error: impl std::fmt::Display) -> Fault {
  Fault::new(Code::RequestOutcomeUnknown, error)
}
