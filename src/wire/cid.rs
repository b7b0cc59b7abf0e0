use {super::Tagger, crate::id};

/// The length of a connection ID issued by an agent, in bytes.
pub const CID_LEN: usize = 16;

/// The offset of the tag in a connection ID.
const TAG_OFFSET: usize = 12;

/// Domain separator: connection IDs and frames are tagged with the same secret.
const DOMAIN: u64 = 0x6369_6400;

/// A connection ID that encodes its target, similar to the IETF's QUIC-LB draft: secret id (1
/// byte), target (4), incarnation (2), random (5), tag (4). The tag also covers the service, so
/// that an ID is valid for one service only. A random ID chosen by a caller is mistaken for a valid
/// one with a probability of at most 2^-32.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cid {
  /// The incarnation of the target's agent that issued the ID.
  pub incarnation: id::Incarnation,
  /// Random bits that make the ID unique among those of its target.
  pub random: [u8; 5],
  /// The target that owns the flow.
  pub target: id::Target,
}

impl Cid {
  /// Encodes the ID for a service, tagged with the current secret.
  pub fn encode(&self, service: id::Service, tagger: &Tagger) -> [u8; CID_LEN] {
    let mut bytes = [0; CID_LEN];
    bytes[0] = tagger.current();
    bytes[1..5].copy_from_slice(&self.target.0.to_be_bytes());
    bytes[5..7].copy_from_slice(&self.incarnation.0.to_be_bytes());
    bytes[7..TAG_OFFSET].copy_from_slice(&self.random);
    let tag = tag(&bytes, service, tagger).unwrap_or_default();
    bytes[TAG_OFFSET..].copy_from_slice(&tag);
    bytes
  }

  /// Decodes an ID and checks its tag; none if no agent of `service` issued it.
  pub fn decode(bytes: &[u8], service: id::Service, tagger: &Tagger) -> Option<Self> {
    let bytes: &[u8; CID_LEN] = bytes.try_into().ok()?;
    if tag(bytes, service, tagger)? != bytes[TAG_OFFSET..] {
      return None;
    }
    Some(Self {
      incarnation: id::Incarnation(u16::from_be_bytes([bytes[5], bytes[6]])),
      random: bytes[7..TAG_OFFSET].try_into().ok()?,
      target: id::Target(u32::from_be_bytes(bytes[1..5].try_into().ok()?)),
    })
  }
}

fn tag(bytes: &[u8; CID_LEN], service: id::Service, tagger: &Tagger) -> Option<[u8; 4]> {
  let domain = DOMAIN << 16 | u64::from(service.0);
  let tag = tagger.tag(bytes[0], domain, &bytes[..TAG_OFFSET])?;
  Some((tag as u32).to_be_bytes())
}
