use {
  super::{Flow, Load, News, Service, Version, handover::Passed, service::Digest},
  crate::{Code, Revision},
  serde::{Deserialize, Serialize},
  std::net::SocketAddrV4,
};

/// The first byte of a frame: the version of the layout.
const VERSION: u8 = 0xd4;

/// The largest frame that is sent with news in it, in bytes: it fits a common datagram.
pub const NEWS_MAX: usize = 1200;

/// How many targets that left the list, and how many services, one frame names at most: it fits a
/// common datagram.
pub const PAST_MAX: usize = 24;

/// How many agents one frame names at most that a packet of so many bytes is sent on to: both fit a common
/// datagram.
pub fn fan_max(packet: usize) -> usize {
  /// The room of a datagram, in bytes.
  const ROOM: usize = 1400;
  /// An agent and the service of its upstream, in bytes.
  const EACH: usize = 18;
  (ROOM.saturating_sub(packet) / EACH).max(1)
}

/// How many flows a question names at most: it fits a common datagram.
pub const ASKED_MAX: usize = 48;

/// What a balancer asks of an agent with a caller's packet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Purpose {
  /// The flow is known to be there.
  Deliver,
  /// Open the flow.
  Open,
  /// Try with the packet whether the flow is there, and say so.
  Test,
}

/// What an agent knows of where else a flow may be.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Known {
  /// The revision up to which the asker has to know the list besides what is named here.
  pub complete: Revision,
  /// Targets of its service that left the list, by the addresses of their upstreams, and how long
  /// ago, in milliseconds: the platform may have dropped them while they live. Those on the list
  /// too that are newer than what the asker knows.
  pub past: Vec<(SocketAddrV4, u32)>,
}

/// A target that has left the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gone {
  /// Where its upstream takes packets.
  pub address: SocketAddrV4,
  /// How long ago it left, in milliseconds.
  pub age_ms: u32,
  /// The service that it served.
  pub service: Service,
}

/// A service that an address led to, and leads to no longer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Led {
  /// The address that callers reach.
  pub address: SocketAddrV4,
  /// How long ago it last led there, in milliseconds.
  pub age_ms: u32,
  /// The service.
  pub service: Service,
}

/// Why an agent did not have a flow opened.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
  /// Too much waits at the upstream already.
  Busy,
  /// The upstream sent the packet back.
  Full,
  /// The upstream is leaving.
  Leaving,
  /// The agent is of another service.
  Service,
  /// The upstream breaks off what it is given.
  Down,
  /// The upstream's data centre is closed to new flows.
  Closed,
  /// The upstream is cold and was given all that it may be given now.
  Cold,
}

/// What a process is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
  /// It stands beside an upstream.
  Agent(Load),
  /// It takes callers' packets.
  Balancer,
}

/// What processes tell each other of themselves, regularly and with each change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
  /// The revision up to which its catalog is complete.
  pub complete: Revision,
  /// How long ago the platform confirmed that, in milliseconds, as far as this process heard.
  pub confirmed_ms: Option<u32>,
  /// Balancers that it hears of.
  pub balancers: Vec<SocketAddrV4>,
  /// A hash of the name of its data centre.
  pub data_centre: u32,
  /// This run of the process.
  pub incarnation: u32,
  /// The order of magnitude of its link's rate; 0 where that is not known.
  pub link: u8,
  /// What it is.
  pub role: Role,
  /// Whether it is about to stop.
  pub stopping: bool,
}

/// What passes between the processes in datagrams. A packet may follow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Frame {
  /// The agent does not have the flows, for certain. Where a packet was sent to be delivered, it
  /// follows, and is of the only flow.
  Absent {
    /// The flows.
    flows: Vec<Flow>,
    /// Where else they may be.
    known: Known,
    /// Whether they were open here for certain and the upstream has forgotten them: they are nowhere.
    lost: bool,
  },
  /// Which of these flows does the agent have?
  Ask {
    /// The revision up to which the sender knows the list.
    complete: Revision,
    /// The flows, each with what its caller last acknowledged.
    flows: Vec<(Flow, u32)>,
    /// The services that may have them.
    services: Vec<Digest>,
  },
  /// A caller's packet, which follows.
  Carry {
    /// The revision up to which the sender knows the list.
    complete: Revision,
    /// What is asked.
    purpose: Purpose,
    /// The service that the packet is meant for.
    service: Digest,
    /// The configuration that the sender acts on.
    version: Version,
  },
  /// The agent has the flow.
  Found {
    /// The flow.
    flow: Flow,
    /// The service of the agent's upstream.
    service: Digest,
  },
  /// Flows that a balancer knows to be at an agent, which has started again.
  Held {
    /// The flows.
    flows: Vec<Flow>,
  },
  /// What changed on the platform.
  News(News),
  /// The upstream took the opening packet.
  Opened(Flow, Load),
  /// The upstream did not take the opening packet, which follows.
  Refused(Flow, Refusal, Load),
  /// What the sender is and knows.
  Status(Status),
  /// The agent cannot say whether it has the flows; a packet of each would tell.
  Unsure {
    /// The flows.
    flows: Vec<Flow>,
    /// The service of the agent's upstream.
    service: Digest,
  },
  // The number of a variant is on the wire: what is new comes last.
  /// New flows wait in the balancer for a target of the service.
  Backlog {
    /// How many; where none does, places that the agent keeps for the balancer are given back.
    flows: u16,
    /// The service.
    service: Digest,
  },
  /// The agent keeps a place for one of the balancer's flows that wait.
  Grant(Load),
  /// Flows of an agent: from itself with its last word, and on to its next run.
  Handover {
    /// The flows.
    flows: Vec<Passed>,
    /// Which part this is, from 0 on.
    part: u16,
    /// How many parts name all flows; 0 where there may be more than are named.
    parts: u16,
  },
  /// Which targets have left the list, and which services addresses led to? A balancer that has just
  /// started asks another.
  AskPast,
  /// Both, in answer to that.
  Past {
    /// Whether the sender knows all that left in the lifetime of the flows.
    known: bool,
    /// The services.
    led: Vec<Led>,
    /// Which part this is, from 0 on.
    part: u16,
    /// How many parts name all that the sender knows of; there is one where it knows of none.
    parts: u16,
    /// The targets.
    past: Vec<Gone>,
  },
  /// A caller's packet, which follows, is to be tried at several agents: the receiver, which is one of
  /// them, sends it on.
  Fan {
    /// The agents, each with the service of its upstream.
    agents: Vec<(SocketAddrV4, Digest)>,
    /// The revision up to which the sender knows the list.
    complete: Revision,
    /// The configuration that the sender acts on.
    version: Version,
  },
  /// A caller's packet, which follows, is to be tried for a balancer.
  Try {
    /// Who is to be told.
    balancer: SocketAddrV4,
    /// The revision up to which it knows the list.
    complete: Revision,
    /// The service that the packet is meant for.
    service: Digest,
    /// The configuration that the balancer acts on.
    version: Version,
  },
}

impl Frame {
  /// Reads a frame and returns it with the packet that follows.
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
    let room = std::mem::take(out);
    // Growing a vector cannot fail, and every type here can be written.
    *out = postcard::to_extend(self, room).expect("frame is written");
  }
}
