//! The control thread of a process: it replicates the configuration with peers, reads it from the
//! platform, and serves the resource API.

use {
  crate::{
    Code, Revision, api,
    code::Fault,
    config::Key,
    id,
    peer::{Event, Message, Node, Role, Server},
    platform::{self, Changes, ReadSchedule},
    supervisor::Stop,
  },
  std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::runtime,
};

/// How long a process that starts waits for configuration from peers before it reads the platform.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// The interval at which the tasks check whether an exchange or a read is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The settings of the control thread.
#[derive(Clone, Debug)]
pub struct Settings {
  /// The address of the resource API (TCP).
  pub api: SocketAddr,
  /// The name of the data centre of this process.
  pub data_centre: String,
  /// The id of this process.
  pub instance: id::Instance,
  /// The address of the platform (TCP).
  pub platform: SocketAddr,
  /// The number of balancers of each data centre that read the platform.
  pub readers: usize,
  /// Which documents it stores.
  pub role: Role,
  /// The control addresses of peers from the settings file.
  pub seeds: Vec<SocketAddr>,
  /// The time between two exchanges with peers.
  pub tick: Duration,
}

/// Runs until it is stopped.
///
/// Fails with `AddressUnavailable` when one of its addresses cannot be bound, and `ChildFailed`
/// when the runtime cannot start.
pub fn run(settings: &Settings, node: &Arc<Node>, stop: &Stop) -> Result<(), Fault> {
  let runtime = runtime::Builder::new_current_thread()
    .enable_all()
    .build()
    .map_err(|error| Fault::new(Code::ChildFailed, error))?;
  runtime.block_on(async {
    tokio::select! {
      result = Server::run(Arc::clone(node)) => result,
      result = api::serve(settings.api, Arc::clone(node)) => result,
      () = exchange(settings, node) => Ok(()),
      () = read(settings, node) => Ok(()),
      () = stop.wait() => Ok(()),
    }
  })
}

/// Starts an exchange with a random peer at regular intervals, and soon after a sync was requested.
async fn exchange(settings: &Settings, node: &Arc<Node>) {
  join(settings, node).await;
  let mut next = Instant::now();
  loop {
    let sync_requested = node.take_sync_request();
    if sync_requested || Instant::now() >= next {
      next = Instant::now() + settings.tick;
      node.sync();
    }
    tokio::time::sleep(POLL_INTERVAL).await;
  }
}

/// Requests the configuration from the seeds until one has sent it, or the timeout has passed.
async fn join(settings: &Settings, node: &Arc<Node>) {
  let start = Instant::now();
  while !node.machine().has_joined() && start.elapsed() < JOIN_TIMEOUT {
    for seed in &settings.seeds {
      let message = match settings.role {
        Role::Replica => Message::Digest {
          confirmation: None,
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
    tokio::time::sleep(POLL_INTERVAL * 2).await;
  }
}

/// Reads changes from the platform while this process is a designated reader, or while the last
/// confirmation that it knows of is too old.
async fn read(settings: &Settings, node: &Arc<Node>) {
  let mut schedule = ReadSchedule::new(
    platform::Settings::default(),
    u64::from(settings.instance.0),
  );
  let mut after = Revision::default();
  let start = Instant::now();
  loop {
    tokio::time::sleep(POLL_INTERVAL).await;
    if !may_read(settings, node, start) {
      continue;
    }
    let (designated, confirmed) = {
      let machine = node.machine();
      let designated =
        machine.is_reader(settings.instance, &settings.data_centre, settings.readers);
      (designated, machine.confirmed(Instant::now()))
    };
    let Some(wait) = schedule.due_wait(Instant::now(), designated, confirmed) else {
      continue;
    };
    node.counter().add("platform.reads", 1);
    match Changes::watch(settings.platform, after, &keys(settings.role), wait).await {
      Ok(changes) => {
        schedule.reset_backoff();
        after = apply_changes(node, after, changes);
      }
      Err(fault) => {
        schedule.back_off(Instant::now());
        node.counter().count(Code::PlatformUnreachable);
        log::debug!("platform: {fault}.");
      }
    }
  }
}

/// Whether the platform may be read yet. Peers are asked first, since the platform may return an
/// old configuration.
fn may_read(settings: &Settings, node: &Arc<Node>, start: Instant) -> bool {
  let has_peers = settings.seeds.iter().any(|seed| *seed != node.address());
  !has_peers || node.machine().has_joined() || start.elapsed() >= JOIN_TIMEOUT
}

/// The keys that a process with this role reads from the platform; empty for all.
fn keys(role: Role) -> Vec<Key> {
  match role {
    Role::Replica => Vec::new(),
    Role::Follower { service, .. } => vec![Key::Keyring, Key::Service(service)],
  }
}

/// Passes changes to the node and returns the revision to read after. An answer older than the last
/// one is counted and ignored.
fn apply_changes(node: &Arc<Node>, after: Revision, changes: Changes) -> Revision {
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
  node.dispatch(Event::Platform(records));
  revision
}
