use {
  super::{Rate, Service},
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

/// What an instance is, and where it listens. The same for both roles.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
  /// Where the metrics and the state are served (TCP).
  pub api: SocketAddrV4,
  /// Where callers' packets arrive (UDP). Callers take packets at this port too.
  pub callers: SocketAddrV4,
  /// The time over which new flows are taken from a data centre that was closed.
  pub closing: Duration,
  /// The data centre that it stands in.
  pub data_centre: String,
  /// Whether the whole system starts for the first time, so that no flow can be older.
  pub first_start: bool,
  /// What the instance's link carries; nothing is known of it where this is not set.
  pub link: Option<Rate>,
  /// How it logs.
  pub log: logging::Settings,
  /// Where frames (UDP) and questions (TCP) of peers arrive; the port is the same everywhere.
  pub peers: SocketAddrV4,
  /// The platform's store (TCP).
  pub platform: SocketAddrV4,
  /// Where it is asked whether it is ready (TCP).
  pub readiness: SocketAddrV4,
  /// Some balancers, by the address where their peers reach them.
  pub seeds: Vec<SocketAddrV4>,
  /// What an agent stands beside; none at a balancer.
  pub upstream: Option<Upstream>,
}

/// The upstream beside an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
  /// Where it takes packets (UDP).
  pub address: SocketAddrV4,
  /// Where its own packets arrive (UDP).
  pub outbound: SocketAddrV4,
  /// The service that it serves.
  pub service: Service,
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
      peers: local(7400),
      platform: local(7000),
      readiness: local(7401),
      seeds: Vec::new(),
      upstream: None,
    }
  }
}

impl Settings {
  /// Checks what the types alone do not.
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

/// The bounds and times of the decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
  /// How long after a start an agent may meet flows that it does not know: a flow's longest life.
  pub amnesia: Duration,
  /// What it costs, in milliseconds of waiting, to leave the data centre: always, and for each
  /// kilobyte of a request and its answer. Traffic between data centres has a price; of (10, 8),
  /// (20, 16), (40, 8) and (40, 32) the two in the middle did best.
  pub crossing: (f64, f64),
  /// How long an opened flow counts as work before its first request has come: at least, which
  /// callers near by need, and before it is known what callers need.
  pub expected: (Duration, Duration),
  /// How long a flow that was reset is remembered.
  pub dead: Duration,
  /// How often a process of another data centre is told at most: between data centres a byte has a
  /// price. It has to be told more often than `silent`.
  pub far: Duration,
  /// How often an agent in another data centre is told by a balancer; it hears news at once.
  pub far_agent: Duration,
  /// How many flows are remembered.
  pub flows_max: usize,
  /// How long a flow without packets is remembered where the configuration does not say.
  pub idle: Duration,
  /// How long a target may take for an opening packet before another is asked. Targets answer
  /// within a millisecond; a round trip between data centres takes three.
  pub open_wait: Duration,
  /// How many balancers read from the platform.
  pub readers: usize,
  /// How often load is told at most.
  pub report: Duration,
  /// How long a search waits for answers before it asks those again that are silent; each time
  /// twice as long.
  pub search: Duration,
  /// How long agents of the balancer's own data centre are waited for before all others are asked
  /// too: longer than `test`, since one that has just started tries first.
  pub search_local: Duration,
  /// How many bytes of packets are held while their flows are searched for.
  pub search_bytes: usize,
  /// A process that was not heard of for so long is passed over.
  pub silent: Duration,
  /// How often a process tells of itself at least.
  pub status: Duration,
  /// A balancer reads itself once nobody's word of the platform is younger: longer than a watch
  /// takes and its word spreads, and short enough that a configuration is in force in time.
  pub takeover: Duration,
  /// The part of a route's objective that a new flow may wait for its answer: measured on the days
  /// that end with a loss of power, 0.5 and 0.6 did equally well, and 0.8 worse.
  pub wait_part: f64,
  /// The same for a route that others of its service go behind: at 0.75 most of what is placed is
  /// still answered in time.
  pub wait_part_first: f64,
  /// How long an agent waits for an upstream to send back a packet that it may not hold.
  pub test: Duration,
}

impl Default for Tuning {
  fn default() -> Self {
    Self {
      amnesia: Duration::from_mins(1),
      crossing: (30.0, 12.0),
      dead: Duration::from_secs(3),
      expected: (Duration::from_millis(20), Duration::from_millis(300)),
      far: Duration::from_millis(700),
      far_agent: Duration::from_secs(2),
      flows_max: 200_000,
      idle: Duration::from_mins(1),
      open_wait: Duration::from_millis(40),
      readers: 1,
      report: Duration::from_millis(100),
      search: Duration::from_millis(150),
      search_bytes: 4 << 20,
      search_local: Duration::from_millis(50),
      silent: Duration::from_millis(1500),
      status: Duration::from_millis(500),
      takeover: Duration::from_millis(1800),
      wait_part: 0.55,
      wait_part_first: 0.75,
      test: Duration::from_millis(30),
    }
  }
}
