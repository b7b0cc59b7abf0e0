use {super::CID_LEN, crate::code::Code};

/// The largest length of a connection ID in QUIC version 1, in bytes (RFC 9000, section 17.2).
const CID_MAX: usize = 20;

/// The version-independent fields of a QUIC packet (RFC 8999).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Packet<'a> {
  /// The destination connection ID.
  pub destination: &'a [u8],
  /// Whether the packet has a long header, as the packets of a handshake do.
  pub long: bool,
}

impl<'a> Packet<'a> {
  /// Parses the header. A short header does not state the length of its connection ID, which is
  /// assumed to be [`CID_LEN`].
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
