use {
  super::{Shared, serve, tunnel::Tunnel},
  crate::{
    code::{Code, Fault},
    control,
    counter::Counter,
    logging, metrics,
    net::Socket,
    peer::{self, Machine, Node, Role},
    process::{Process, Signal},
    settings::{self, bind_address},
    state::Registry,
    supervisor::Tree,
  },
  crossbeam::channel,
  std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
  },
};

/// The interval at which a draining agent checks whether its flows and requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The shortest time that an agent drains, so that balancers learn that it is leaving.
const DRAIN_MIN: Duration = Duration::from_secs(1);

/// Runs an agent until a stop signal, then drains and stops it. Fails when a part cannot start or
/// keeps failing.
pub fn run(settings: &settings::Agent) -> Result<(), Fault> {
  logging::start(&settings.log)?;
  let counter = Arc::new(Counter::default());
  let mut process = Process::new(Arc::clone(&counter))?;
  let shared = start(settings, &counter, &mut process.tree)?;
  log::info!(
    "agent: target {} of service {} started.",
    settings.target,
    settings.service
  );
  while process.wait()? == Signal::Reload {
    shared.reload.store(true, Ordering::Relaxed);
  }
  drain(&shared);
  process.tree.stop();
  Ok(())
}

/// Starts the threads of an agent under `tree`.
pub fn start(
  settings: &settings::Agent,
  counter: &Arc<Counter>,
  tree: &mut Tree,
) -> Result<Arc<Shared>, Fault> {
  let registry = Registry::default();
  metrics::start(settings.metrics, counter, &registry, tree)?;
  let (views_sender, views) = channel::unbounded();
  let tunnel = Socket::bind(bind_address(settings.tunnel, settings.bind), false)?;
  let handoffs = listen(bind_address(settings.tunnel, settings.bind))?;
  let shared = Shared::new(settings.clone(), tunnel, handoffs, Arc::clone(counter));
  let node = Node::new(
    settings.control,
    settings.bind,
    machine(settings),
    Arc::clone(counter),
    registry.clone(),
    views_sender,
  );
  let serve_shared = Arc::clone(&shared);
  tree.start("serve", move |stop| serve::run(&serve_shared, stop))?;
  let (tunnel_shared, tunnel_node) = (Arc::clone(&shared), Arc::clone(&node));
  tree.start("tunnel", move |stop| {
    Tunnel::new(
      Arc::clone(&tunnel_shared),
      Arc::clone(&tunnel_node),
      registry.clone(),
    )?
    .run(&views, stop)
  })?;
  let control = control(settings);
  tree.start("control", move |stop| control::run(&control, &node, stop))?;
  Ok(shared)
}

fn listen(address: SocketAddr) -> Result<TcpListener, Fault> {
  let listener = TcpListener::bind(address).and_then(|listener| {
    listener.set_nonblocking(true)?;
    Ok(listener)
  });
  listener.map_err(|error| Fault::new(Code::AddressUnavailable, format!("{address}: {error}")))
}

/// Stops accepting flows and requests, and waits until the open ones have ended, for `drain_s` at
/// most.
fn drain(shared: &Shared) {
  let drain_s = shared.service().map_or(0, |service| service.drain_s);
  let start = Instant::now();
  shared.stopping.store(true, Ordering::Relaxed);
  log::info!("agent: draining for at most {drain_s} s.");
  loop {
    thread::sleep(POLL_INTERVAL);
    let open = shared.flows.load(Ordering::Relaxed) + shared.requests.load(Ordering::Relaxed);
    if open == 0 && start.elapsed() >= DRAIN_MIN {
      return;
    }
    if start.elapsed() >= Duration::from_secs(drain_s).max(DRAIN_MIN) {
      log::warn!("agent: stopping with {open} open flows and requests after {drain_s} s.");
      return;
    }
  }
}

fn control(settings: &settings::Agent) -> control::Settings {
  control::Settings {
    api: settings.api,
    data_centre: settings.data_centre.clone(),
    instance: settings.instance,
    platform: settings.platform,
    readers: 0,
    role: role(settings),
    seeds: settings.peers.clone(),
    tick: peer::Settings::default().follow_interval,
  }
}

fn machine(settings: &settings::Agent) -> Machine {
  Machine::new(
    settings.control,
    role(settings),
    settings.peers.clone(),
    peer::Settings::default(),
    rand::random(),
  )
}

fn role(settings: &settings::Agent) -> Role {
  Role::Follower {
    service: settings.service,
    target: settings.target,
  }
}
