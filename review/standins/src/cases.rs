//! The cases.

use {
  crate::{
    cluster::{CONTACT, Cluster, FLOW_MAX, IDLE_TIMEOUT, RESTART_DELAY},
    record::Record,
    requester::{Connection, Outcome, Requesters},
  },
  std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
  },
};

const BALANCERS: [u8; 4] = [1, 2, 3, 4];
/// Up to three machines.
const SEEDS: [u8; 3] = [1, 2, 3];
/// Routes are addresses inside packets; nothing is sent to them.
const OTHER_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 198, 18, 2), 8443);
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 198, 18, 1), 8443);
/// From the start of the machines to the start of traffic.
const LEAD: Duration = Duration::from_secs(10);
/// How long after the last start of a process its machine is used again: longer than `ContactMs`.
const IN_TOUCH: Duration = Duration::from_millis(5500);
/// How long a requester waits for the answer to a request.
const PATIENCE: Duration = Duration::from_millis(6000);

/// Plays a case. Returns how many times the rule was broken.
pub fn play(case: &str, with_trouble: bool, record: &Record) -> Result<usize, String> {
  match case {
    "unlisted" => unlisted(with_trouble, record),
    "withdrawn" => withdrawn(with_trouble, record),
    "added" => added(with_trouble, record),
    "rolled" => rolled(with_trouble, record),
    "missed" => missed(with_trouble, record),
    _ => Err(format!("no case {case}")),
  }
}

/// No case of its own: lesser than the others. A target leaves without saying `draining`: its entry
/// goes, and it serves on. Then the processes of all balancers and of the agents of its service, 8 of
/// 15, are killed at the same moment and started again.
fn unlisted(with_trouble: bool, record: &Record) -> Result<usize, String> {
  const SERVICE: &str = "huvo11a";
  const OTHER_SERVICE: &str = "wuno96b";
  const LEAVING: u8 = 14;
  let cluster = Cluster::new(record, &SEEDS)?;
  for machine in BALANCERS {
    cluster.add_balancer(machine, usize::from(machine) - 1);
  }
  let own = [11, 12, 13, LEAVING];
  for machine in own {
    cluster.add_target(machine, usize::from(machine) - 11, SERVICE)?;
  }
  for machine in 21..28 {
    cluster.add_target(machine, usize::from(machine - 21) % 4, OTHER_SERVICE)?;
  }
  configure(&cluster, 7, &format!("\"Service\":\"{SERVICE}\""));
  begin(&cluster)?;

  let mut connections = Vec::new();
  for zone in 0..BALANCERS.len() {
    connections.extend(open(&cluster.requesters(zone)?, 24)?);
  }
  let mut connections = serve_all(connections, "first")?;
  let leaving = cluster.target(LEAVING);
  connections.retain(|(_, target)| *target == leaving.id);
  record.line(&format!(
    "{} flows are open at target {}",
    connections.len(),
    leaving.id
  ));
  if connections.len() < 8 {
    return Err("too few flows were opened at the target that leaves".into());
  }

  cluster.unlist_target(LEAVING);
  thread::sleep(Duration::from_secs(1));
  let connections = serve_all(just_connections(connections), "second")?;
  if with_trouble {
    let killed = [BALANCERS, own].concat();
    cluster.kill(&killed);
    thread::sleep(RESTART_DELAY);
    cluster.start(&killed)?;
  }
  resume(&cluster, connections)
}

