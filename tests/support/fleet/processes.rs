//! Processes, started and ended.

use {
  super::{AGENT, BALANCER, CALL_MAX, Fleet, STANDIN, agent_host, ip, logging},
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

  pub(super) fn spawn_upstream(&mut self, service: u16, target: u32) {
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

  pub(super) fn start_agent_as(&mut self, place: (u16, u32), identity: (u16, u32)) {
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

  pub(super) fn program(
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

  pub fn standin<S: AsRef<std::ffi::OsStr>>(&self, arguments: &[S]) -> Child {
    Child::start(STANDIN, arguments, &self.directory.join("standins.log"))
  }

  /// A balancer's process.
  pub fn balancer(&mut self, number: u8) -> &mut Child {
    self.balancers.get_mut(&number).expect("balancer")
  }

  /// Freezes an agent.
  pub fn freeze_agent(&self, service: u16, target: u32) {
    self.agents[&(service, target)].freeze();
  }

  /// Lets a frozen agent go on.
  pub fn thaw_agent(&self, service: u16, target: u32) {
    self.agents[&(service, target)].thaw();
  }

  /// An agent's process.
  pub fn agent(&mut self, service: u16, target: u32) -> &mut Child {
    self.agents.get_mut(&(service, target)).expect("agent")
  }
}
