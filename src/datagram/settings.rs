use {
  super::{Overload, Rate, Service, target::Identity},
  crate::{
    code::{Code, Fault},
    logging,
  },
  serde::{Deserialize, Serialize},
  std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
  },
};

/// The settings of a process of either role.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
  /// The address that serves metrics and state to operators (TCP).
  pub api: SocketAddrV4,
  /// Where a balancer receives callers' packets (UDP). Its port is also the port at which callers
  /// receive theirs.
  pub callers: SocketAddrV4,
  /// The time over which balancers, one after another, stop placing flows in an evacuated data
  /// centre.
  pub closing: Duration,
  /// The data centre that the instance is in.
  pub data_centre: String,
  /// Whether the whole system starts for the first time, so that no older flow can exist.
  pub first_start: bool,
  /// The rate of the instance's link; none if unknown.
  pub link: Option<Rate>,
  /// The log's format and level.
  pub log: logging::Settings,
  /// How new flows are handled while targets can't serve all of them in time.
  pub overload: Overload,
  /// Where frames (UDP) and update requests (TCP) of peers arrive; the port is the same on all
  /// instances.
  pub peers: SocketAddrV4,
  /// The address of the platform's store (TCP).
  pub platform: SocketAddrV4,
  /// The address that serves the readiness check (TCP).
  pub readiness: SocketAddrV4,
  /// The `peers` addresses of some balancers, to be contacted at the start.
  pub seeds: Vec<SocketAddrV4>,
  /// The upstream of an agent; none for a balancer.
  pub upstream: Option<Upstream>,
}

/// The upstream on the same instance as an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
  /// Where it receives packets (UDP).
  pub address: SocketAddrV4,
  /// Where the agent receives the packets that it sends (UDP).
  pub outbound: SocketAddrV4,
  /// The service that it belongs to.
  pub service: Service,
}

impl Upstream {
  /// What distinguishes it from other targets on the same instance.
  pub fn identity(&self) -> Identity {
    Identity::new(self.address, &self.service)
  }
}

impl Default for Settings {
  fn default() -> Self {
    let local = |port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    Self {
      api: local(7402),
      callers: local(4400),
      closing: Duration::ZERO,
      data_centre: "default".into(),
      first_start: false,
      link: None,
      log: logging::Settings::default(),
      overload: Overload::default(),
      peers: local(7400),
      platform: local(7000),
      readiness: local(7401),
      seeds: Vec::new(),
      upstream: None,
    }
  }
}

impl Settings {
  /// The limits and intervals of the machines with these settings.
  pub fn tuning(&self) -> Tuning {
    Tuning {
      overload: self.overload,
      ..Tuning::default()
    }
  }

  /// Checks the values. Fails if a port that all instances share is 0.
  pub fn check(&self) -> Result<(), Fault> {
    if self.peers.port() == 0 || self.callers.port() == 0 {
      return Err(Fault::new(
        Code::SettingsInvalid,
        "found port 0 in `peers` or `callers`, expected the port that all instances share",
      ));
    }
    Ok(())
  }
}

/// Limits and intervals of the machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
  /// The longest life of a flow, hence how long after its start an agent may get packets of flows
  /// that it doesn't know.
  pub flow_lifetime: Duration,
  /// The cost of a target for being in another data centre: when targets are compared, it counts as
  /// much as this many milliseconds of waiting for the answer.
  pub crossing_ms: f64,
  /// The cost that is added to `crossing_ms`, in the same unit, for each kilobyte of the target's
  /// average request with its answer.
  pub crossing_ms_per_kb: f64,
  /// The shortest time for which an opened flow counts as a request in flight while its first
  /// request has not arrived.
  pub arrival_min: Duration,
  /// How long an opened flow counts as a request in flight before the arrival of any first request
  /// has been observed.
  pub arrival_initial: Duration,
  /// How long a reset flow is remembered.
  pub dead: Duration,
  /// The interval of statuses to balancers of other data centres, where traffic is paid for;
  /// shorter than `peer_timeout`.
  pub remote_status: Duration,
  /// The interval of a balancer's statuses to agents of other data centres. Updates are pushed to
  /// them at once.
  pub remote_agent_status: Duration,
  /// The most flows that are remembered.
  pub flows_max: usize,
  /// The idle timeout of flows before there is a configuration.
  pub idle: Duration,
  /// The shortest, and the initial, time that a target has to answer an opening packet before
  /// another is tried. A round trip between data centres takes 3 ms.
  pub open_wait: Duration,
  /// How new flows are handled while targets can't serve all of them in time.
  pub overload: Overload,
  /// How many balancers read the platform.
  pub readers: usize,
  /// The shortest interval between two load reports.
  pub report: Duration,
  /// How long a search waits for answers before it repeats its queries; the wait doubles each time.
  pub search: Duration,
  /// How long a search waits for the agents of the balancer's own data centre before it queries all
  /// others; longer than `test`, since an agent that has just started may have to run a test first.
  pub search_local: Duration,
  /// The most bytes of packets that are buffered while their flows are searched for.
  pub search_bytes: usize,
  /// The time without a frame after which a process counts as unresponsive.
  pub peer_timeout: Duration,
  /// The longest interval between two statuses of a process.
  pub status: Duration,
  /// How old the platform's latest confirmation of the catalog may become before a balancer reads
  /// the platform itself; longer than a watch of the reader and the propagation of its status.
  pub takeover: Duration,
  /// The fraction of its route's objective for which a new flow may be queued, so that its request
  /// can still be answered in time.
  pub wait_part: f64,
  /// As `wait_part`, for a route that has precedence over others of its service.
  pub wait_part_first: f64,
  /// How long an agent waits for the upstream to return a packet that it sent as a test.
  pub test: Duration,
}

impl Default for Tuning {
  fn default() -> Self {
    Self {
      flow_lifetime: Duration::from_mins(1),
      crossing_ms: 30.0,
      crossing_ms_per_kb: 12.0,
      dead: Duration::from_secs(3),
      arrival_min: Duration::from_millis(20),
      arrival_initial: Duration::from_millis(300),
      remote_status: Duration::from_millis(700),
      remote_agent_status: Duration::from_secs(2),
      flows_max: 200_000,
      idle: Duration::from_mins(1),
      open_wait: Duration::from_millis(40),
      overload: Overload::default(),
      readers: 1,
      report: Duration::from_millis(100),
      search: Duration::from_millis(150),
      search_bytes: 4 << 20,
      search_local: Duration::from_millis(50),
      peer_timeout: Duration::from_millis(1500),
      status: Duration::from_millis(500),
      takeover: Duration::from_millis(1800),
      wait_part: 0.55,
      wait_part_first: 0.75,
      test: Duration::from_millis(30),
    }
  }
}
