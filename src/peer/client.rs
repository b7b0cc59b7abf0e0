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

/// How long a call may take.
const CALL_MAX: Duration = Duration::from_secs(2);

/// How many connections are kept.
const KEPT_MAX: usize = 32;

/// Calls peers over connections that are kept and made anew when they fail.
#[derive(Clone, Debug)]
pub struct Client {
  bind: Option<IpAddr>,
  kept: Arc<Mutex<HashMap<SocketAddr, PeerClient>>>,
}

impl Client {
  /// A client whose connections leave from `bind`, or from where the kernel likes.
  pub fn new(bind: Option<IpAddr>) -> Self {
    Self {
      bind,
      kept: Arc::default(),
    }
  }

  /// The state of the process at `to`, as JSON.
  pub async fn dump(&self, to: SocketAddr) -> Result<String, Fault> {
    let client = self.connect(to).await?;
    client.dump(context()).await.map_err(|error| {
      self.forget(to);
      unreachable(to, error)
    })
  }

  /// Sends a message and returns what the peer says in return.
  pub async fn exchange(
    &self,
    from: SocketAddr,
    to: SocketAddr,
    message: Message,
  ) -> Result<Vec<Message>, Fault> {
    let client = self.connect(to).await?;
    let call = client.exchange(context(), from, message);
    call.await.map_err(|error| {
      self.forget(to);
      unreachable(to, error)
    })
  }

  async fn connect(&self, to: SocketAddr) -> Result<PeerClient, Fault> {
    if let Some(client) = self.lock().get(&to) {
      return Ok(client.clone());
    }
    let stream = timeout(CALL_MAX, net::connect(to, self.bind))
      .await
      .map_err(|error| unreachable(to, error))?
      .map_err(|error| unreachable(to, error))?;
    let framed = LengthDelimitedCodec::builder()
      .max_frame_length(MESSAGE_MAX)
      .new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let client = PeerClient::new(Config::default(), transport).spawn();
    let mut kept = self.lock();
    if kept.len() >= KEPT_MAX
      && let Some(one) = kept.keys().next().copied()
    {
      kept.remove(&one);
    }
    kept.insert(to, client.clone());
    Ok(client)
  }

  fn forget(&self, to: SocketAddr) {
    self.lock().remove(&to);
  }

  fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
    self.kept.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

fn context() -> context::Context {
  let mut context = context::current();
  context.deadline = Instant::now() + CALL_MAX;
  context
}

fn unreachable(to: SocketAddr, error: impl std::fmt::Display) -> Fault {
  Fault::new(Code::PeerUnreachable, format!("{to}: {error}"))
}