/// A weighted route loses one of its services; the flows there stay open. Then the processes of all
/// balancers are killed at the same moment and started again.
fn withdrawn(with_trouble: bool, record: &Record) -> Result<usize, String> {
  const STAYING: &str = "huvo11a";
  const WITHDRAWN: &str = "wuno96b";
  let cluster = Cluster::new(record, &SEEDS)?;
  for machine in BALANCERS {
    cluster.add_balancer(machine, usize::from(machine) - 1);
  }
  for machine in [11, 12, 13, 14] {
    cluster.add_target(machine, usize::from(machine) - 11, STAYING)?;
  }
  for machine in [21, 22, 23, 24] {
    cluster.add_target(machine, usize::from(machine) - 21, WITHDRAWN)?;
  }
  let both = format!(
    "\"Backends\":[{{\"Service\":\"{STAYING}\",\"Weight\":75}},\
     {{\"Service\":\"{WITHDRAWN}\",\"Weight\":25}}]"
  );
  configure(&cluster, 7, &both);
  begin(&cluster)?;

  let mut connections = Vec::new();
  for zone in 0..BALANCERS.len() {
    connections.extend(open(&cluster.requesters(zone)?, 16)?);
  }
  let mut connections = serve_all(connections, "first")?;
  connections.retain(|(_, target)| target.starts_with("i-2"));
  record.line(&format!(
    "{} flows are open at targets of {WITHDRAWN}",
    connections.len()
  ));
  if connections.len() < 4 {
    return Err("too few flows were opened at the service that is withdrawn".into());
  }

  configure(&cluster, 9, &format!("\"Service\":\"{STAYING}\""));
  thread::sleep(Duration::from_secs(4));
  let connections = serve_all(just_connections(connections), "second")?;
  if with_trouble {
    cluster.kill(&BALANCERS);
    thread::sleep(RESTART_DELAY);
    cluster.start(&BALANCERS)?;
  }
  resume(&cluster, connections)
}

/// Planned work alone. A target leaves without saying `draining`: its entry goes, and it serves on.
/// A balancer is added. Then the agent beside the target is stopped and started in its turn, and
/// while it is away, packets of the target's flows come to the new balancer.
fn added(with_trouble: bool, record: &Record) -> Result<usize, String> {
  const SERVICE: &str = "huvo11a";
  const LEAVING: u8 = 14;
  const ADDED: u8 = 5;
  const ZONE: usize = 3;
  let cluster = Cluster::new(record, &SEEDS)?;
  for machine in BALANCERS {
    cluster.add_balancer(machine, usize::from(machine) - 1);
  }
  for machine in [11, 12, 13, LEAVING] {
    cluster.add_target(machine, usize::from(machine) - 11, SERVICE)?;
  }
  configure(&cluster, 7, &format!("\"Service\":\"{SERVICE}\""));
  begin(&cluster)?;

  let mut connections = serve_all(open(&cluster.requesters(ZONE)?, 60)?, "first")?;
  let leaving = cluster.target(LEAVING);
  connections.retain(|(_, target)| *target == leaving.id);
  record.line(&format!(
    "{} flows are open at target {}",
    connections.len(),
    leaving.id
  ));
  if connections.len() < 8 {
    return Err("too few flows were opened at the target that leaves".into());
  }

  cluster.unlist_target(LEAVING);
  thread::sleep(Duration::from_millis(500));
  let connections = serve_all(just_connections(connections), "second")?;
  cluster.add_later(ADDED, ZONE);
  cluster.start(&[ADDED])?;
  cluster.wait_ready(LEAD)?;
  thread::sleep(Duration::from_millis(2500));

  let targets = connections
    .iter()
    .map(|(_, target)| target.clone())
    .collect::<Vec<_>>();
  let outcomes = thread::scope(|scope| {
    if with_trouble {
      cluster.terminate(LEAVING)?;
    }
    let restart = scope.spawn(|| {
      thread::sleep(RESTART_DELAY);
      if with_trouble {
        cluster.start(&[LEAVING])
      } else {
        Ok(())
      }
    });
    let outcomes = request_all(just_connections(connections), "third");
    restart.join().expect("a restart")?;
    Ok::<_, String>(outcomes)
  })?;
  Ok(count_resets(&cluster, outcomes, targets))
}

