use {
  super::{Message, Node},
  crate::code::{Code, Fault},
  futures::{StreamExt, future},
  std::{net::SocketAddr, sync::Arc},
  tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
  },
};

/// The largest accepted message, in bytes.
pub(super) const MESSAGE_MAX: usize = 4 << 20;

/// The maximum number of concurrent calls on one connection.
const CALLS_PER_CONNECTION_MAX: usize = 16;

/// The remote procedures that a process offers its peers.
#[tarpc::service]
pub trait Peer {
  /// Returns the state dump of the process, as JSON.
  async fn dump() -> String;
  /// Handles a message of the process at `from` and returns the answers to it.
  async fn exchange(from: SocketAddr, message: Message) -> Vec<Message>;
}

/// Serves the calls of peers.
#[derive(Clone, Debug)]
pub struct Server(Arc<Node>);

impl Server {
  /// Listens on the node's address and serves calls until it is cancelled.
  ///
  /// Fails with `AddressUnavailable` when the address cannot be bound.
  pub async fn run(node: Arc<Node>) -> Result<(), Fault> {
    let address = node.bind_address();
    let mut listener = tarpc::serde_transport::tcp::listen(&address, Bincode::default)
      .await
      .map_err(|error| Fault::new(Code::AddressUnavailable, format!("{address}: {error}")))?;
    listener.config_mut().max_frame_length(MESSAGE_MAX);
    while let Some(accepted) = listener.next().await {
      let Ok(transport) = accepted else {
        node.counter().count(Code::PeerUnreachable);
        continue;
      };
      let server = Self(Arc::clone(&node));
      let channel =
        BaseChannel::with_defaults(transport).max_concurrent_requests(CALLS_PER_CONNECTION_MAX);
      tokio::spawn(channel.execute(server.serve()).for_each(|call| {
        tokio::spawn(call);
        future::ready(())
      }));
    }
    Ok(())
  }
}

impl Peer for Server {
  async fn dump(self, _: Context) -> String {
    self.0.registry().text()
  }

  async fn exchange(self, _: Context, from: SocketAddr, message: Message) -> Vec<Message> {
    self.0.answer(from, message)
  }
}
