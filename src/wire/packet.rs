use {super::CID_LEN, crate::code::Code};

/// The most bytes that a connection ID has in the versions in use (RFC 9000, 17.2).
const CID_MAX: usize = 20;

/// What every version of QUIC shows of a packet (RFC 8999): its form and its destination.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Packet<'a> {
  /// The destination connection ID.
  pub destination: &'a [u8],
  /// Whether it has the long header of the packets that open a flow.
  pub long: bool,
}

impl<'a> Packet<'a> {
  /// Reads the version-independent part of a packet.
  pub fn read(bytes: &'a [u8]) -> Result<Self, Code> {
    let first = *bytes.first().ok_or(Code::PacketTooShort)?;
    if first & 0x80 == 0 {
      let destination = bytes.get(1..=CID_LEN).ok_or(Code::PacketTooShort)?;
      return Ok(Self {
        destination,
        long: false,
      });
    }
    let length = usize::from(*bytes.get(5).ok_or(Code::PacketTooShort)?);
    if length > CID_MAX {
      return Err(Code::PacketUnroutable);
    }
    let destination = bytes.get(6..6 + length).ok_or(Code::PacketTooShort)?;
    Ok(Self {
      destination,
      long: true,
    })
  }
}
