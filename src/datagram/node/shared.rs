use {
  crate::{
    Revision,
    counter::Counter,
    datagram::{Catalog, News, Origin},
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

/// What the control thread tells the carrier.
#[derive(Debug)]
pub enum Message {
  /// Somebody wants to know the state.
  Dump(oneshot::Sender<serde_json::Value>),
  /// The carrier is to end, and to say when its last word is sent.
  End(Sender<()>),
  /// News from the platform or a peer.
  News(Origin, News),
  /// The settings name other seeds.
  Seeds(Vec<SocketAddrV4>),
  /// The process is to stop as planned.
  Stop,
  /// A peer could not be asked.
  Unreachable(SocketAddrV4),
}

/// A question to a peer.
#[derive(Clone, Copy, Debug)]
pub struct Question {
  /// The revision up to which all is known.
  pub after: Revision,
  /// Who is asked.
  pub peer: SocketAddrV4,
}

/// Whether the platform is to be read, and from where on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reading {
  /// The revision up to which all is known; none where nothing is.
  pub after: Option<Revision>,
  /// Whether this process reads.
  pub wanted: bool,
}

/// What the threads of a process share.
#[derive(Debug)]
pub struct Shared {
  /// The catalog as it was last published.
  catalog: Mutex<Arc<Catalog>>,
  /// The counts.
  pub counter: Arc<Counter>,
  /// What the carrier is told.
  pub messages: Sender<Message>,
  /// Whether nothing is under way that the end of the process would interrupt.
  pub quiet: AtomicBool,
  /// Whether callers' packets may be sent here.
  pub ready: AtomicBool,
  /// Questions to peers.
  pub questions: mpsc::UnboundedSender<Question>,
  /// What is to be read.
  pub reading: watch::Sender<Reading>,
  /// Whether the process is stopping.
  pub stopping: AtomicBool,
  /// Wakes the carrier.
  pub waker: mio::Waker,
}

impl Shared {
  /// What the threads of a process that has just started share.
  pub fn new(
    counter: Arc<Counter>,
    messages: Sender<Message>,
    questions: mpsc::UnboundedSender<Question>,
    waker: mio::Waker,
  ) -> Self {
    Self {
      catalog: Mutex::default(),
      counter,
      messages,
      questions,
      quiet: AtomicBool::new(false),
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

  /// Whether callers' packets may be sent here.
  pub fn is_ready(&self) -> bool {
    self.ready.load(Ordering::Relaxed) && !self.stopping.load(Ordering::Relaxed)
  }

  /// Shows a catalog to the other threads.
  pub fn publish(&self, catalog: Catalog) {
    self
      .ready
      .store(catalog.configuration().is_some(), Ordering::Relaxed);
    *self.catalog.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(catalog);
  }

  /// Tells the carrier something.
  pub fn tell(&self, message: Message) {
    // The carrier ends only with the process; a message to it is then of no use.
    let _ = self.messages.send(message);
    if let Err(error) = self.waker.wake() {
      log::error!(error:% = error; "control: packet thread cannot be woken.");
    }
  }
}