/// Planned work alone. A weighted route loses one of its services, whose targets then leave without
/// saying `draining`: their entries go, and they serve on. Then all balancers are stopped and
/// started in turn, twice, while requests go on.
fn rolled(with_trouble: bool, record: &Record) -> Result<usize, String> {
  const STAYING: &str = "huvo11a";
  const WITHDRAWN: &str = "wuno96b";
  const BALANCERS: [u8; 2] = [1, 2];
  const LEAVING: [u8; 4] = [21, 22, 23, 24];
  /// From the stop of one balancer to that of the next; no multiple of the interval at which the
  /// routers ask for readiness, so that the restarts meet it at different moments.
  const GAP: Duration = Duration::from_millis(3100);
  /// From the stop of the last balancer to the end.
  const REST: Duration = Duration::from_millis(4500);
  let cluster = Cluster::new(record, &BALANCERS)?;
  for machine in BALANCERS {
    cluster.add_balancer(machine, usize::from(machine) - 1);
  }
  for machine in [11, 12, 13, 14] {
    cluster.add_target(
      machine,
      usize::from(machine - 11) % BALANCERS.len(),
      STAYING,
    )?;
  }
  for machine in LEAVING {
    cluster.add_target(
      machine,
      usize::from(machine - 21) % BALANCERS.len(),
      WITHDRAWN,
    )?;
  }
  let both = format!(
    "\"Backends\":[{{\"Service\":\"{STAYING}\",\"Weight\":50}},\
     {{\"Service\":\"{WITHDRAWN}\",\"Weight\":50}}]"
  );
  configure(&cluster, 7, &both);
  begin(&cluster)?;

  let mut connections = Vec::new();
  for zone in 0..BALANCERS.len() {
    connections.extend(open(&cluster.requesters(zone)?, 40)?);
  }
  let mut connections = serve_all(connections, "first")?;
  connections.retain(|(_, target)| target.starts_with("i-2"));
  record.line(&format!(
    "{} flows are open at targets of {WITHDRAWN}",
    connections.len()
  ));
  if connections.len() < 8 {
    return Err("too few flows were opened at the service that is withdrawn".into());
  }

  configure(&cluster, 9, &format!("\"Service\":\"{STAYING}\""));
  for machine in LEAVING {
    thread::sleep(Duration::from_millis(250));
    cluster.unlist_target(machine);
  }
  let is_over = AtomicBool::new(false);
  let reset = thread::scope(|scope| {
    let requests = connections.into_iter().map(|(connection, target)| {
      let (cluster, is_over) = (&cluster, &is_over);
      scope.spawn(move || goes_on(cluster, connection, &target, is_over))
    });
    let requests = requests.collect::<Vec<_>>();
    for machine in [BALANCERS, BALANCERS].concat() {
      if with_trouble {
        let cluster = &cluster;
        scope.spawn(move || -> Result<(), String> {
          cluster.terminate(machine)?;
          thread::sleep(RESTART_DELAY);
          cluster.start(&[machine])
        });
      }
      thread::sleep(GAP);
    }
    thread::sleep(REST - GAP);
    is_over.store(true, Ordering::Relaxed);
    requests
      .into_iter()
      .map(|request| request.join().expect("requests"))
      .filter(|reset| *reset)
      .count()
  });
  Ok(reset)
}

/// Sends requests on a flow, one after the other. Returns whether the system reset the flow although
/// its target holds it open.
fn goes_on(
  cluster: &Cluster,
  mut connection: Connection,
  target: &str,
  is_over: &AtomicBool,
) -> bool {
  const PAUSE: Duration = Duration::from_millis(60);
  for number in 2.. {
    if is_over.load(Ordering::Relaxed) {
      break;
    }
    thread::sleep(PAUSE);
    let id = format!("{number}-{}", connection.flow.name());
    let outcome = connection.request(&id, "GET", PATIENCE);
    if outcome == Outcome::Served(target.into()) {
      continue;
    }
    let holds = cluster
      .target_of(target)
      .is_some_and(|target| target.holds(&connection.flow));
    let is_broken = outcome == Outcome::ResetBySystem && holds;
    let name = connection.flow.name();
    cluster.record.line(&if is_broken {
      format!("FLOW: {name} was reset by the system; target {target} runs and holds it open")
    } else {
      format!("flow {name}: {outcome:?}, not counted")
    });
    return is_broken;
  }
  false
}

