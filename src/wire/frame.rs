use {
  super::{Chain, Tagger},
  crate::{Code, Revision, id},
  serde::{Deserialize, Serialize},
  std::net::SocketAddr,
};

/// The most bytes that a frame adds to a packet.
pub const HEADER_MAX: usize = 256;

/// The version of the frame's layout.
const VERSION: u8 = 1;

/// Version (1 byte), secret id (1), tag (8).
const PREFIX: usize = 10;

/// Sets frames apart from connection IDs under the same secret.
const DOMAIN: u64 = 0x6672_616d;

/// How a packet tells which flow it is of.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Flow {
  /// By a key that names no target.
  Keyed {
    /// A hash of what the packets of the flow have in common.
    key: u64,
    /// Whether the packet may open the flow.
    opens: bool,
  },
  /// By its target.
  Named {
    /// The run of the target's agent that the flow began in.
    incarnation: id::Incarnation,
    /// The target.
    target: id::Target,
  },
}

/// A caller's packet on its way to an agent; the packet follows the header.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Carry {
  /// The balancer that it came through, when an agent passes it on.
  pub balancer: Option<SocketAddr>,
  /// Who sent it.
  pub caller: SocketAddr,
  /// The targets to be asked after this one.
  pub chain: Chain,
  /// The flow that it is of.
  pub flow: Flow,
  /// How often agents have passed it on.
  pub hops: u8,
  /// How often a target that could not open the flow has sent it to another.
  pub redirects: u8,
  /// The revision of the service that the sender has in force.
  pub revision: Revision,
  /// The service whose address it arrived at.
  pub service: id::Service,
  /// The target that this frame is for.
  pub target: id::Target,
  /// Whether the last target may open the flow when no other one has it.
  pub may_open: bool,
}

/// An answer to a probe.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
  /// How busy the sender is, in 1/255 of what it may hold.
  pub load: u8,
  /// The probe's number.
  pub nonce: u32,
  /// The revision of the service that the sender has in force.
  pub revision: Revision,
  /// The service asked for.
  pub service: id::Service,
  /// The target that answers; none from a balancer.
  pub target: Option<id::Target>,
}

/// Tells the agent that passed a packet on where its flow is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Found {
  /// The flow's key.
  pub key: u64,
  /// The service.
  pub service: id::Service,
  /// The target that has the flow.
  pub target: id::Target,
}

/// Asks whether a process serves a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Probe {
  /// A number that the echo repeats.
  pub nonce: u32,
  /// The revision of the service that the sender has in force.
  pub revision: Revision,
  /// The service asked for.
  pub service: id::Service,
  /// The target asked; none when a balancer is asked.
  pub target: Option<id::Target>,
}

/// Tells the sender of a frame why it was not taken.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
  /// The result code's number.
  pub code: u16,
  /// The revision of the service that the sender has in force.
  pub revision: Revision,
  /// The service that the frame was for.
  pub service: id::Service,
  /// The target that the frame was for.
  pub target: id::Target,
}

/// A packet on its way back to a caller; the packet follows the header.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Return {
  /// Who receives it.
  pub caller: SocketAddr,
  /// How busy the target is, in 1/255 of what it may hold.
  pub load: u8,
  /// The revision of the service that the sender has in force.
  pub revision: Revision,
  /// The service whose address it leaves from.
  pub service: id::Service,
  /// The target that answers.
  pub target: id::Target,
}

/// What passes between balancers and agents in a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Frame {
  /// Towards an agent.
  Carry(Carry),
  /// An answer to a probe.
  Echo(Echo),
  /// Where a flow is.
  Found(Found),
  /// A question.
  Probe(Probe),
  /// A frame that was not taken.
  Refusal(Refusal),
  /// Towards a caller.
  Return(Return),
}

impl Refusal {
  /// The result code; one that a newer process has made up counts as unroutable.
  pub fn code(&self) -> Code {
    Code::from_number(self.code).unwrap_or(Code::PacketUnroutable)
  }
}

impl Frame {
  /// Writes the header, tagged with the current secret, and returns its length. The tag covers
  /// the header and the packet's length; the packet's content is sealed by QUIC itself.
  pub fn encode(
    &self,
    payload: usize,
    tagger: &Tagger,
    out: &mut [u8; HEADER_MAX],
  ) -> Result<usize, Code> {
    let length = postcard::to_slice(self, &mut out[PREFIX..])
      .map_err(|_| Code::FrameTruncated)?
      .len();
    out[0] = VERSION;
    out[1] = tagger.current();
    let tag = tagger
      .tag(out[1], domain(payload), &out[PREFIX..PREFIX + length])
      .ok_or(Code::FrameKeyUnknown)?;
    out[2..PREFIX].copy_from_slice(&tag.to_be_bytes());
    Ok(PREFIX + length)
  }

  /// Reads a header and returns it with the packet that follows.
  pub fn decode<'a>(bytes: &'a [u8], tagger: &Tagger) -> Result<(Self, &'a [u8]), Code> {
    if bytes.len() <= PREFIX {
      return Err(Code::FrameTruncated);
    }
    if bytes[0] != VERSION {
      return Err(Code::FrameVersionUnknown);
    }
    let body = &bytes[PREFIX..];
    let (frame, payload) =
      postcard::take_from_bytes::<Self>(body).map_err(|_| Code::FrameTruncated)?;
    let header = &body[..body.len() - payload.len()];
    let tag = tagger
      .tag(bytes[1], domain(payload.len()), header)
      .ok_or(Code::FrameKeyUnknown)?;
    if tag.to_be_bytes() != bytes[2..PREFIX] {
      return Err(Code::FrameForged);
    }
    Ok((frame, payload))
  }
}

fn domain(payload: usize) -> u64 {
  DOMAIN << 32 | payload as u64
}
