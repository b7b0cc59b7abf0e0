//! The address plan of a fleet. Last octets within its block of loopback addresses:
//!
//! - 1: the platform (port 7000) and the API of the fabric (port 7001)
//! - 10 + N: balancer N; 50 + N: its relay, if the fleet is relayed
//! - from 86: agents and their upstreams; 60 higher: relays of the agents
//! - 200 + N: service N
//! - 220 + N: the relay through which balancer N reaches the platform
//!
//! Ports: 7100 for control traffic, 7200 for the tunnel, 7300 for the API, 8080 for upstreams.

use {
  super::{Fleet, agent_host},
  std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
  },
};

impl Fleet {
  /// The address of each relay of a balancer or agent, with the address behind it; includes relays
  /// for processes that a test adds later.
  pub(super) fn relays(&self) -> Vec<(SocketAddr, SocketAddr)> {
    let mut relays = Vec::new();
    for number in 1..=self.balancer_count + 2 {
      for port in [7100, 7200] {
        relays.push((
          self.addresses.socket_address(50 + number, port),
          self.addresses.socket_address(10 + number, port),
        ));
      }
    }
    for (service, targets) in &self.services {
      let highest = targets.iter().max().copied().unwrap_or(0);
      for target in 1..=highest + 2 {
        let host = agent_host(*service, target);
        for port in [7100, 7200] {
          relays.push((
            self.addresses.socket_address(host + 60, port),
            self.addresses.socket_address(host, port),
          ));
        }
      }
    }
    relays
  }

  /// Addresses that receive datagrams: that of the service and the tunnels of all balancers and
  /// agents.
  pub fn datagram_addresses(&self, service: u16) -> Vec<SocketAddr> {
    let balancers = self.balancers.keys();
    let mut addresses = vec![self.address(service)];
    addresses.extend(balancers.map(|number| self.published_balancer(*number, 7200)));
    for (service, target) in self.agents.keys() {
      addresses.push(self.published_agent(*service, *target, 7200));
    }
    addresses
  }

  /// The API addresses of all balancers and agents.
  pub fn apis(&self) -> Vec<SocketAddr> {
    let balancers = self
      .balancers
      .keys()
      .map(|number| self.balancer_api(*number));
    let agents = self.agents.keys();
    let agents = agents.map(|(service, target)| self.agent_api(*service, *target));
    balancers.chain(agents).collect()
  }

  /// The pairs of IP addresses to cut in order to separate two groups of balancers.
  pub fn cuts_between_balancers(&self, group: &[u8], others: &[u8]) -> Vec<(IpAddr, IpAddr)> {
    let mut cuts = Vec::new();
    for a in group {
      for b in others {
        cuts.push((self.addresses.ip(10 + a), self.addresses.ip(10 + b)));
      }
    }
    cuts
  }

  /// The pairs of IP addresses to cut in order to separate two groups of agents of a service.
  pub fn cuts_between_agents(
    &self,
    service: u16,
    group: &[u32],
    others: &[u32],
  ) -> Vec<(IpAddr, IpAddr)> {
    let ip = |target| self.addresses.ip(agent_host(service, target));
    let pairs = group
      .iter()
      .flat_map(|a| others.iter().map(move |b| (*a, *b)));
    pairs.map(|(a, b)| (ip(a), ip(b))).collect()
  }

  /// The pair of IP addresses to cut in order to separate a balancer from the platform.
  pub fn cut_from_platform(&self, number: u8) -> (IpAddr, IpAddr) {
    (
      self.platform_front(number).ip(),
      self.platform_address().ip(),
    )
  }

  /// The pairs of IP addresses to cut in order to separate balancers from agents of a service.
  pub fn cuts_to_agents(
    &self,
    service: u16,
    balancers: &[u8],
    targets: &[u32],
  ) -> Vec<(IpAddr, IpAddr)> {
    let mut cuts = Vec::new();
    for balancer in balancers {
      for target in targets {
        let host = agent_host(service, *target);
        cuts.push((self.addresses.ip(10 + balancer), self.addresses.ip(host)));
      }
    }
    cuts
  }

  /// The file of the current certificate, which callers trust.
  pub fn certificate_file(&self) -> PathBuf {
    self.directory.join("certificate.pem")
  }

  /// The address at which callers reach a service.
  pub fn address(&self, service: u16) -> SocketAddr {
    self
      .addresses
      .socket_address(200 + service as u8, 4433 + service)
  }

  /// The address at which a balancer receives a service's packets from the fabric.
  pub fn balancer_service_address(&self, number: u8, service: u16) -> SocketAddr {
    self.addresses.socket_address(10 + number, 4433 + service)
  }

  pub fn balancer_api(&self, number: u8) -> SocketAddr {
    self.addresses.socket_address(10 + number, 7300)
  }

  pub fn agent_api(&self, service: u16, target: u32) -> SocketAddr {
    self
      .addresses
      .socket_address(agent_host(service, target), 7300)
  }

  pub fn upstream_address(&self, service: u16, target: u32) -> SocketAddr {
    self
      .addresses
      .socket_address(agent_host(service, target), 8080)
  }

  pub fn platform_address(&self) -> SocketAddr {
    self.addresses.socket_address(1, 7000)
  }

  /// Where a balancer reaches the platform: if relayed, a relay of its own that can be cut.
  pub(super) fn platform_front(&self, number: u8) -> SocketAddr {
    if self.relayed {
      self.addresses.socket_address(220 + number, 7000)
    } else {
      self.platform_address()
    }
  }

  pub(super) fn fabric_address(&self) -> SocketAddr {
    self.addresses.socket_address(1, 7001)
  }

  /// The published address of a balancer: that of its relay, if there is one.
  pub(super) fn published_balancer(&self, number: u8, port: u16) -> SocketAddr {
    let host = if self.relayed { 50 } else { 10 };
    self.addresses.socket_address(host + number, port)
  }

  /// The published address of an agent: that of its relay, if there is one.
  pub fn published_agent(&self, service: u16, target: u32, port: u16) -> SocketAddr {
    let host = agent_host(service, target) + if self.relayed { 60 } else { 0 };
    self.addresses.socket_address(host, port)
  }
}