/// No case of its own: an entry of the project's list of open faults. While a balancer is frozen,
/// one configuration adds a service to many routes and a later one takes it away again.
fn missed(with_trouble: bool, record: &Record) -> Result<usize, String> {
  const STAYING: &str = "huvo11a";
  const WITHDRAWN: &str = "wuno96b";
  const FROZEN: u8 = 2;
  const ZONE: usize = 1;
  /// So many that their change is too large to be pushed in one datagram.
  const ROUTES: u16 = 40;
  const FREEZE: Duration = Duration::from_millis(3900);
  let cluster = Cluster::new(record, &SEEDS)?;
  for machine in BALANCERS {
    cluster.add_balancer(machine, usize::from(machine) - 1);
  }
  for machine in [11, 12, 13, 14] {
    cluster.add_target(machine, usize::from(machine) - 11, STAYING)?;
  }
  for machine in [21, 22, 23, 24] {
    cluster.add_target(machine, usize::from(machine) - 21, WITHDRAWN)?;
  }
  let single = format!("\"Service\":\"{STAYING}\"");
  let both = format!(
    "\"Backends\":[{{\"Service\":\"{STAYING}\",\"Weight\":75}},\
     {{\"Service\":\"{WITHDRAWN}\",\"Weight\":25}}]"
  );
  configure_many(&cluster, 7, &single, ROUTES);
  begin(&cluster)?;

  let requesters = cluster.requesters(ZONE)?;
  let frozen = Instant::now();
  if with_trouble {
    cluster.freeze(FROZEN, true)?;
  }
  // By then the routers have taken the frozen balancer out.
  thread::sleep(Duration::from_millis(1600));
  configure_many(&cluster, 8, &both, ROUTES);
  thread::sleep(Duration::from_millis(400));
  let mut connections = serve_all(open(&requesters, 60)?, "first")?;
  connections.retain(|(_, target)| target.starts_with("i-2"));
  record.line(&format!(
    "{} flows are open at targets of {WITHDRAWN}",
    connections.len()
  ));
  if connections.len() < 4 {
    return Err("too few flows were opened at the service that is withdrawn".into());
  }
  thread::sleep((FREEZE - Duration::from_millis(600)).saturating_sub(frozen.elapsed()));
  configure_many(&cluster, 9, &single, ROUTES);
  thread::sleep(FREEZE.saturating_sub(frozen.elapsed()));
  if with_trouble {
    cluster.freeze(FROZEN, false)?;
  }
  // By then the routers have taken it in again.
  thread::sleep(Duration::from_millis(1500));
  resume(&cluster, connections)
}

/// Writes a configuration: the route of the flows, and one of the other service without traffic.
fn configure(cluster: &Cluster, version: u64, destination: &str) {
  configure_many(cluster, version, destination, 1);
}

/// Writes a configuration with `count` routes of the same destination, the one of the flows first.
fn configure_many(cluster: &Cluster, version: u64, destination: &str, count: u16) {
  let route = |name: &str, address: SocketAddrV4, destination: &str| {
    format!(
      "{{\"Name\":\"{name}\",\"Hostname\":\"{}\",\"PathPrefix\":\"/{}/\",\
       \"Type\":\"safe\",\"TimeoutMs\":2000,\"AimMs\":200,\"Priority\":2,\
       {destination},\"MaxAttempts\":2}}",
      address.ip(),
      address.port()
    )
  };
  let same = (0..count).map(|index| {
    let address = SocketAddrV4::new(*ROUTE.ip(), ROUTE.port() + index);
    route(&format!("r-{index}"), address, destination)
  });
  let other = route("r-n73hh2b", OTHER_ROUTE, "\"Service\":\"wuno96b\"");
  let routes = same.chain([other]).collect::<Vec<_>>();
  let service = |name: &str| {
    format!(
      "{{\"Name\":\"{name}\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":2000,\
       \"Protocol\":\"h1\",\"Tls\":false}}"
    )
  };
  let services = [service("huvo11a"), service("wuno96b")].join(",");
  cluster.store.put(
    "op/config",
    &format!(
      "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{services}],\
       \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
       \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":{}}}}}",
      routes.join(","),
      IDLE_TIMEOUT.as_millis()
    ),
  );
  cluster.record.line(&format!(
    "store: version {version} is acknowledged: {destination}"
  ));
}

