use {super::Tagger, crate::id};

/// The length of a connection ID of ours, in bytes.
pub const CID_LEN: usize = 16;

/// Where the tag begins.
const TAG_AT: usize = 12;

/// Sets connection IDs apart from frames under the same secret.
const DOMAIN: u64 = 0x6369_6400;

/// A connection ID that names its target, as in the IETF's QUIC-LB draft: secret id (1 byte),
/// target (4), incarnation (2), random (5), tag (4). The tag covers the service, so that an ID of
/// one service is a stranger's to every other. A caller's own random ID passes for one of ours
/// once in 2^32 packets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cid {
  /// The run of the target's agent.
  pub incarnation: id::Incarnation,
  /// Random bits that set the target's IDs apart.
  pub random: [u8; 5],
  /// The target.
  pub target: id::Target,
}

impl Cid {
  /// The bytes of this ID for a service, tagged with the current secret.
  pub fn encode(&self, service: id::Service, tagger: &Tagger) -> [u8; CID_LEN] {
    let mut bytes = [0; CID_LEN];
    bytes[0] = tagger.current();
    bytes[1..5].copy_from_slice(&self.target.0.to_be_bytes());
    bytes[5..7].copy_from_slice(&self.incarnation.0.to_be_bytes());
    bytes[7..TAG_AT].copy_from_slice(&self.random);
    let tag = tag(&bytes, service, tagger).unwrap_or_default();
    bytes[TAG_AT..].copy_from_slice(&tag);
    bytes
  }

  /// The ID that `bytes` hold for `service`; none when it is not one of ours.
  pub fn decode(bytes: &[u8], service: id::Service, tagger: &Tagger) -> Option<Self> {
    let bytes: &[u8; CID_LEN] = bytes.try_into().ok()?;
    if tag(bytes, service, tagger)? != bytes[TAG_AT..] {
      return None;
    }
    Some(Self {
      incarnation: id::Incarnation(u16::from_be_bytes([bytes[5], bytes[6]])),
      random: bytes[7..TAG_AT].try_into().ok()?,
      target: id::Target(u32::from_be_bytes(bytes[1..5].try_into().ok()?)),
    })
  }
}

fn tag(bytes: &[u8; CID_LEN], service: id::Service, tagger: &Tagger) -> Option<[u8; 4]> {
  let domain = DOMAIN << 16 | u64::from(service.0);
  let tag = tagger.tag(bytes[0], domain, &bytes[..TAG_AT])?;
  Some((tag as u32).to_be_bytes())
}
