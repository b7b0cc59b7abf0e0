//! The packet header of PROTOCOL.md: 36 bytes, little-endian.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const LENGTH: usize = 36;
pub const SYN: u8 = 1;
pub const BOUNCED: u8 = 4;
pub const FIN: u8 = 8;
pub const RST: u8 = 16;
pub const ACK: u8 = 64;

/// A flow, by the requester's address and the route's.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Flow {
  pub requester: SocketAddrV4,
  pub route: SocketAddrV4,
}

impl Flow {
  /// A short name for the record: the last byte of the requester's address, and its port.
  pub fn name(&self) -> String {
    format!(
      "{}:{}",
      self.requester.ip().octets()[3],
      self.requester.port()
    )
  }
}

#[derive(Clone, Debug)]
pub struct Packet {
  pub seq: u32,
  pub ack: u32,
  pub flags: u8,
  pub source: SocketAddrV4,
  pub destination: SocketAddrV4,
  pub sum: u32,
  pub data: Vec<u8>,
}

impl Packet {
  pub fn new(
    source: SocketAddrV4,
    destination: SocketAddrV4,
    flags: u8,
    seq: u32,
    ack: u32,
  ) -> Self {
    Self {
      seq,
      ack,
      flags,
      source,
      destination,
      sum: 0,
      data: Vec::new(),
    }
  }

  pub fn with_data(mut self, data: &[u8]) -> Self {
    self.data = data.to_vec();
    self
  }

  /// The bytes as their sender writes them, with the sum that only the two ends know.
  pub fn encode(&self) -> Vec<u8> {
    let mut bytes = vec![0; LENGTH];
    bytes[0..4].copy_from_slice(&self.seq.to_le_bytes());
    bytes[4..8].copy_from_slice(&self.ack.to_le_bytes());
    bytes[8..12].copy_from_slice(&self.expected_sum().to_le_bytes());
    bytes[12] = self.flags;
    bytes[18..20].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
    bytes[24..26].copy_from_slice(&self.destination.port().to_le_bytes());
    bytes[26..30].copy_from_slice(&u32::from(*self.destination.ip()).to_le_bytes());
    bytes[30..34].copy_from_slice(&u32::from(*self.source.ip()).to_le_bytes());
    bytes[34..36].copy_from_slice(&self.source.port().to_le_bytes());
    bytes.extend_from_slice(&self.data);
    bytes
  }

  pub fn decode(bytes: &[u8]) -> Option<Self> {
    if bytes.len() < LENGTH {
      return None;
    }
    let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
    let u32_at =
      |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    if bytes.len() != LENGTH + usize::from(u16_at(18)) {
      return None;
    }
    Some(Self {
      seq: u32_at(0),
      ack: u32_at(4),
      flags: bytes[12],
      source: SocketAddrV4::new(Ipv4Addr::from(u32_at(30)), u16_at(34)),
      destination: SocketAddrV4::new(Ipv4Addr::from(u32_at(26)), u16_at(24)),
      sum: u32_at(8),
      data: bytes[LENGTH..].to_vec(),
    })
  }

  /// Whether the packet is as its sender wrote it.
  pub fn is_genuine(&self) -> bool {
    self.sum == self.expected_sum()
  }

  pub fn has(&self, flag: u8) -> bool {
    self.flags & flag != 0
  }

  fn expected_sum(&self) -> u32 {
    let mut hash = 0x811c_9dc5_u32;
    let mut add = |bytes: &[u8]| {
      for byte in bytes {
        hash = (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
      }
    };
    add(b"review");
    add(&self.seq.to_le_bytes());
    add(&self.ack.to_le_bytes());
    add(&[self.flags & !BOUNCED]);
    for end in [self.source, self.destination] {
      add(&end.ip().octets());
      add(&end.port().to_le_bytes());
    }
    add(&self.data);
    hash.max(1)
  }
}
