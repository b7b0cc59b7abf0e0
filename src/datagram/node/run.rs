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
const LINGER: Duration = Duration::from_millis(1700);

/// How long a stopping agent goes on, so that what it has just said is sent.
const FAREWELL: Duration = Duration::from_millis(20);

/// Runs a balancer until it is told to stop and callers have been led elsewhere.
pub fn balancer<C: Codec, S: Source>(
  settings: &Settings,
  codec: C,
  source: S,
) -> Result<(), Fault> {
  let counter = Arc::new(Counter::default());
  let incarnation = rand::random();
  let machine = balancer::Machine::new(
    Instant::now(),
    settings,
    Tuning::default(),
    codec,
    incarnation,
    Arc::clone(&counter),
  );
  run(
    settings,
    "balancer",
    settings.callers,
    machine,
    source,
    counter,
    LINGER,
  )
}

/// Runs an agent until it is told to stop.
pub fn agent<C: Codec, S: Source>(
  settings: &Settings,
  upstream: Upstream,
  codec: C,
  source: S,
) -> Result<(), Fault> {
  let counter = Arc::new(Counter::default());
  let incarnation = rand::random();
  let outbound = upstream.outbound;
  let machine = agent::Machine::new(
    Instant::now(),
    settings,
    upstream,
    Tuning::default(),
    codec,
    incarnation,
    Arc::clone(&counter),
  );
  run(
    settings, "agent", outbound, machine, source, counter, FAREWELL,
  )
}

fn run<M: Machine + Send + 'static, S: Source>(
  settings: &Settings,
  role: &'static str,
  packets: SocketAddrV4,
  machine: M,
  source: S,
  counter: Arc<Counter>,
  farewell: Duration,
) -> Result<(), Fault> {
  logging::start(&settings.log)?;
  log::info!(
    role:% = role, address:% = settings.peers, data_centre:% = settings.data_centre;
    "node: process starts."
  );
  let mut process = Process::new(Arc::clone(&counter))?;
  let sockets = Sockets::bind(settings.peers, packets)?;
  let failed = |error: std::io::Error| Fault::new(Code::ChildFailed, error);
  let poll = Poll::new().map_err(failed)?;
  let waker = mio::Waker::new(poll.registry(), MESSAGES).map_err(failed)?;
  let (messages_in, messages) = channel::unbounded();
  let (questions_in, questions) = mpsc::unbounded_channel();
  let shared = Arc::new(Shared::new(counter, messages_in, questions_in, waker));
  let carrier = Carrier::new(machine, poll, sockets, messages, Arc::clone(&shared))?;
  start(&mut process, settings, source, &shared, carrier, questions)?;
  while process.wait()? == Signal::Reload {
    log::info!("node: settings are looked at again.");
  }
  log::info!(role:% = role; "node: process stops as planned.");
  shared.stopping.store(true, Ordering::Relaxed);
  shared.tell(Message::Stop);
  thread::sleep(farewell);
  shared.tell(Message::End);
  logging::flush();
  Ok(())
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
