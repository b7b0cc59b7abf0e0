//! Starting and stopping the processes of a fleet.

use {
  super::{AGENT, BALANCER, CALL_TIMEOUT, Fleet, STANDIN, agent_host, debug_logging},
  crate::support::{child::Child, wait::until},
  fallwell::{id, settings, web},
  http::Method,
  std::fs,
};

impl Fleet {
  pub(super) fn start_fabric(&mut self) {
    let mut arguments = vec![
      "fabric".to_owned(),
      "--listen".into(),
      self.fabric_address().to_string(),
    ];
    for service in self.services.keys() {
      let balancers = (1..=self.balancer_count)
        .map(|number| self.balancer_service_address(number, *service).to_string());
      let balancers = balancers.collect::<Vec<_>>().join(",");
      arguments.push("--front".into());
      arguments.push(format!("{}={balancers}", self.address(*service)));
    }
    if self.relayed {
      for number in 1..=self.balancer_count + 2 {
        let (front, back) = (self.platform_front(number), self.platform_address());
        arguments.push("--front".into());
        arguments.push(format!("{front}={back}"));
      }
      for (front, back) in self.relays() {
        arguments.push("--front".into());
        arguments.push(format!("{front}={back}"));
      }
    }
    self.fabric = Some(self.start_standin(&arguments));
  }

  /// Starts or restarts a balancer.
  pub fn start_balancer(&mut self, number: u8) {
    let peers = (1..=self.balancer_count)
      .filter(|other| *other != number)
      .map(|other| self.published_balancer(other, 7100))
      .collect();
    let settings = settings::Balancer {
      api: self.balancer_api(number),
      bind: Some(self.addresses.ip(10 + number)),
      control: self.published_balancer(number, 7100),
      data_centre: "ernakulam".into(),
      instance: id::Instance(number.into()),
      linger_ms: 1000,
      metrics: self.metrics,
      peers,
      platform: self.platform_front(number),
      tunnel: self.published_balancer(number, 7200),
      workers: self.workers,
      ..settings::Balancer::default()
    };
    let name = format!("balancer-{number}");
    let child = self.start_program(BALANCER, &name, &settings);
    self.balancers.insert(number, child);
  }

  /// Starts an upstream and its agent.
  pub fn start_target(&mut self, service: u16, target: u32) {
    self.spawn_upstream(service, target);
    self.start_agent(service, target);
  }

  pub(super) fn spawn_upstream(&mut self, service: u16, target: u32) {
    let upstream = self.upstream_address(service, target).to_string();
    let name = format!("{service}-{target}");
    let slowness = match self.slow_target {
      Some(slow) if slow == target => self.slowness.to_string(),
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
    let child = self.start_standin(&arguments);
    self.upstreams.insert((service, target), child);
  }

  /// Starts or restarts an upstream and waits until it answers.
  pub async fn start_upstream(&mut self, service: u16, target: u32) {
    self.spawn_upstream(service, target);
    let upstream = self.upstream_address(service, target);
    until("an upstream answers", || async {
      let answer = web::request(upstream, Method::GET, "/journal", "", CALL_TIMEOUT).await;
      answer.is_ok()
    })
    .await;
  }

  /// Kills an upstream and leaves its agent running.
  pub fn kill_upstream(&mut self, service: u16, target: u32) {
    self.upstreams.remove(&(service, target));
  }

  /// Starts or restarts an agent.
  pub fn start_agent(&mut self, service: u16, target: u32) {
    self.start_agent_as((service, target), (service, target));
  }

  /// Starts an agent at the address of one target with the identity of another, each a service and
  /// target number.
  pub(super) fn start_agent_as(&mut self, address_of: (u16, u32), identity: (u16, u32)) {
    let (service, target) = address_of;
    let host = agent_host(service, target);
    let settings = settings::Agent {
      api: self.agent_api(service, target),
      bind: Some(self.addresses.ip(host)),
      certificate: self.directory.join("certificate.pem"),
      control: self.published_agent(service, target, 7100),
      data_centre: "ernakulam".into(),
      log: debug_logging(),
      instance: id::Instance(1000 + u32::from(service) * 100 + target),
      key: self.directory.join("key.pem"),
      peers: (1..=self.balancer_count)
        .map(|number| self.published_balancer(number, 7100))
        .collect(),
      platform: self.platform_address(),
      service: id::Service(identity.0),
      target: id::Target(identity.1),
      tunnel: self.published_agent(service, target, 7200),
      upstream: self.upstream_address(service, target),
      ..settings::Agent::default()
    };
    let name = format!("agent-{service}-{target}");
    let child = self.start_program(AGENT, &name, &settings);
    self.agents.insert((service, target), child);
  }

  /// Kills a target's agent, starts an agent with another identity at its address and waits until
  /// that is ready.
  pub async fn replace_agent(
    &mut self,
    service: u16,
    target: u32,
    new_service: u16,
    new_target: u32,
  ) {
    self.agent(service, target).kill();
    self.start_agent_as((service, target), (new_service, new_target));
    self.wait_ready(self.agent_api(service, target)).await;
  }

  /// Starts a program with its settings file and log file in the fleet's directory.
  pub(super) fn start_program(
    &self,
    program: &str,
    name: &str,
    settings: &impl serde::Serialize,
  ) -> Child {
    let file = self.directory.join(format!("{name}.toml"));
    fs::write(&file, toml::to_string(settings).expect("settings")).expect("settings file");
    let log = self.directory.join(format!("{name}.log"));
    Child::start(program, &["--settings", &file.display().to_string()], &log)
  }

  /// Starts the stand-in program with these arguments.
  pub fn start_standin<S: AsRef<std::ffi::OsStr>>(&self, arguments: &[S]) -> Child {
    Child::start(STANDIN, arguments, &self.directory.join("standins.log"))
  }

  /// A balancer's process.
  pub fn balancer(&mut self, number: u8) -> &mut Child {
    self.balancers.get_mut(&number).expect("balancer")
  }

  /// Suspends an agent with SIGSTOP, through a shared reference to the fleet.
  pub fn suspend_agent(&self, service: u16, target: u32) {
    self.agents[&(service, target)].suspend();
  }

  /// Resumes a suspended agent.
  pub fn resume_agent(&self, service: u16, target: u32) {
    self.agents[&(service, target)].resume();
  }

  /// An agent's process.
  pub fn agent(&mut self, service: u16, target: u32) -> &mut Child {
    self.agents.get_mut(&(service, target)).expect("agent")
  }
}
