use {
  super::{Message, PeerClient, server::MESSAGE_MAX},
  crate::{
    code::{Code, Fault},
    net,
  },
  std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
  },
  tarpc::{
    client::Config, context, tokio_serde::formats::Bincode,
    tokio_util::codec::length_delimited::LengthDelimitedCodec,
  },
  tokio::time::timeout,
};

/// The timeout of a connection attempt and of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of connections that stay open.
const CONNECTIONS_MAX: usize = 32;

/// Calls peers and reuses their connections; one that fails is replaced at the next call.
#[derive(Clone, Debug)]
pub struct Client {
  bind: Option<IpAddr>,
  connections: Arc<Mutex<HashMap<SocketAddr, PeerClient>>>,
}

impl Client {
  /// Creates a client whose connections have the local address `bind`, or one that the kernel
  /// chooses.
  pub fn new(bind: Option<IpAddr>) -> Self {
    Self {
      bind,
      connections: Arc::default(),
    }
  }

  /// Requests the state dump of the process at `to`, as JSON.
  ///
  /// Fails with `PeerUnreachable` after the timeout or when the connection breaks.
  pub async fn dump(&self, to: SocketAddr) -> Result<String, Fault> {
    let client = self.connect(to).await?;
    client.dump(context()).await.map_err(|error| {
      self.disconnect(to);
      unreachable(to, error)
    })
  }

  /// Sends a message to `to` and returns the peer's answers; `from` is this process's address.
  ///
  /// Fails with `PeerUnreachable` after the timeout or when the connection breaks.
  pub async fn exchange(
    &self,
    from: SocketAddr,
    to: SocketAddr,
    message: Message,
  ) -> Result<Vec<Message>, Fault> {
    let client = self.connect(to).await?;
    let call = client.exchange(context(), from, message);
    call.await.map_err(|error| {
      self.disconnect(to);
      unreachable(to, error)
    })
  }

  async fn connect(&self, to: SocketAddr) -> Result<PeerClient, Fault> {
    if let Some(client) = self.lock().get(&to) {
      return Ok(client.clone());
    }
    let stream = timeout(CALL_TIMEOUT, net::connect(to, self.bind))
      .await
      .map_err(|error| unreachable(to, error))?
      .map_err(|error| unreachable(to, error))?;
    let framed = LengthDelimitedCodec::builder()
      .max_frame_length(MESSAGE_MAX)
      .new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let client = PeerClient::new(Config::default(), transport).spawn();
    let mut connections = self.lock();
    if connections.len() >= CONNECTIONS_MAX
      && let Some(evicted) = connections.keys().next().copied()
    {
      connections.remove(&evicted);
    }
    connections.insert(to, client.clone());
    Ok(client)
  }

  fn disconnect(&self, to: SocketAddr) {
    self.lock().remove(&to);
  }

  fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
    self
      .connections
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
  }
}

fn context() -> context::Context {
  let mut context = context::current();
  context.deadline = Instant::now() + CALL_TIMEOUT;
  context
}

fn unreachable(to: SocketAddr, error: impl std::fmt::Display) -> Fault {
  Fault::new(Code::PeerUnreachable, format!("{to}: {error}"))
}
