use {
  super::{
    control,
    packet_loop::{MESSAGES, PacketLoop, Sockets},
    shared::{Message, Pull, Shared},
    source::Source,
  },
  crate::{
    Code,
    code::Fault,
    counter::Counter,
    datagram::{Codec, Machine, Settings, Upstream, agent, balancer},
    logging,
    process::{Process, Signal},
  },
  crossbeam::channel,
  mio::Poll,
  std::{
    net::SocketAddrV4,
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
    thread,
    time::{Duration, Instant},
  },
  tokio::sync::mpsc,
};

/// The shutdown time of a balancer: the fabric checks readiness twice, half a second apart, before
/// it sends callers elsewhere.
const BALANCER_LINGER: Linger = Linger {
  min: Duration::from_millis(1700),
  max: Duration::from_millis(1700),
};

/// The shutdown time of an agent: until balancers have learned that it takes no new flows, and then
/// until its upstream has answered all requests in flight. Flows that are idle between
/// requests don't count.
const AGENT_LINGER: Linger = Linger {
  min: Duration::from_millis(20),
  max: Duration::from_millis(700),
};

/// How often a stopping process checks whether it is idle.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The shutdown time of a process: the minimum, and the maximum if it doesn't become idle before.
struct Linger {
  min: Duration,
  max: Duration,
}

/// The timeout of the packet thread's final message.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// What differs between the roles.
struct Program<M, R> {
  counter: Arc<Counter>,
  linger: Linger,
  machine: M,
  /// Where packets arrive: callers' at a balancer, the upstream's at an agent.
  packets: SocketAddrV4,
  /// Reloads the settings.
  reload: R,
  role: &'static str,
}

/// Runs a balancer until a signal stops it and the fabric has sent callers elsewhere. On SIGHUP,
/// `reload` reads the settings again. Fails if the process can't start or a thread fails.
pub fn balancer<C: Codec, S: Source>(
  settings: &Settings,
  codec: C,
  source: S,
  reload: impl Fn() -> Result<Settings, Fault>,
) -> Result<(), Fault> {
  let counter = Arc::new(Counter::default());
  let (now, tuning, incarnation) = (Instant::now(), settings.tuning(), rand::random());
  let counts = Arc::clone(&counter);
  let program = Program {
    counter,
    linger: BALANCER_LINGER,
    machine: balancer::Machine::new(now, settings, tuning, codec, incarnation, counts),
    packets: settings.callers,
    reload,
    role: "balancer",
  };
  run(settings, source, program)
}

/// Runs an agent until a signal stops it. On SIGHUP, `reload` reads the settings again. Fails if
/// the process can't start or a thread fails.
pub fn agent<C: Codec, S: Source>(
  settings: &Settings,
  upstream: Upstream,
  codec: C,
  source: S,
  reload: impl Fn() -> Result<Settings, Fault>,
) -> Result<(), Fault> {
  let counter = Arc::new(Counter::default());
  let (now, tuning, incarnation) = (Instant::now(), settings.tuning(), rand::random());
  let counts = Arc::clone(&counter);
  let packets = upstream.outbound;
  let program = Program {
    counter,
    linger: AGENT_LINGER,
    machine: agent::Machine::new(now, settings, upstream, tuning, codec, incarnation, counts),
    packets,
    reload,
    role: "agent",
  };
  run(settings, source, program)
}

fn run<M, R, S>(settings: &Settings, source: S, program: Program<M, R>) -> Result<(), Fault>
where
  M: Machine + Send + 'static,
  R: Fn() -> Result<Settings, Fault>,
  S: Source,
{
  logging::start(&settings.log)?;
  // Handles signals from here on.
  let mut process = Process::new(Arc::clone(&program.counter))?;
  log::info!(
    role:% = program.role, address:% = settings.peers, data_centre:% = settings.data_centre,
    first_start = settings.first_start, seeds = settings.seeds.len();
    "node: process is starting."
  );
  let sockets = Sockets::bind(settings.peers, program.packets)?;
  let failed = |error: std::io::Error| Fault::new(Code::ChildFailed, error);
  let poll = Poll::new().map_err(failed)?;
  let waker = mio::Waker::new(poll.registry(), MESSAGES).map_err(failed)?;
  let (messages_in, messages) = channel::unbounded();
  let (pulls_in, pulls) = mpsc::unbounded_channel();
  let shared = Arc::new(Shared::new(program.counter, messages_in, pulls_in, waker));
  let packet_loop = PacketLoop::new(
    program.machine,
    poll,
    sockets,
    messages,
    Arc::clone(&shared),
  )?;
  start(&mut process, settings, source, &shared, packet_loop, pulls)?;
  while process.wait()? == Signal::Reload {
    reload_settings(settings, &program.reload, &shared);
  }
  log::info!(role:% = program.role; "node: process is stopping.");
  shared.stopping.store(true, Ordering::Relaxed);
  shared.send(Message::Stop);
  linger(&program.linger, &shared);
  let (done, ended) = channel::bounded(1);
  shared.send(Message::End(done));
  if ended.recv_timeout(END_TIMEOUT).is_err() {
    log::warn!("node: final message was not sent in time.");
  }
  logging::flush();
  Ok(())
}

/// Waits for the minimum time, and then until no request is in flight or the maximum has passed.
fn linger(linger: &Linger, shared: &Shared) {
  let end = Instant::now() + linger.max;
  thread::sleep(linger.min);
  while !shared.idle.load(Ordering::Relaxed) && Instant::now() < end {
    thread::sleep(POLL_INTERVAL);
  }
}

/// Applies the reloaded settings that can change while the process runs: the seeds.
fn reload_settings(
  settings: &Settings,
  reload: &impl Fn() -> Result<Settings, Fault>,
  shared: &Shared,
) {
  match reload() {
    Ok(new) => {
      let same = Settings {
        first_start: settings.first_start,
        seeds: settings.seeds.clone(),
        ..new.clone()
      } == *settings;
      log::info!(seeds = new.seeds.len(), restart_required = !same; "node: settings are reloaded.");
      shared.send(Message::Seeds(new.seeds));
    }
    Err(fault) => {
      log::warn!(fault:% = fault; "node: reloaded settings are invalid; keeping the old ones.");
    }
  }
}

fn start<M: Machine + Send + 'static, S: Source>(
  process: &mut Process,
  settings: &Settings,
  source: S,
  shared: &Arc<Shared>,
  packet_loop: PacketLoop<M>,
  pulls: mpsc::UnboundedReceiver<Pull>,
) -> Result<(), Fault> {
  let packet_loop = Mutex::new(packet_loop);
  process.tree.start("packets", move |_| {
    packet_loop
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .run()
  })?;
  let (settings, shared) = (settings.clone(), Arc::clone(shared));
  let pulls = Mutex::new(Some(pulls));
  process.tree.start("control", move |_| {
    let pulls = pulls.lock().unwrap_or_else(PoisonError::into_inner).take();
    let pulls = pulls.ok_or_else(|| Fault::new(Code::ChildFailed, "started twice"))?;
    control::run(&settings, &source, &shared, pulls)
  })
}
