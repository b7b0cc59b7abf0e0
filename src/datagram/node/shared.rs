use {
  crate::{
    Revision,
    counter::Counter,
    datagram::{Catalog, Origin, Update},
  },
  crossbeam::channel::Sender,
  std::{
    net::SocketAddrV4,
    sync::{
      Arc, Mutex, PoisonError,
      atomic::{AtomicBool, Ordering},
    },
  },
  tokio::sync::{mpsc, oneshot, watch},
};

/// A message to the packet thread.
#[derive(Debug)]
pub enum Message {
  /// A request for the state.
  Dump(oneshot::Sender<serde_json::Value>),
  /// Ends the packet loop; answered once the final message is sent.
  End(Sender<()>),
  /// An update from the platform or a peer.
  Update(Origin, Update),
  /// The seeds of reloaded settings.
  Seeds(Vec<SocketAddrV4>),
  /// The process starts a graceful shutdown.
  Stop,
  /// A peer could not be reached to pull an update.
  Unreachable(SocketAddrV4),
}

/// The pull of an update from a peer.
#[derive(Clone, Copy, Debug)]
pub struct Pull {
  /// The revision up to which the catalog is complete.
  pub after: Revision,
  /// The peer.
  pub peer: SocketAddrV4,
}

/// Whether the platform is to be read, and from which revision.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reading {
  /// The revision up to which the catalog is complete; none without a configuration.
  pub after: Option<Revision>,
  /// Whether this process is to read the platform.
  pub wanted: bool,
}

/// The state that the threads of a process share.
#[derive(Debug)]
pub struct Shared {
  /// The catalog as of its latest publication.
  catalog: Mutex<Arc<Catalog>>,
  /// The counter of errors and other occurrences.
  pub counter: Arc<Counter>,
  /// Messages to the packet thread.
  pub messages: Sender<Message>,
  /// Whether no request is in flight that the end of the process would interrupt.
  pub idle: AtomicBool,
  /// Whether a configuration is known, so that callers' packets can be handled.
  pub ready: AtomicBool,
  /// Pulls from peers.
  pub pulls: mpsc::UnboundedSender<Pull>,
  /// Whether the platform is to be read, and from which revision.
  pub reading: watch::Sender<Reading>,
  /// Whether the process is stopping.
  pub stopping: AtomicBool,
  /// Wakes the packet thread.
  pub waker: mio::Waker,
}

impl Shared {
  /// The shared state of a process that has just started.
  pub fn new(
    counter: Arc<Counter>,
    messages: Sender<Message>,
    pulls: mpsc::UnboundedSender<Pull>,
    waker: mio::Waker,
  ) -> Self {
    Self {
      catalog: Mutex::default(),
      counter,
      messages,
      pulls,
      idle: AtomicBool::new(false),
      reading: watch::Sender::default(),
      ready: AtomicBool::new(false),
      stopping: AtomicBool::new(false),
      waker,
    }
  }

  /// The catalog.
  pub fn catalog(&self) -> Arc<Catalog> {
    Arc::clone(&self.catalog.lock().unwrap_or_else(PoisonError::into_inner))
  }

  /// Whether callers' packets can be handled: a configuration is known, and the process isn't
  /// stopping.
  pub fn is_ready(&self) -> bool {
    self.ready.load(Ordering::Relaxed) && !self.stopping.load(Ordering::Relaxed)
  }

  /// Publishes a catalog to the other threads.
  pub fn publish(&self, catalog: Catalog) {
    self
      .ready
      .store(catalog.configuration().is_some(), Ordering::Relaxed);
    *self.catalog.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(catalog);
  }

  /// Sends a message to the packet thread.
  pub fn send(&self, message: Message) {
    // The receiver is gone only while the process ends.
    let _ = self.messages.send(message);
    if let Err(error) = self.waker.wake() {
      log::error!(error:% = error; "control: packet thread cannot be woken.");
    }
  }
}
