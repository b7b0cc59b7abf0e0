use {
  super::{
    Flow, Load, Service, Update, Version, handover::FlowRecord, service::Digest, target::Identity,
  },
  crate::{Code, Revision, confirmation::Confirmation},
  serde::{Deserialize, Serialize},
  std::net::SocketAddrV4,
};

/// The first byte of a frame: the version of its layout.
const VERSION: u8 = 0xd7;

/// The largest update that is pushed as a frame, and the size from which a history is divided, in
/// bytes: the frame fits in a datagram of 1,500 bytes.
pub const UPDATE_MAX: usize = 1200;

/// The most agents in one `FanOut` frame that is followed by a packet of `packet` bytes: both fit
/// in a datagram of 1,500 bytes.
pub fn fan_out_max(packet: usize) -> usize {
  /// The size of the datagram, in bytes.
  const DATAGRAM: usize = 1400;
  /// The encoded size of an agent and its service, in bytes.
  const AGENT: usize = 18;
  (DATAGRAM.saturating_sub(packet) / AGENT).max(1)
}

/// The most classes in one backlog; the flows of further ones are counted in the last.
pub const DEMANDS_MAX: usize = 8;

/// The most flows in one query: it fits in a datagram of 1,500 bytes.
pub const QUERY_MAX: usize = 48;

/// What an agent is to do with a caller's packet from a balancer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Handling {
  /// Deliver the packet; the agent is known to own the flow.
  Deliver,
  /// Open the flow.
  Open,
  /// Test with the packet whether the upstream owns the flow, and report the result.
  Test,
  // Variants are encoded by their position: new ones are appended.
  /// Open the flow, although no slot is granted: the balancer has announced queued flows, and no
  /// agent has answered.
  OpenUngranted,
}

impl Handling {
  /// Whether the packet is to open its flow.
  pub fn opens(self) -> bool {
    matches!(self, Self::Open | Self::OpenUngranted)
  }
}

/// The new flows of one class that are queued in a balancer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
  /// The priority of the class; 0 is the highest.
  pub priority: u8,
  /// The number of flows.
  pub flows: u16,
  /// The number of callers that these flows belong to.
  pub callers: u16,
  /// How long ago the oldest flow was first sent by its caller, in milliseconds.
  pub oldest_ms: u16,
}

impl Demand {
  /// Counts the flows of another class in this one.
  pub fn add(&mut self, other: &Self) {
    self.flows = self.flows.saturating_add(other.flows);
    self.callers = self.callers.saturating_add(other.callers);
    self.oldest_ms = self.oldest_ms.max(other.oldest_ms);
  }
}

/// What an agent knows about the targets that may own a flow instead of it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Known {
  /// The revision that the receiver's catalog has to reach before the targets in it, together with
  /// those named here, are all that may own the flow.
  pub synced: Revision,
  /// The agent's service, to which the targets belong.
  pub service: Service,
  /// Targets of the agent's service that were removed from the target list, by the addresses of
  /// their upstreams, and how long ago, in milliseconds: the platform may have removed them while
  /// they are alive. Also listed targets that are newer than the receiver's catalog.
  pub tombstones: Vec<(SocketAddrV4, u32)>,
}

/// A target that was removed from the target list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tombstone {
  /// The address of its upstream.
  pub address: SocketAddrV4,
  /// How long ago it was removed, in milliseconds.
  pub age_ms: u32,
  /// The service that it belonged to.
  pub service: Service,
}

/// A service that an address was routed to within a flow's lifetime.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FormerBackend {
  /// The address of the route.
  pub address: SocketAddrV4,
  /// How long ago the address was last routed to it, in milliseconds.
  pub age_ms: u32,
  /// The service.
  pub service: Service,
}

/// A part of what a process remembers of earlier changes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
  /// The former backends.
  pub former_backends: Vec<FormerBackend>,
  /// Whether the sender knows all flows of its upstream; true if it has none.
  pub flows_known: bool,
  /// Whether the sender knows all changes within a flow's lifetime.
  pub known: bool,
  /// The number of this part, from 0.
  pub part: u16,
  /// The number of parts; 1 even if the sender knows nothing.
  pub parts: u16,
  /// The revision up to which the sender's catalog is complete.
  pub synced: Revision,
  /// The tombstones.
  pub tombstones: Vec<Tombstone>,
}

/// Why an agent refused to open a flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
  /// Too many requests are queued at the upstream.
  Busy,
  /// The upstream returned the opening packet.
  Full,
  /// The upstream is draining.
  Leaving,
  /// The agent's upstream belongs to another service.
  Service,
  /// The upstream resets the flows that it is given.
  Down,
  /// The upstream's data centre is closed to new flows.
  Closed,
  /// The upstream is warming up and has been given as many new flows as its warm-up allows for now.
  Cold,
}

/// The role of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
  /// An agent, which runs on the same instance as an upstream.
  Agent {
    /// The upstream's load.
    load: Load,
    /// Which upstream it is.
    upstream: Identity,
  },
  /// A balancer, which receives callers' packets.
  Balancer,
}

