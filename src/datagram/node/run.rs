use {
  super::{
    carrier::{Carrier, MESSAGES, Sockets},
    control,
    shared::{Message, Question, Shared},
    source::Source,
  },
  crate::{
    Code,
    code::Fault,
    counter::Counter,
    datagram::{Codec, Machine, Settings, Tuning, Upstream, agent, balancer},
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

/// How long a stopping balancer goes on: the fabric looks twice, half a second apart, before it
/// sends callers elsewhere.
const BALANCER: Linger = Linger {
  least: Duration::from_millis(1700),
  most: Duration::from_millis(1700),
};

/// How long a stopping agent goes on: until balancers have heard that it takes no new flows, and then
/// until its upstream has answered what it was asked. Flows that go on have idle moments before long.
const AGENT: Linger = Linger {
  least: Duration::from_millis(20),
  most: Duration::from_millis(700),
};

/// How often a stopping process looks whether it is quiet.
const LOOK: Duration = Duration::from_millis(5);

/// How long a stopping process goes on: at least, and at most where it is not quiet before.
struct Linger {
  least: Duration,
  most: Duration,
}

/// How long the packet thread may take for its last word: far more than all flows of a target need.
const LAST_WORD: Duration = Duration::from_secs(1);

/// What a role is run with.
struct Part<M, R> {
  counter: Arc<Counter>,
  linger: Linger,
  machine: M,
  /// Where callers' packets arrive, or the upstream's.
  packets: SocketAddrV4,
  /// Reads the settings again.
  reload: R,
  role: &'static str,
}

/// Runs a balancer until it is told to stop and callers have been led elsewhere. On SIGHUP `reload`
/// reads the settings again.
pub fn balancer<C: Codec, S: Source>(
  settings: &Settings,
  codec: C,
  source: S,
  reload: impl Fn() -> Result<Settings, Fault>,
) -> Result<(), Fault> {
  let counter = Arc::new(Counter::default());
  let (now, tuning, incarnation) = (Instant::now(), Tuning::default(), rand::random());
  let counts = Arc::clone(&counter);
  let part = Part {
    counter,
    linger: BALANCER,
    machine: balancer::Machine::new(now, settings, tuning, codec, incarnation, counts),
    packets: settings.callers,
    reload,
    role: "balancer",
  };
  run(settings, source, part)
}

/// Runs an agent until it is told to stop. On SIGHUP `reload` reads the settings again.
pub fn agent<C: Codec, S: Source>(
  settings: &Settings,
  upstream: Upstream,
  codec: C,
  source: S,
  reload: impl Fn() -> Result<Settings, Fault>,
) -> Result<(), Fault> {
  let counter = Arc::new(Counter::default());
  let (now, tuning, incarnation) = (Instant::now(), Tuning::default(), rand::random());
  let counts = Arc::clone(&counter);
  let packets = upstream.outbound;
  let part = Part {
    counter,
    linger: AGENT,
    machine: agent::Machine::new(now, settings, upstream, tuning, codec, incarnation, counts),
    packets,
    reload,
    role: "agent",
  };
  run(settings, source, part)
}

fn run<M, R, S>(settings: &Settings, source: S, part: Part<M, R>) -> Result<(), Fault>
where
  M: Machine + Send + 'static,
  R: Fn() -> Result<Settings, Fault>,
  S: Source,
{
  logging::start(&settings.log)?;
  // Signals that come this early count too.
  let mut process = Process::new(Arc::clone(&part.counter))?;
  log::info!(
    role:% = part.role, address:% = settings.peers, data_centre:% = settings.data_centre,
    first_start = settings.first_start, seeds = settings.seeds.len();
    "node: process starts."
  );
  let sockets = Sockets::bind(settings.peers, part.packets)?;
  let failed = |error: std::io::Error| Fault::new(Code::ChildFailed, error);
  let poll = Poll::new().map_err(failed)?;
  let waker = mio::Waker::new(poll.registry(), MESSAGES).map_err(failed)?;
  let (messages_in, messages) = channel::unbounded();
  let (questions_in, questions) = mpsc::unbounded_channel();
  let shared = Arc::new(Shared::new(part.counter, messages_in, questions_in, waker));
  let carrier = Carrier::new(part.machine, poll, sockets, messages, Arc::clone(&shared))?;
  start(&mut process, settings, source, &shared, carrier, questions)?;
  while process.wait()? == Signal::Reload {
    reload_settings(settings, &part.reload, &shared);
  }
  log::info!(role:% = part.role; "node: process stops as planned.");
  shared.stopping.store(true, Ordering::Relaxed);
  shared.tell(Message::Stop);
  linger(&part.linger, &shared);
  let (done, ended) = channel::bounded(1);
  shared.tell(Message::End(done));
  if ended.recv_timeout(LAST_WORD).is_err() {
    log::warn!("node: last word was not sent in time.");
  }
  logging::flush();
  Ok(())
}

/// Goes on until nothing is under way, or for as long as is allowed.
fn linger(linger: &Linger, shared: &Shared) {
  let end = Instant::now() + linger.most;
  thread::sleep(linger.least);
  while !shared.quiet.load(Ordering::Relaxed) && Instant::now() < end {
    thread::sleep(LOOK);
  }
}

/// Takes from new settings what can change while the process runs.
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
      log::info!(seeds = new.seeds.len(), restart_wanted = !same; "node: settings are read again.");
      shared.tell(Message::Seeds(new.seeds));
    }
    Err(fault) => {
      log::warn!(fault:% = fault; "node: settings are not valid and stay as they were.");
    }
  }
}

fn start<M: Machine + Send + 'static, S: Source>(
  process: &mut Process,
  settings: &Settings,
  source: S,
  shared: &Arc<Shared>,
  carrier: Carrier<M>,
  questions: mpsc::UnboundedReceiver<Question>,
) -> Result<(), Fault> {
  let carrier = Mutex::new(carrier);
  process.tree.start("packets", move |_| {
    carrier.lock().unwrap_or_else(PoisonError::into_inner).run()
  })?;
  let (settings, shared) = (settings.clone(), Arc::clone(shared));
  let questions = Mutex::new(Some(questions));
  process.tree.start("control", move |_| {
    let questions = questions
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .take();
    let questions = questions.ok_or_else(|| Fault::new(Code::ChildFailed, "started twice"))?;
    control::run(&settings, &source, &shared, questions)
  })
}
