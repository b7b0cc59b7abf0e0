use {
  super::{Chain, Tagger},
  crate::{Code, Revision, id},
  serde::{Deserialize, Serialize},
  std::net::SocketAddr,
};

/// The largest size of an encoded header, in bytes.
pub const HEADER_MAX: usize = 256;

/// The version of the frame format.
const VERSION: u8 = 1;

/// The length of the part before the encoded frame: version (1 byte), secret id (1), tag (8).
const PREFIX_LEN: usize = 10;

/// Domain separator: frames and connection IDs are tagged with the same secret.
const DOMAIN: u64 = 0x6672_616d;

/// What identifies the flow of a packet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Flow {
  /// A key that does not contain the target.
  Keyed {
    /// A hash of the fields that all packets of the flow share.
    key: u64,
    /// Whether the packet may open the flow.
    opens: bool,
  },
  /// The target that owns the flow.
  Named {
    /// The incarnation of the target's agent that opened the flow.
    incarnation: id::Incarnation,
    /// The owner of the flow.
    target: id::Target,
  },
}

/// Forwards a caller's packet to an agent; the packet follows the header.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Carry {
  /// The tunnel address of the balancer that received the packet, if an agent forwards it.
  pub balancer: Option<SocketAddr>,
  /// The caller's address.
  pub caller: SocketAddr,
  /// The targets to forward the packet to if this one does not own the flow.
  pub chain: Chain,
  /// The flow that the packet belongs to.
  pub flow: Flow,
  /// How often agents have forwarded the packet.
  pub hops: u8,
  /// How often a target that could not open the flow has redirected the packet to another.
  pub redirects: u8,
  /// The revision of the service that the sender has in force.
  pub revision: Revision,
  /// The service whose address the packet arrived at.
  pub service: id::Service,
  /// The target that this frame is for.
  pub target: id::Target,
  /// Whether the last target of the chain may open the flow if none of the others owns it.
  pub may_open: bool,
}

/// The response to a [`Probe`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
  /// The load of the sender, in 1/255 of its capacity.
  pub load: u8,
  /// The nonce of the probe.
  pub nonce: u32,
  /// The revision of the service that the sender has in force.
  pub revision: Revision,
  /// The probed service.
  pub service: id::Service,
  /// The target that responds; none if a balancer does.
  pub target: Option<id::Target>,
}

/// Notifies the agent that forwarded a packet which target owns the flow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Found {
  /// The flow's key.
  pub key: u64,
  /// The service of the flow.
  pub service: id::Service,
  /// The target that owns the flow.
  pub target: id::Target,
}

/// A liveness probe for one service of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Probe {
  /// A number that the [`Echo`] repeats.
  pub nonce: u32,
  /// The revision of the service that the sender has in force.
  pub revision: Revision,
  /// The service to probe.
  pub service: id::Service,
  /// The target to probe; none if a balancer is probed.
  pub target: Option<id::Target>,
}

/// Notifies the sender of a frame why it was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
  /// The number of the result code.
  pub code: u16,
  /// The revision of the service that the sender has in force.
  pub revision: Revision,
  /// The service that the frame was for.
  pub service: id::Service,
  /// The target that the frame was for.
  pub target: id::Target,
}

/// Returns an agent's packet to a caller through a balancer; the packet follows the header.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Return {
  /// The address of the caller.
  pub caller: SocketAddr,
  /// The load of the target, in 1/255 of its capacity.
  pub load: u8,
  /// The revision of the service that the sender has in force.
  pub revision: Revision,
  /// The service whose address is the packet's source.
  pub service: id::Service,
  /// The target that sent the packet.
  pub target: id::Target,
}

/// A datagram between balancers and agents.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Frame {
  /// A packet from a caller.
  Carry(Carry),
  /// A response to a liveness probe.
  Echo(Echo),
  /// The location of a flow.
  Found(Found),
  /// A liveness probe.
  Probe(Probe),
  /// The refusal of a frame.
  Refusal(Refusal),
  /// A packet to a caller.
  Return(Return),
}

impl Refusal {
  /// The result code; a number that this version does not know counts as
  /// [`Code::PacketUnroutable`].
  pub fn code(&self) -> Code {
    Code::from_number(self.code).unwrap_or(Code::PacketUnroutable)
  }
}

impl Frame {
  /// Encodes the header, tagged with the current secret, and returns its length. The tag covers the
  /// encoded frame and the length of the packet, but not its content, which QUIC authenticates.
  pub fn encode(
    &self,
    payload_len: usize,
    tagger: &Tagger,
    out: &mut [u8; HEADER_MAX],
  ) -> Result<usize, Code> {
    let frame_len = postcard::to_slice(self, &mut out[PREFIX_LEN..])
      .map_err(|_| Code::FrameTruncated)?
      .len();
    out[0] = VERSION;
    out[1] = tagger.current();
    let tag = tagger
      .tag(
        out[1],
        domain(payload_len),
        &out[PREFIX_LEN..PREFIX_LEN + frame_len],
      )
      .ok_or(Code::FrameKeyUnknown)?;
    out[2..PREFIX_LEN].copy_from_slice(&tag.to_be_bytes());
    Ok(PREFIX_LEN + frame_len)
  }

  /// Decodes a header and checks its tag; returns the frame and the packet that follows it.
  pub fn decode<'a>(bytes: &'a [u8], tagger: &Tagger) -> Result<(Self, &'a [u8]), Code> {
    if bytes.len() <= PREFIX_LEN {
      return Err(Code::FrameTruncated);
    }
    if bytes[0] != VERSION {
      return Err(Code::FrameVersionUnknown);
    }
    let body = &bytes[PREFIX_LEN..];
    let (frame, payload) =
      postcard::take_from_bytes::<Self>(body).map_err(|_| Code::FrameTruncated)?;
    let encoded_frame = &body[..body.len() - payload.len()];
    let tag = tagger
      .tag(bytes[1], domain(payload.len()), encoded_frame)
      .ok_or(Code::FrameKeyUnknown)?;
    if tag.to_be_bytes() != bytes[2..PREFIX_LEN] {
      return Err(Code::FrameForged);
    }
    Ok((frame, payload))
  }
}

fn domain(payload_len: usize) -> u64 {
  DOMAIN << 32 | payload_len as u64
}
