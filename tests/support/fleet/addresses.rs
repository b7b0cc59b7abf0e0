//! Where everything stands: each process at an IP number of its own.

use {
  super::{Fleet, agent_host, ip},
  std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
  },
};

impl Fleet {
  /// The listed addresses of all processes that there may be, and the ones behind them.
  pub(super) fn relays(&self) -> Vec<(SocketAddr, SocketAddr)> {
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

  /// The pairs of numbers to cut so that agents do not reach each other.
  pub fn cuts_between_agents(
    &self,
    service: u16,
    some: &[u32],
    others: &[u32],
  ) -> Vec<(IpAddr, IpAddr)> {
    let host = |target| ip(self.net.octets, agent_host(service, target));
    let pairs = some
      .iter()
      .flat_map(|a| others.iter().map(move |b| (*a, *b)));
    pairs.map(|(a, b)| (host(a), host(b))).collect()
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

  /// The file with the certificate that callers trust.
  pub fn certificate_file(&self) -> PathBuf {
    self.directory.join("certificate.pem")
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
  pub(super) fn platform_front(&self, number: u8) -> SocketAddr {
    if self.relayed {
      self.net.at(220 + number, 7000)
    } else {
      self.platform_address()
    }
  }

  pub(super) fn fabric_address(&self) -> SocketAddr {
    self.net.at(1, 7001)
  }

  pub(super) fn listed_balancer(&self, number: u8, port: u16) -> SocketAddr {
    let host = if self.relayed { 50 } else { 10 };
    self.net.at(host + number, port)
  }

  pub fn listed_agent(&self, service: u16, target: u32, port: u16) -> SocketAddr {
    let host = agent_host(service, target) + if self.relayed { 60 } else { 0 };
    self.net.at(host, port)
  }
}
