//! A small deployment: the store with a configuration and target list, balancers, agents with their
//! targets, routers and requesters.

use {
  crate::{
    caller::{Caller, Flow, Outcome, Router},
    cluster::{Cluster, Machine, Role},
    record::Record,
    store::Store,
    target::Target,
  },
  std::{
    env,
    net::SocketAddrV4,
    path::PathBuf,
    sync::{
      Arc, Mutex, PoisonError,
      atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, SystemTime, UNIX_EPOCH},
  },
};

/// The service of all targets.
pub const SERVICE: &str = "dispatch";

/// The second service of a weighted route.
pub const CANARY: &str = "dispatch-next";

/// `DrainMs` of the settings.
pub const DRAIN: Duration = Duration::from_millis(3000);

/// How many requests a target works on at once, and how long on each.
#[derive(Clone, Copy, Debug)]
pub struct Work {
  pub slots: usize,
  pub time: Duration,
}

impl Default for Work {
  fn default() -> Self {
    Self {
      slots: 5,
      time: Duration::from_millis(15),
    }
  }
}

/// The deadline of a request.
pub const DEADLINE: Duration = Duration::from_millis(2500);

/// An attempt of a requester: when it began, and whether it got its answer.
pub type Attempt = (Duration, bool);

pub struct World {
  pub cluster: Cluster,
  pub record: Arc<Record>,
  pub router: Arc<Router>,
  pub store: Arc<Store>,
  pub targets: Vec<Arc<Target>>,
  pub balancers: Vec<Arc<Machine>>,
  pub agents: Vec<Arc<Machine>>,
  pub attempts: Arc<Mutex<Vec<Attempt>>>,
  work: Work,
  stop: Arc<AtomicBool>,
  threads: Vec<JoinHandle<()>>,
}

impl World {
  /// Starts everything; none if it is not ready in time.
  pub fn start(
    program: PathBuf,
    record: &Arc<Record>,
    balancers: u8,
    agents: u8,
    with_born: bool,
    work: Work,
  ) -> Option<Self> {
    Self::start_with(program, record, balancers, (agents, 0), with_born, work)
  }

  /// As `start`, with further agents of a second service, which shares the route.
  pub fn start_with(
    program: PathBuf,
    record: &Arc<Record>,
    balancers: u8,
    (agents, canaries): (u8, u8),
    with_born: bool,
    work: Work,
  ) -> Option<Self> {
    let folder = env::temp_dir().join(format!("review-case-2-{}", std::process::id()));
    let mut cluster = Cluster::new(program, folder, Arc::clone(record))?;
    let store = Arc::new(Store::default());
    let balancers = (1..=balancers)
      .map(|number| cluster.add(Role::Balancer, number, "", &store))
      .collect::<Vec<_>>();
    let service_of = |number| if number <= agents { SERVICE } else { CANARY };
    let numbers = 1..=agents + canaries;
    let machines = numbers
      .clone()
      .map(|number| cluster.add(Role::Agent, number, service_of(number), &store))
      .collect::<Vec<_>>();
    let route = cluster.route(1);
    store.put("op/config", &configuration(route, 1, canaries > 0));
    let targets = numbers
      .map(|number| {
        let (app, outbound) = (cluster.app(number), cluster.outbound(number));
        let name = format!("t{number}");
        let target = Target::start(&name, app, outbound, work.slots, work.time, record);
        let born = with_born.then(unix_ms);
        store.put(
          &format!("servers/{name}"),
          &entry(service_of(number), app, "ready", work.slots, born),
        );
        target
      })
      .collect();
    for machine in &cluster.machines {
      cluster.start(machine);
    }
    if !cluster.wait_ready() {
      record.say("balancers are not ready");
      return None;
    }
    let ports = cluster.ports;
    let nodes = balancers.iter().map(|machine| {
      (
        SocketAddrV4::new(machine.ip, ports.packets),
        SocketAddrV4::new(machine.ip, ports.readiness),
      )
    });
    let router = Router::start(nodes.collect(), record);
    // The agents get the first target list.
    thread::sleep(Duration::from_secs(3));
    record.say("everything runs");
    Some(Self {
      cluster,
      record: Arc::clone(record),
      router,
      store,
      targets,
      balancers,
      agents: machines,
      attempts: Arc::default(),
      work,
      stop: Arc::default(),
      threads: Vec::new(),
    })
  }

  /// A requester with an address of its own.
  pub fn caller(&self, number: u8) -> Caller {
    let address = SocketAddrV4::new(self.cluster.ip(2, number), self.cluster.ports.packets);
    Caller::new(format!("c{number}"), address, &self.router, &self.record)
  }

  /// Starts requesters that open a flow for each request, each from the next of `ports` ports and then
  /// from the first again, with a pause after each request.
  pub fn start_callers(&mut self, count: u8, ports: u16, pause: Duration) {
    for number in 1..=count {
      let mut caller = self.caller(number);
      let (stop, attempts) = (Arc::clone(&self.stop), Arc::clone(&self.attempts));
      let (route, record) = (self.cluster.route(1), Arc::clone(&self.record));
      self.threads.push(thread::spawn(move || {
        let mut next = 0;
        while !stop.load(Ordering::SeqCst) {
          let began = record.now();
          let port = 20_000 + next % ports;
          next += 1;
          let answered = match caller.open(port, route) {
            Outcome::Done(mut flow) => is_answered(&mut caller, &mut flow),
            Outcome::Reset { .. } | Outcome::Silence => false,
          };
          let mut attempts = attempts.lock().unwrap_or_else(PoisonError::into_inner);
          attempts.push((began, answered));
          drop(attempts);
          thread::sleep(pause);
        }
      }));
    }
  }