/// The heartbeat that processes send each other regularly and on each change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
  /// The revision up to which its catalog is complete.
  pub synced: Revision,
  /// The latest confirmation of the catalog by the platform that a balancer knows of. Agents report
  /// none.
  pub confirmation: Option<Confirmation>,
  /// Some of the balancers that it has heard from within the peer timeout.
  pub balancers: Vec<SocketAddrV4>,
  /// A hash of the name of its data centre.
  pub data_centre: u32,
  /// A random number that distinguishes this start of the process from others.
  pub incarnation: u32,
  /// Base-2 logarithm of its link's rate in bytes per second; 0 if unknown.
  pub link: u8,
  /// Its role.
  pub role: Role,
  /// Whether it is stopping.
  pub stopping: bool,
}

/// A message between processes, sent in a datagram. A caller's packet may follow it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Frame {
  /// The agent certainly doesn't own the flows. If a packet was to be delivered, it follows, and
  /// belongs to the only flow.
  Absent {
    /// The flows.
    flows: Vec<Flow>,
    /// Which other targets may own them.
    known: Known,
    /// Whether the flows are lost: they were open at this agent, and its upstream has lost them.
    lost: bool,
  },
  /// Asks an agent which of these flows it owns.
  Query {
    /// The revision up to which the sender's catalog is complete.
    synced: Revision,
    /// The flows, each with the acknowledgement number of its caller's latest packet.
    flows: Vec<(Flow, u32)>,
    /// The services that may own them.
    services: Vec<Digest>,
  },
  /// Forwards a caller's packet, which follows.
  Carry {
    /// The revision up to which the sender's catalog is complete.
    synced: Revision,
    /// What the agent is to do with it.
    handling: Handling,
    /// The service that the packet is meant for.
    service: Digest,
    /// The version of the configuration that the sender applies.
    version: Version,
  },
  /// The agent owns the flow.
  Found {
    /// The flow.
    flow: Flow,
    /// The service of the agent's upstream.
    service: Digest,
  },
  /// Flows that the balancer knows the agent to own, sent after the agent has restarted.
  Restore {
    /// The flows.
    flows: Vec<Flow>,
  },
  /// An update of the catalog.
  Update(Update),
  /// The upstream accepted the opening packet.
  Opened(Flow, Load),
  /// The flow was not opened at this upstream; the opening packet follows.
  Refused(Flow, Refusal, Load),
  /// The sender's heartbeat.
  Status(Status),
  /// The agent doesn't know whether it owns the flows; delivering a packet of each as a test would
  /// show it.
  Unsure {
    /// The flows.
    flows: Vec<Flow>,
    /// The service of the agent's upstream.
    service: Digest,
  },
  // Variants are encoded by their position: new ones are appended.
  /// Reports new flows that are queued in the balancer for a target of the service.
  Backlog {
    /// The service.
    service: Digest,
    /// The classes that have queued flows, the highest priority first, at most `DEMANDS_MAX`. None
    /// releases the slots that the agent has granted to the balancer.
    classes: Vec<Demand>,
  },
  /// The agent reserves a slot for one of the balancer's queued flows.
  Grant {
    /// The upstream's load.
    load: Load,
    /// The priority of the class that the slot is for.
    priority: u8,
  },
  /// The flow table of an agent that is stopping; sent by it to balancers, and by them to its next
  /// incarnation.
  Handover {
    /// The flows.
    flows: Vec<FlowRecord>,
    /// The number of this part, from 0.
    part: u16,
    /// The number of parts of the whole table; 0 if the sender doesn't have all of it.
    parts: u16,
  },
  /// A process that has started, or has missed changes, requests tombstones and former backends.
  HistoryRequest,
  /// Tombstones and former backends, in response.
  History(History),
  /// A test with a caller's packet, which follows, at several agents: the receiver, which is one of
  /// them, forwards it to the others.
  FanOut {
    /// The agents, each with its upstream's service.
    agents: Vec<(SocketAddrV4, Digest)>,
    /// The revision up to which the sender's catalog is complete.
    synced: Revision,
    /// The version of the configuration that the sender applies.
    version: Version,
  },
  /// A test with a caller's packet, which follows, on behalf of a balancer.
  Test {
    /// The balancer that gets the result.
    balancer: SocketAddrV4,
    /// The revision up to which the balancer's catalog is complete.
    synced: Revision,
    /// The service that the packet is meant for.
    service: Digest,
    /// The version of the configuration that the balancer applies.
    version: Version,
  },
  /// The agent cannot tell whether it owns the flows: the query did not name its service, and
  /// answering would take a test at its upstream.
  Foreign {
    /// The flows.
    flows: Vec<Flow>,
    /// The service of the agent's upstream.
    service: Digest,
  },
}

impl Frame {
  /// Decodes a frame; returns it with the bytes that follow. Fails if it is truncated or has
  /// another version.
  pub fn decode(bytes: &[u8]) -> Result<(Self, &[u8]), Code> {
    match bytes.split_first() {
      None => Err(Code::FrameTruncated),
      Some((&VERSION, body)) => postcard::take_from_bytes(body).map_err(|_| Code::FrameTruncated),
      Some(_) => Err(Code::FrameVersionUnknown),
    }
  }

  /// Appends the frame to `out`.
  pub fn encode(&self, out: &mut Vec<u8>) {
    out.push(VERSION);
    let buffer = std::mem::take(out);
    // Appending to a vector can't fail, and all types in a frame are serialisable.
    *out = postcard::to_extend(self, buffer).expect("frame can be encoded");
  }
}
