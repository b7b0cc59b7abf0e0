use {
  super::{Controller, Settings, Worker},
  crate::{
    code::Fault,
    control,
    counter::Counter,
    logging, metrics,
    peer::{self, Machine, Node, Role},
    process::{Process, Signal},
    settings::{self, bind_address},
    state::Registry,
    supervisor::Tree,
  },
  crossbeam::channel,
  std::{
    sync::{
      Arc,
      atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
  },
};

/// How many reports of workers are queued for the controller; further ones are dropped.
const REPORT_QUEUE_MAX: usize = 1024;

/// Runs a balancer until a signal stops it, then for `linger_ms` more without answering probes, so
/// that agents and the fabric move to other balancers.
pub fn run(settings: &settings::Balancer) -> Result<(), Fault> {
  logging::start(&settings.log)?;
  let counter = Arc::new(Counter::default());
  let mut process = Process::new(Arc::clone(&counter))?;
  let leaving = start(settings, &counter, &mut process.tree)?;
  log::info!("balancer: instance {} started.", settings.instance);
  while process.wait()? == Signal::Reload {}
  leaving.store(true, Ordering::Relaxed);
  log::info!("balancer: shutting down in {} ms.", settings.linger_ms);
  thread::sleep(Duration::from_millis(settings.linger_ms));
  process.tree.stop();
  Ok(())
}

/// Starts a balancer's parts in `tree`. While the flag that it returns is set, probes aren't
/// answered.
pub fn start(
  settings: &settings::Balancer,
  counter: &Arc<Counter>,
  tree: &mut Tree,
) -> Result<Arc<AtomicBool>, Fault> {
  let registry = Registry::default();
  metrics::start(settings.metrics, counter, &registry, tree)?;
  let leaving = Arc::new(AtomicBool::new(false));
  let (views_in, views) = channel::unbounded();
  let node = Node::new(
    settings.control,
    settings.bind,
    machine(settings),
    Arc::clone(counter),
    registry.clone(),
    views_in,
  );
  let (reports_in, reports) = channel::bounded(REPORT_QUEUE_MAX);
  let mut snapshots = Vec::new();
  for number in 0..settings.workers {
    let (sender, receiver) = channel::unbounded();
    snapshots.push(sender);
    let (counter, reports) = (Arc::clone(counter), reports_in.clone());
    let worker = Settings {
      bind: settings.bind,
      leaving: Arc::clone(&leaving),
      number,
      tunnel: settings.tunnel,
    };
    tree.start("worker", move |stop| {
      Worker::new(
        worker.clone(),
        Arc::clone(&counter),
        receiver.clone(),
        reports.clone(),
      )?
      .run(stop)
    })?;
  }
  let tunnel = bind_address(settings.tunnel, settings.bind);
  let controller_counter = Arc::clone(counter);
  let controller_node = Arc::clone(&node);
  tree.start("controller", move |stop| {
    Controller::new(
      tunnel,
      controller_node.view(),
      Arc::clone(&controller_counter),
      registry.clone(),
      snapshots.clone(),
    )?
    .run(&views, &reports, stop)
  })?;
  let control = control(settings);
  tree.start("control", move |stop| control::run(&control, &node, stop))?;
  Ok(leaving)
}

fn control(settings: &settings::Balancer) -> control::Settings {
  control::Settings {
    api: settings.api,
    data_centre: settings.data_centre.clone(),
    instance: settings.instance,
    platform: settings.platform,
    readers: settings.readers,
    role: Role::Replica,
    seeds: settings.peers.clone(),
    tick: peer::Settings::default().tick,
  }
}

fn machine(settings: &settings::Balancer) -> Machine {
  Machine::new(
    settings.control,
    Role::Replica,
    settings.peers.clone(),
    peer::Settings::default(),
    rand::random(),
  )
}
