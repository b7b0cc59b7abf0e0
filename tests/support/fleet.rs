use {
  super::{child::Child, wait::until},
  fallwell::{
    caller::Caller,
    config::{self, Presence, Role},
    id, settings,
    standin::Plan,
    web,
  },
  http::{Method, StatusCode},
  rustls::pki_types::CertificateDer,
  serde_json::{Value, json},
  std::{
    collections::BTreeMap,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket},
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
  },
};

const BALANCER: &str = env!("CARGO_BIN_EXE_fallwell-balancer");
const AGENT: &str = env!("CARGO_BIN_EXE_fallwell-agent");
const STANDIN: &str = env!("CARGO_BIN_EXE_fallwell-standin");

/// The name that the certificates are made for.
pub const NAME: &str = "service.test";

const CALL_MAX: Duration = Duration::from_secs(5);

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Two octets that no other fleet uses now, held by a socket.
struct Net {
  _held: UdpSocket,
  octets: (u8, u8),
}

impl Net {
  fn claim() -> Self {
    for _ in 0..2000 {
      let number = std::process::id().wrapping_mul(37) + NEXT.fetch_add(1, Ordering::Relaxed);
      let octets = (1 + (number / 250 % 250) as u8, 1 + (number % 250) as u8);
      let address = SocketAddr::new(ip(octets, 1), 6999);
      if let Ok(held) = UdpSocket::bind(address) {
        return Self {
          _held: held,
          octets,
        };
      }
    }
    panic!("no free addresses");
  }

  fn at(&self, host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(ip(self.octets, host), port)
  }
}

fn ip(octets: (u8, u8), host: u8) -> IpAddr {
  IpAddr::V4(Ipv4Addr::new(127, octets.0, octets.1, host))
}

/// The processes of a test: a platform, a fabric, balancers, agents and upstreams.
pub struct Fleet {
  agents: BTreeMap<(u16, u32), Child>,
  balancers: BTreeMap<u8, Child>,
  certificate: CertificateDer<'static>,
  connections: u32,
  deadline_ms: u64,
  directory: PathBuf,
  drain_s: u64,
  fabric: Option<Child>,
  generation: u64,
  keyring: config::Keyring,
  metrics: Option<SocketAddr>,
  net: Net,
  platform: Option<Child>,
  relayed: bool,
  services: BTreeMap<u16, Vec<u32>>,
  slots: u32,
  slow: Option<(u32, u32)>,
  upstreams: BTreeMap<(u16, u32), Child>,
  wanted_balancers: u8,
  without_agents: bool,
  without_routes: bool,
  workers: usize,
}