/// Starts all processes and waits until traffic starts.
fn begin(cluster: &Cluster) -> Result<(), String> {
  let started = Instant::now();
  cluster.start(&cluster.machines())?;
  cluster.wait_ready(LEAD)?;
  thread::sleep(LEAD.saturating_sub(started.elapsed()));
  Ok(())
}

/// Opens flows, one after the other.
fn open(requesters: &Requesters, count: u16) -> Result<Vec<Connection>, String> {
  let opened = (0..count).filter_map(|index| requesters.open(40_000 + index, ROUTE));
  let opened = opened.collect::<Vec<_>>();
  if opened.len() < usize::from(count) {
    return Err("flows did not open".into());
  }
  Ok(opened)
}

fn just_connections(connections: Vec<(Connection, String)>) -> Vec<Connection> {
  connections
    .into_iter()
    .map(|(connection, _)| connection)
    .collect()
}

/// Sends a request on each flow; all have to be served. Returns the flows with their targets.
fn serve_all(
  connections: Vec<Connection>,
  name: &str,
) -> Result<Vec<(Connection, String)>, String> {
  request_all(connections, name)
    .into_iter()
    .map(|(connection, outcome)| match outcome {
      Outcome::Served(target) => Ok((connection, target)),
      other => Err(format!("a {name} request was not served: {other:?}")),
    })
    .collect()
}

/// Sends a request on each flow at once.
fn request_all(connections: Vec<Connection>, name: &str) -> Vec<(Connection, Outcome)> {
  let requests = connections.into_iter().map(|mut connection| {
    let id = format!("{name}-{}", connection.flow.name());
    thread::spawn(move || {
      let outcome = connection.request(&id, "GET", PATIENCE);
      (connection, outcome)
    })
  });
  let requests = requests.collect::<Vec<_>>();
  requests
    .into_iter()
    .map(|request| request.join().expect("a request"))
    .collect()
}

/// Sends the next request on each flow once all machines are in touch, and counts the flows that
/// the system resets although their targets hold them open.
fn resume(cluster: &Cluster, connections: Vec<(Connection, String)>) -> Result<usize, String> {
  let record = &cluster.record;
  cluster.wait_ready(LEAD)?;
  thread::sleep(IN_TOUCH.saturating_sub(cluster.calm()));
  if cluster.calm() < CONTACT {
    return Err("the machines are not in touch".into());
  }
  record.line(&format!(
    "last start, kill or freeze of a process: {:?} ago",
    cluster.calm()
  ));
  let now = Instant::now();
  let counts = |connection: &Connection| {
    now.duration_since(connection.opened) + PATIENCE < FLOW_MAX
      && now.duration_since(connection.last_packet) < IDLE_TIMEOUT
  };
  if !connections.iter().all(|(connection, _)| counts(connection)) {
    return Err("the flows are too old or idle for too long".into());
  }
  let targets = connections
    .iter()
    .map(|(_, target)| target.clone())
    .collect::<Vec<_>>();
  let outcomes = request_all(just_connections(connections), "third");
  Ok(count_resets(cluster, outcomes, targets))
}

/// Counts the flows that the system has reset although their targets hold them open.
fn count_resets(
  cluster: &Cluster,
  outcomes: Vec<(Connection, Outcome)>,
  targets: Vec<String>,
) -> usize {
  let record = &cluster.record;
  let ended = cluster.ended();
  if !ended.is_empty() {
    record.line(&format!(
      "processes of machines {ended:?} have ended by themselves"
    ));
  }
  let mut broken = 0;
  for ((connection, outcome), target) in outcomes.into_iter().zip(targets) {
    let holds = cluster
      .target_of(&target)
      .is_some_and(|target| target.holds(&connection.flow));
    if outcome == Outcome::ResetBySystem && holds {
      broken += 1;
      record.line(&format!(
        "FLOW: {} was reset by the system; target {target} runs and holds it open",
        connection.flow.name()
      ));
    } else if outcome != Outcome::Served(target.clone()) {
      record.line(&format!(
        "flow {}: {outcome:?}, not counted",
        connection.flow.name()
      ));
    }
  }
  broken
}