  /// Stops the requesters and routers.
  pub fn stop_callers(&mut self) {
    self.stop.store(true, Ordering::SeqCst);
    for thread in self.threads.drain(..) {
      let _ = thread.join();
    }
    self.router.stop();
  }

  /// Writes a target's entry; returns when the store acknowledged it.
  pub fn put_target(&self, number: u8, state: &str, born: Option<u64>) -> Duration {
    let app = self.cluster.app(number);
    let json = entry(SERVICE, app, state, self.work.slots, born);
    self.store.put(&format!("servers/t{number}"), &json);
    let at = self.record.now();
    self
      .record
      .say(&format!("store: took servers/t{number} {json}"));
    at
  }

  pub fn wait_until(&self, at: Duration) {
    thread::sleep(at.saturating_sub(self.record.now()));
  }

  /// The share of the attempts that began in a span of time and were answered.
  pub fn served(&self, from: Duration, to: Duration) -> (usize, usize) {
    let attempts = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
    let within = attempts.iter().filter(|(at, _)| (from..to).contains(at));
    let answered = within.clone().filter(|(_, answered)| *answered).count();
    (answered, within.count())
  }

  /// The opening packets that reached a target later than `DrainMs` after it said that it leaves, and
  /// were sent to balancers other than `except`. All copies of a counted one were sent to balancers in
  /// touch.
  pub fn late_openings(&self, number: u8, acked: Duration, except: &[&Arc<Machine>]) -> usize {
    let ports = self.cluster.ports;
    let except = except.iter();
    let except = except.map(|machine| SocketAddrV4::new(machine.ip, ports.packets));
    let except = except.collect::<Vec<_>>();
    let target = &self.targets[usize::from(number) - 1];
    let openings = target.seen().openings.clone();
    let mut late = 0;
    for opening in openings.iter().filter(|opening| opening.at > acked + DRAIN) {
      let copies = self.record.copies(opening.flow.0, opening.seq);
      if copies.iter().any(|(_, node)| except.contains(node)) {
        continue;
      }
      late += 1;
      if late <= 5 {
        let (sent, node) = copies[0];
        self.record.say(&format!(
          "DRAIN: {} took a flow {} ms after the acknowledgement; sent at {:.3} s to {node}",
          target.name,
          (opening.at - acked).as_millis(),
          sent.as_secs_f64()
        ));
      }
    }
    let after = openings.iter().filter(|opening| opening.at > acked);
    let last = after.clone().map(|opening| opening.at - acked).max();
    self.record.say(&format!(
      "{}: {} flows after the acknowledgement, the last {:?} after it; {late} break the rule",
      target.name,
      after.count(),
      last.unwrap_or_default()
    ));
    late
  }
}

/// Sends one request on a new flow, which the target then closes.
pub fn is_answered(caller: &mut Caller, flow: &mut Flow) -> bool {
  matches!(caller.ask(flow, true, DEADLINE), Outcome::Done(_))
}

/// The time of day in milliseconds.
pub fn unix_ms() -> u64 {
  let time = SystemTime::now().duration_since(UNIX_EPOCH);
  time.map_or(0, |time| time.as_millis() as u64)
}

/// An entry of the target list, as a target writes it.
pub fn entry(
  service: &str,
  app: SocketAddrV4,
  state: &str,
  slots: usize,
  born: Option<u64>,
) -> String {
  let born = born.map_or(String::new(), |born| format!(",\"born\":{born}"));
  format!(
    "{{\"Service\":\"{service}\",\"Address\":\"{app}\",\"Zone\":\"z1\",\"Version\":\"v1\",\
     \"Capacity\":{slots},\"State\":\"{state}\",\"WarmupLeftMs\":0,\"Sequence\":4{born}}}"
  )
}

/// A configuration with one route, which has the second service too where `weighted`.
pub fn configuration(route: SocketAddrV4, version: u64, weighted: bool) -> String {
  let backends = if weighted {
    format!(
      "\"Backends\":[{{\"Service\":\"{SERVICE}\",\"Weight\":60}},\
       {{\"Service\":\"{CANARY}\",\"Weight\":40}}]"
    )
  } else {
    format!("\"Service\":\"{SERVICE}\"")
  };
  let service = |name| {
    format!(
      "{{\"Name\":\"{name}\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":2000,\
       \"Protocol\":\"h1\",\"Tls\":false}}"
    )
  };
  format!(
    "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"rider-feed\",\"Hostname\":\"{}\",\
     \"PathPrefix\":\"/{}/\",\"Type\":\"safe\",\"TimeoutMs\":2500,\"AimMs\":250,\"Priority\":1,\
     {backends},\"MaxAttempts\":2}}],\"Services\":[{},{}],\
     \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
     \"IdleTimeoutMs\":15000}}}}",
    route.ip(),
    route.port(),
    service(SERVICE),
    service(CANARY)
  )
}