impl Fleet {
  /// A fleet that is not started yet.
  pub fn new() -> Self {
    let net = Net::claim();
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
      .join(format!("fleet-{}-{}", net.octets.0, net.octets.1));
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).expect("directory");
    Self {
      agents: BTreeMap::new(),
      balancers: BTreeMap::new(),
      certificate: certificate(&directory),
      connections: 2000,
      deadline_ms: 10_000,
      directory,
      drain_s: 30,
      fabric: None,
      generation: 1,
      keyring: config::Keyring {
        current: 1,
        secrets: vec![config::Secret {
          id: 1,
          value: "000102030405060708090a0b0c0d0e0f".into(),
        }],
      },
      metrics: None,
      net,
      platform: None,
      relayed: false,
      services: BTreeMap::new(),
      slots: 5,
      slow: None,
      upstreams: BTreeMap::new(),
      wanted_balancers: 2,
      without_agents: false,
      without_routes: false,
      workers: 1,
    }
  }

  /// How many balancers it starts with.
  pub fn balancers(mut self, count: u8) -> Self {
    self.wanted_balancers = count;
    self
  }

  /// How many connections each target may hold.
  pub fn connections(mut self, count: u32) -> Self {
    self.connections = count;
    self
  }

  /// How long a request may wait and run.
  pub fn deadline_ms(mut self, milliseconds: u64) -> Self {
    self.deadline_ms = milliseconds;
    self
  }

  /// How long leaving targets keep their flows.
  pub fn drain_s(mut self, seconds: u64) -> Self {
    self.drain_s = seconds;
    self
  }

  /// Puts the fault-injecting fabric between all processes, not only before the balancers.
  pub fn relayed(mut self) -> Self {
    self.relayed = true;
    self
  }

  /// Where the processes send their metrics.
  pub fn metrics(mut self, server: SocketAddr) -> Self {
    self.metrics = Some(server);
    self
  }

  /// States nothing of the requests, so that none is handed from target to target.
  pub fn without_routes(mut self) -> Self {
    self.without_routes = true;
    self
  }

  /// How many requests each target runs at once.
  pub fn slots(mut self, slots: u32) -> Self {
    self.slots = slots;
    self
  }

  /// Makes a target's upstream work so many times as long.
  pub fn slow(mut self, target: u32, times: u32) -> Self {
    self.slow = Some((target, times));
    self
  }

  /// Starts no agents: something else stands at their addresses.
  pub fn without_agents(mut self) -> Self {
    self.without_agents = true;
    self
  }

  /// A service with targets 1 to `targets`.
  pub fn service(mut self, id: u16, targets: u32) -> Self {
    self.services.insert(id, (1..=targets).collect());
    self
  }

  /// Starts all and waits until each is ready.
  pub async fn start(mut self) -> Self {
    let listen = self.platform_address().to_string();
    self.platform = Some(self.standin(&["platform", "--listen", &listen]));
    self.wait_for_platform().await;
    self.start_fabric();
    let keyring = json!(self.keyring).to_string();
    self.put("keyring", &keyring).await;
    for number in 1..=self.wanted_balancers {
      self.list_balancer(number, Presence::Live).await;
    }
    for service in self.services.keys().copied().collect::<Vec<_>>() {
      self.publish(service).await;
    }
    for number in 1..=self.wanted_balancers {
      self.start_balancer(number);
    }
    if !self.without_agents {
      for (service, targets) in self.services.clone() {
        for target in targets {
          self.start_target(service, target);
        }
      }
    }
    self.ready().await;
    self
  }

  fn start_fabric(&mut self) {
    let mut arguments = vec![
      "fabric".to_owned(),
      "--listen".into(),
      self.fabric_address().to_string(),
    ];
    for service in self.services.keys() {
      let backs =
        (1..=self.wanted_balancers).map(|number| self.entry(number, *service).to_string());
      let backs = backs.collect::<Vec<_>>().join(",");
      arguments.push("--front".into());
      arguments.push(format!("{}={backs}", self.address(*service)));
    }
    if self.relayed {
      for number in 1..=self.wanted_balancers + 2 {
        let (listed, real) = (self.platform_front(number), self.platform_address());
        arguments.push("--front".into());
        arguments.push(format!("{listed}={real}"));
      }
      for (listed, real) in self.relays() {
        arguments.push("--front".into());
        arguments.push(format!("{listed}={real}"));
      }
    }
    self.fabric = Some(self.standin(&arguments));
  }

  /// The listed addresses of all processes that there may be, and the ones behind them.
  fn relays(&self) -> Vec<(SocketAddr, SocketAddr)> {
    let mut relays = Vec::new();
    for number in 1..=self.wanted_balancers + 2 {
      for port in [7100, 7200] {
        relays.push((
          self.net.at(50 + number, port),
          self.net.at(10 + number, port),
        ));
      }
    }
    for (service, targets) in &self.services {
      let most = targets.iter().max().copied().unwrap_or(0);
      for target in 1..=most + 2 {
        let host = agent_host(*service, target);
        for port in [7100, 7200] {
          relays.push((self.net.at(host + 60, port), self.net.at(host, port)));
        }
      }
    }
    relays
  }

  /// Starts a balancer, or starts it again.
  pub fn start_balancer(&mut self, number: u8) {
    let peers = (1..=self.wanted_balancers)
      .filter(|other| *other != number)
      .map(|other| self.listed_balancer(other, 7100))
      .collect();
    let settings = settings::Balancer {
      api: self.balancer_api(number),
      bind: Some(ip(self.net.octets, 10 + number)),
      control: self.listed_balancer(number, 7100),
      data_centre: "ernakulam".into(),
      instance: id::Instance(number.into()),
      linger_ms: 1000,
      metrics: self.metrics,
      peers,
      platform: self.platform_front(number),
      tunnel: self.listed_balancer(number, 7200),
      workers: self.workers,
      ..settings::Balancer::default()
    };
    let name = format!("balancer-{number}");
    let child = self.program(BALANCER, &name, &settings);
    self.balancers.insert(number, child);
  }

  /// Starts an upstream and the agent beside it.
  pub fn start_target(&mut self, service: u16, target: u32) {
    self.spawn_upstream(service, target);
    self.start_agent(service, target);
  }

  fn spawn_upstream(&mut self, service: u16, target: u32) {
    let upstream = self.upstream_address(service, target).to_string();
    let name = format!("{service}-{target}");
    let slowness = match self.slow {
      Some((slow, times)) if slow == target => times.to_string(),
      _ => "1".to_owned(),
    };
    let arguments = [
      "upstream",
      "--listen",
      &upstream,
      "--name",
      &name,
      "--slowness",
      &slowness,
    ];
    let child = self.standin(&arguments);
    self.upstreams.insert((service, target), child);
  }

  /// Starts an upstream again and waits until it answers.
  pub async fn start_upstream(&mut self, service: u16, target: u32) {
    self.spawn_upstream(service, target);
    let upstream = self.upstream_address(service, target);
    until("an upstream answers", || async {
      let answer = web::request(upstream, Method::GET, "/journal", "", CALL_MAX).await;
      answer.is_ok()
    })
    .await;
  }

  /// Kills an upstream; its agent stays.
  pub fn kill_upstream(&mut self, service: u16, target: u32) {
    self.upstreams.remove(&(service, target));
  }

  /// Starts an agent, or starts it again.
  pub fn start_agent(&mut self, service: u16, target: u32) {
    self.start_agent_as((service, target), (service, target));
  }

  fn start_agent_as(&mut self, place: (u16, u32), identity: (u16, u32)) {
    let (service, target) = place;
    let host = agent_host(service, target);
    let settings = settings::Agent {
      api: self.agent_api(service, target),
      bind: Some(ip(self.net.octets, host)),
      certificate: self.directory.join("certificate.pem"),
      control: self.listed_agent(service, target, 7100),
      data_centre: "ernakulam".into(),
      log: logging(),
      instance: id::Instance(1000 + u32::from(service) * 100 + target),
      key: self.directory.join("key.pem"),
      peers: (1..=self.wanted_balancers)
        .map(|number| self.listed_balancer(number, 7100))
        .collect(),
      platform: self.platform_address(),
      service: id::Service(identity.0),
      target: id::Target(identity.1),
      tunnel: self.listed_agent(service, target, 7200),
      upstream: self.upstream_address(service, target),
      ..settings::Agent::default()
    };
    let name = format!("agent-{service}-{target}");
    let child = self.program(AGENT, &name, &settings);
    self.agents.insert((service, target), child);
  }

  /// Kills a target's agent and starts one of another service at its address.
  pub async fn replace_agent_by(&mut self, service: u16, target: u32, other: u16, as_target: u32) {
    self.agent(service, target).kill();
    self.start_agent_as((service, target), (other, as_target));
    self.wait_ready(self.agent_api(service, target)).await;
  }

  /// Every address that takes datagrams: the service's, and the tunnels of all processes.
  pub fn datagram_addresses(&self, service: u16) -> Vec<SocketAddr> {
    let balancers = self.balancers.keys();
    let mut addresses = vec![self.address(service)];
    addresses.extend(balancers.map(|number| self.listed_balancer(*number, 7200)));
    for (service, target) in self.agents.keys() {
      addresses.push(self.listed_agent(*service, *target, 7200));
    }
    addresses
  }

  fn program(&self, program: &str, name: &str, settings: &impl serde::Serialize) -> Child {
    let file = self.directory.join(format!("{name}.toml"));
    fs::write(&file, toml::to_string(settings).expect("settings")).expect("settings file");
    let log = self.directory.join(format!("{name}.log"));
    Child::start(program, &["--settings", &file.display().to_string()], &log)
  }

  pub fn standin<S: AsRef<std::ffi::OsStr>>(&self, arguments: &[S]) -> Child {
    Child::start(STANDIN, arguments, &self.directory.join("standins.log"))
  }

  /// Waits until every process serves.
  pub async fn ready(&self) {
    for number in self.balancers.keys() {
      self.wait_ready(self.balancer_api(*number)).await;
    }
    for (service, target) in self.agents.keys() {
      self.wait_ready(self.agent_api(*service, *target)).await;
    }
  }

  /// Waits until the process with this API serves.
  pub async fn wait_ready(&self, api: SocketAddr) {
    until("a process is ready", || async {
      let answer = web::request(api, Method::GET, "/v1/ready", "", CALL_MAX).await;
      matches!(answer, Ok((StatusCode::OK, _)))
    })
    .await;
  }

  async fn wait_for_platform(&self) {
    until("the platform answers", || async {
      let platform = self.platform_address();
      web::request(platform, Method::GET, "/v1/figures", "", CALL_MAX)
        .await
        .is_ok()
    })
    .await;
  }

  /// Publishes a document as an operator does, and returns its revision.
  pub async fn put(&self, key: &str, text: &str) -> u64 {
    let path = format!("/v1/documents/{key}");
    let answer = web::request(
      self.platform_address(),
      Method::PUT,
      &path,
      text.to_owned(),
      CALL_MAX,
    );
    let (_, body) = answer.await.expect("platform takes a document");
    let value: Value = serde_json::from_slice(&body).expect("revision");
    value["revision"].as_u64().expect("revision")
  }

  /// Publishes a service as it is wanted now.
  pub async fn publish(&mut self, service: u16) -> u64 {
    self.generation += 1;
    let document = json!(self.document(service)).to_string();
    self.put(&format!("service/{service}"), &document).await
  }

  /// The document of a service as it is wanted now.
  pub fn document(&self, service: u16) -> config::Service {
    let targets = self.services[&service]
      .iter()
      .map(|target| config::Target {
        agent: self.listed_agent(service, *target, 7200),
        connections: self.connections,
        id: id::Target(*target),
        leaving: false,
        slots: self.slots,
      })
      .collect();
    config::Service {
      address: self.address(service),
      drain_s: self.drain_s,
      generation: self.generation,
      id: id::Service(service),
      name: format!("service-{service}"),
      ramp_s: 0,
      repeat_window_s: 600,
      routes: if self.without_routes {
        Vec::new()
      } else {
        routes(self.deadline_ms)
      },
      targets,
    }
  }

  /// Puts a balancer on the list of instances.
  pub async fn list_balancer(&self, number: u8, presence: Presence) {
    let instance = config::Instance {
      control: self.listed_balancer(number, 7100),
      data_centre: "ernakulam".into(),
      id: id::Instance(number.into()),
      presence,
      role: Role::Balancer,
      tunnel: self.listed_balancer(number, 7200),
    };
    let text = json!(instance).to_string();
    self.put(&format!("instance/{number}"), &text).await;
  }

  /// Sets the platform's condition: `up`, `down` or `stale`.
  pub async fn platform_condition(&self, condition: &str) {
    let answer = web::request(
      self.platform_address(),
      Method::POST,
      "/v1/condition",
      condition.to_owned(),
      CALL_MAX,
    );
    answer.await.expect("platform takes a condition");
  }

  /// Has the fabric spray a service's packets to these balancers.
  pub async fn spray(&self, service: u16, balancers: &[u8]) {
    let backs = balancers.iter().map(|number| self.entry(*number, service));
    let front = json!({ "backs": backs.collect::<Vec<_>>(), "listen": self.address(service) });
    self.fabric_post("/v1/front", &front).await;
  }

  /// Has the fabric inject faults.
  pub async fn plan(&self, plan: &Plan) {
    self.fabric_post("/v1/plan", &json!(plan)).await;
  }

  /// What the fabric has carried.
  pub async fn fabric_figures(&self) -> Value {
    get(self.fabric_address(), "/v1/figures").await
  }

  async fn fabric_post(&self, path: &str, body: &Value) {
    let answer = web::request(
      self.fabric_address(),
      Method::POST,
      path,
      body.to_string(),
      CALL_MAX,
    );
    let (status, _) = answer.await.expect("fabric answers");
    assert_eq!(status, StatusCode::OK);
  }

  /// Opens a flow to a service.
  pub async fn caller(&self, service: u16) -> Caller {
    let roots = [self.certificate.clone()];
    Caller::open(self.address(service), NAME, &roots)
      .await
      .expect("a flow opens")
  }

  /// Opens a flow, or says why not.
  pub async fn try_caller(&self, service: u16) -> Result<Caller, fallwell::code::Fault> {
    let roots = [self.certificate.clone()];
    Caller::open(self.address(service), NAME, &roots).await
  }

  /// Publishes the keyring and waits until every process has it in force.
  pub async fn publish_keyring(&self) {
    let text = json!(self.keyring).to_string();
    self.put("keyring", &text).await;
    let current = self.keyring.current;
    let secrets = self.keyring.secrets.len();
    until("the keyring is in force", || async {
      for api in self.apis() {
        let keyring = &get(api, "/v1/state").await["config"]["keyring"];
        if keyring["current"] != current || keyring["secrets"] != secrets {
          return false;
        }
      }
      true
    })
    .await;
  }

  /// The API addresses of all processes.
  pub fn apis(&self) -> Vec<SocketAddr> {
    let balancers = self
      .balancers
      .keys()
      .map(|number| self.balancer_api(*number));
    let agents = self.agents.keys();
    let agents = agents.map(|(service, target)| self.agent_api(*service, *target));
    balancers.chain(agents).collect()
  }

  /// Waits until balancers have a revision of a service in force.
  pub async fn wait_in_force(&self, balancers: &[u8], service: u16, revision: u64) {
    until("a revision is in force", || async {
      for number in balancers {
        let path = format!("/v1/services/{service}");
        let resource = get(self.balancer_api(*number), &path).await;
        let newest = resource["revision_in_force"].as_u64() >= Some(revision);
        if !newest || resource["conditions"]["in_force"]["status"] != true {
          return false;
        }
      }
      true
    })
    .await;
  }

  /// Waits until a target takes nothing new.
  pub async fn wait_leaving(&self, service: u16, target: u32) {
    until("a target leaves", || async {
      self.agent_state(service, target).await["path"]["leaving"] == true
    })
    .await;
  }

  /// Waits until a target has a revision in force and takes new flows.
  pub async fn wait_taking(&self, service: u16, target: u32, revision: u64) {
    until("a target takes flows", || async {
      let path = &self.agent_state(service, target).await["path"];
      path["leaving"] == false && path["revision"].as_u64() >= Some(revision)
    })
    .await;
  }

  /// Waits until a target runs so many requests.
  pub async fn wait_requests(&self, service: u16, target: u32, count: u64) {
    until("requests run", || async {
      let state = self.agent_state(service, target).await;
      state["path"]["requests"].as_u64() >= Some(count)
    })
    .await;
  }

  /// Waits until the platform was read so many times more.
  pub async fn wait_for_reads(&self, count: u64) {
    let before = self.reads().await;
    until("the platform is read", || async {
      self.reads().await >= before + count
    })
    .await;
  }

  async fn reads(&self) -> u64 {
    let figures = get(self.platform_address(), "/v1/figures").await;
    figures["reads"].as_u64().expect("reads")
  }

  /// Replaces the platform by one that has only an old copy, with lower revisions.
  pub async fn platform_goes_back(&mut self, service: u16, document: &str) {
    self.platform = None;
    let listen = self.platform_address().to_string();
    self.platform = Some(self.standin(&["platform", "--listen", &listen]));
    self.wait_for_platform().await;
    self.put(&format!("service/{service}"), document).await;
  }

  /// The pairs of numbers to cut so that two groups of balancers do not reach each other.
  pub fn cuts_between_balancers(&self, some: &[u8], others: &[u8]) -> Vec<(IpAddr, IpAddr)> {
    let mut cuts = Vec::new();
    for a in some {
      for b in others {
        cuts.push((ip(self.net.octets, 10 + a), ip(self.net.octets, 10 + b)));
      }
    }
    cuts
  }

  /// The pair of numbers to cut so that a balancer does not reach the platform.
  pub fn cut_from_platform(&self, number: u8) -> (IpAddr, IpAddr) {
    (
      self.platform_front(number).ip(),
      self.platform_address().ip(),
    )
  }

  /// The pairs of numbers to cut so that balancers do not reach agents.
  pub fn cuts_to_agents(
    &self,
    service: u16,
    balancers: &[u8],
    targets: &[u32],
  ) -> Vec<(IpAddr, IpAddr)> {
    let mut cuts = Vec::new();
    for a in balancers {
      for b in targets {
        let host = agent_host(service, *b);
        cuts.push((ip(self.net.octets, 10 + a), ip(self.net.octets, host)));
      }
    }
    cuts
  }

  /// The state dump of a balancer.
  pub async fn balancer_state(&self, number: u8) -> Value {
    get(self.balancer_api(number), "/v1/state").await
  }

  /// The state dump of an agent.
  pub async fn agent_state(&self, service: u16, target: u32) -> Value {
    get(self.agent_api(service, target), "/v1/state").await
  }

  /// A balancer's process.
  pub fn balancer(&mut self, number: u8) -> &mut Child {
    self.balancers.get_mut(&number).expect("balancer")
  }

  /// An agent's process.
  pub fn agent(&mut self, service: u16, target: u32) -> &mut Child {
    self.agents.get_mut(&(service, target)).expect("agent")
  }

  /// The targets of a service, to be changed before it is published again.
  pub fn targets(&mut self, service: u16) -> &mut Vec<u32> {
    self.services.get_mut(&service).expect("service")
  }

  /// The keyring, to be changed before it is published again.
  pub fn keyring(&mut self) -> &mut config::Keyring {
    &mut self.keyring
  }

  /// The file with the certificate that callers trust.
  pub fn certificate_file(&self) -> PathBuf {
    self.directory.join("certificate.pem")
  }

  /// Makes a new certificate and key in the files that agents read, and trusts it from now on.
  pub fn renew_certificate(&mut self) {
    self.certificate = certificate(&self.directory);
  }

  pub fn address(&self, service: u16) -> SocketAddr {
    self.net.at(200 + service as u8, 4433 + service)
  }

  pub fn entry(&self, number: u8, service: u16) -> SocketAddr {
    self.net.at(10 + number, 4433 + service)
  }

  pub fn balancer_api(&self, number: u8) -> SocketAddr {
    self.net.at(10 + number, 7300)
  }

  pub fn agent_api(&self, service: u16, target: u32) -> SocketAddr {
    self.net.at(agent_host(service, target), 7300)
  }

  pub fn upstream_address(&self, service: u16, target: u32) -> SocketAddr {
    self.net.at(agent_host(service, target), 8080)
  }

  pub fn platform_address(&self) -> SocketAddr {
    self.net.at(1, 7000)
  }

  /// Where a balancer reaches the platform: a front of its own, so that it can be cut off.
  fn platform_front(&self, number: u8) -> SocketAddr {
    if self.relayed {
      self.net.at(220 + number, 7000)
    } else {
      self.platform_address()
    }
  }

  fn fabric_address(&self) -> SocketAddr {
    self.net.at(1, 7001)
  }

  fn listed_balancer(&self, number: u8, port: u16) -> SocketAddr {
    let host = if self.relayed { 50 } else { 10 };
    self.net.at(host + number, port)
  }

  pub fn listed_agent(&self, service: u16, target: u32, port: u16) -> SocketAddr {
    let host = agent_host(service, target) + if self.relayed { 60 } else { 0 };
    self.net.at(host, port)
  }
}

