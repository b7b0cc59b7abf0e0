//! The part of a process that takes configuration in: from peers, from the platform, and out
//! again by the resource API.

use {
  crate::{
    Code, Revision, api,
    code::Fault,
    config::Key,
    id,
    peer::{Event, Message, Node, Role, Server},
    platform::{self, Changes, Reader},
    supervisor::Stop,
  },
  std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::runtime,
};

/// How long a process that joins waits for peers before it believes the platform alone.
const JOIN_MAX: Duration = Duration::from_secs(3);

/// How often it asks whether there is something to do.
const STEP: Duration = Duration::from_millis(100);

/// What the part is given.
#[derive(Clone, Debug)]
pub struct Settings {
  /// Where the resource API listens.
  pub api: SocketAddr,
  /// The data centre of this process.
  pub data_centre: String,
  /// The id of this process.
  pub instance: id::Instance,
  /// The platform's service.
  pub platform: SocketAddr,
  /// How many balancers of a data centre read.
  pub readers: usize,
  /// How much of the configuration it holds.
  pub role: Role,
  /// Peers known from the settings file.
  pub seeds: Vec<SocketAddr>,
  /// The time between two digests.
  pub tick: Duration,
}

/// Runs until it is told to stop.
pub fn run(settings: &Settings, node: &Arc<Node>, stop: &Stop) -> Result<(), Fault> {
  let runtime = runtime::Builder::new_current_thread()
    .enable_all()
    .build()
    .map_err(|error| Fault::new(Code::ChildFailed, error))?;
  runtime.block_on(async {
    tokio::select! {
      result = Server::run(Arc::clone(node)) => result,
      result = api::serve(settings.api, Arc::clone(node)) => result,
      () = gossip(settings, node) => Ok(()),
      () = read(settings, node) => Ok(()),
      () = stop.wait() => Ok(()),
    }
  })
}

/// Sends digests, or a follower's questions, at once when a frame has shown news.
async fn gossip(settings: &Settings, node: &Arc<Node>) {
  join(settings, node).await;
  let mut next = Instant::now();
  loop {
    let news = node.take_nudge();
    if news || Instant::now() >= next {
      next = Instant::now() + settings.tick;
      node.tick();
    }
    tokio::time::sleep(STEP).await;
  }
}

/// Asks the peers of the settings file until one has told what is in force.
async fn join(settings: &Settings, node: &Arc<Node>) {
  let begun = Instant::now();
  while !node.machine().has_joined() && begun.elapsed() < JOIN_MAX {
    for seed in &settings.seeds {
      let message = match settings.role {
        Role::Carrier => Message::Digest {
          confirmed_ms: None,
          root: node.machine().store().digest().root(),
        },
        Role::Follower { service, target } => Message::Follow {
          service,
          target,
          token: 0,
        },
      };
      node.send(*seed, message);
    }
    tokio::time::sleep(STEP * 2).await;
  }
}

/// Asks the platform when it is this process's turn.
async fn read(settings: &Settings, node: &Arc<Node>) {
  let mut reader = Reader::new(
    platform::Settings::default(),
    u64::from(settings.instance.0),
  );
  let mut after = Revision::default();
  let begun = Instant::now();
  loop {
    tokio::time::sleep(STEP).await;
    if !may_read(settings, node, begun) {
      continue;
    }
    let (designated, confirmed) = {
      let machine = node.machine();
      let designated =
        machine.is_reader(settings.instance, &settings.data_centre, settings.readers);
      (designated, machine.confirmed(Instant::now()))
    };
    let Some(wait) = reader.ask(Instant::now(), designated, confirmed) else {
      continue;
    };
    node.counter().add("platform.reads", 1);
    match Changes::watch(settings.platform, after, &keys(settings.role), wait).await {
      Ok(changes) => {
        reader.answered();
        after = take(node, after, changes);
      }
      Err(fault) => {
        reader.failed(Instant::now());
        node.counter().count(Code::PlatformUnreachable);
        log::debug!("platform: {fault}.");
      }
    }
  }
}

/// A process that joins hears its peers first: the platform's copy may be old.
fn may_read(settings: &Settings, node: &Arc<Node>, begun: Instant) -> bool {
  let others = settings.seeds.iter().any(|seed| *seed != node.address());
  !others || node.machine().has_joined() || begun.elapsed() >= JOIN_MAX
}

/// The documents that a role reads; none named means all.
fn keys(role: Role) -> Vec<Key> {
  match role {
    Role::Carrier => Vec::new(),
    Role::Follower { service, .. } => vec![Key::Keyring, Key::Service(service)],
  }
}

fn take(node: &Arc<Node>, after: Revision, changes: Changes) -> Revision {
  let revision = changes.revision;
  if revision < after {
    node.counter().count(Code::PlatformStale);
    return after;
  }
  let (records, faults) = changes.records();
  for fault in faults {
    node.counter().count(fault.code);
    log::warn!("config: {fault}.");
  }
  node.drive(Event::Platform(records));
  revision
}