/// What the operator of the tests says of the upstream stand-in's requests.
fn routes(deadline_ms: u64) -> Vec<config::Route> {
  let route = |method: &str, path: &str| config::Route {
    deadline_ms,
    method: method.into(),
    path: path.into(),
    ..config::Route::default()
  };
  vec![
    config::Route {
      feed: true,
      ..route("GET", "/feed")
    },
    config::Route {
      repeatable: true,
      ..route("GET", "/")
    },
    config::Route {
      weight: 2,
      ..route("POST", "/confirm")
    },
    route("POST", "/"),
  ]
}

fn logging() -> fallwell::logging::Settings {
  fallwell::logging::Settings {
    level: "debug".into(),
    ..fallwell::logging::Settings::default()
  }
}

/// Agents stand at 81 to 110, twenty to a service; relayed ones are listed 60 higher.
fn agent_host(service: u16, target: u32) -> u8 {
  70 + service as u8 * 15 + target as u8
}

/// Reads JSON from a process's API.
pub async fn get(api: SocketAddr, path: &str) -> Value {
  let (_, body) = web::request(api, Method::GET, path, "", CALL_MAX)
    .await
    .expect("api answers");
  serde_json::from_slice(&body).expect("json")
}

fn certificate(directory: &std::path::Path) -> CertificateDer<'static> {
  let made = rcgen::generate_simple_self_signed([NAME.to_owned()]).expect("certificate");
  fs::write(directory.join("certificate.pem"), made.cert.pem()).expect("certificate file");
  fs::write(directory.join("key.pem"), made.signing_key.serialize_pem()).expect("key file");
  made.cert.der().clone()
}
