//! The packet header of the platform's pages.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 1;
pub const BOUNCED: u8 = 4;
pub const FIN: u8 = 8;
pub const RST: u8 = 16;
pub const ACK: u8 = 64;

/// Length of the header in bytes.
pub const LENGTH: usize = 36;

/// Key of the sum, which only requesters and targets know.
const KEY: u32 = 0x5bd1_e995;

/// A packet.
#[derive(Clone, Debug)]
pub struct Packet {
  pub seq: u32,
  pub ack: u32,
  pub sum: u32,
  pub flags: u8,
  pub from: SocketAddrV4,
  pub to: SocketAddrV4,
  pub data: Vec<u8>,
}

impl Packet {
  /// A packet with a valid sum, as a requester or a target writes it.
  pub fn new(
    from: SocketAddrV4,
    to: SocketAddrV4,
    flags: u8,
    seq: u32,
    ack: u32,
    data: &[u8],
  ) -> Self {
    let mut packet = Self {
      seq,
      ack,
      sum: 0,
      flags,
      from,
      to,
      data: data.to_vec(),
    };
    packet.sum = packet.expected_sum();
    packet
  }

  pub fn has(&self, flag: u8) -> bool {
    self.flags & flag != 0
  }

  /// The sum covers everything except `echo`, `pad` and BOUNCED.
  fn expected_sum(&self) -> u32 {
    let mut copy = self.clone();
    copy.sum = 0;
    copy.flags &= !BOUNCED;
    let mut hash = 0x811c_9dc5_u32 ^ KEY;
    for byte in copy.encode() {
      hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    hash | 1
  }

  pub fn is_genuine(&self) -> bool {
    self.sum == self.expected_sum()
  }

  pub fn encode(&self) -> Vec<u8> {
    let mut out = vec![0; LENGTH];
    out[0..4].copy_from_slice(&self.seq.to_le_bytes());
    out[4..8].copy_from_slice(&self.ack.to_le_bytes());
    out[8..12].copy_from_slice(&self.sum.to_le_bytes());
    out[12] = self.flags;
    out[18..20].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
    out[24..26].copy_from_slice(&self.to.port().to_le_bytes());
    out[26..30].copy_from_slice(&u32::from(*self.to.ip()).to_le_bytes());
    out[30..34].copy_from_slice(&u32::from(*self.from.ip()).to_le_bytes());
    out[34..36].copy_from_slice(&self.from.port().to_le_bytes());
    out.extend_from_slice(&self.data);
    out
  }

  pub fn decode(bytes: &[u8]) -> Option<Self> {
    if bytes.len() < LENGTH {
      return None;
    }
    let u32_at = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap());
    let u16_at = |at: usize| u16::from_le_bytes(bytes[at..at + 2].try_into().unwrap());
    let packet = Self {
      seq: u32_at(0),
      ack: u32_at(4),
      sum: u32_at(8),
      flags: bytes[12],
      to: SocketAddrV4::new(Ipv4Addr::from(u32_at(26)), u16_at(24)),
      from: SocketAddrV4::new(Ipv4Addr::from(u32_at(30)), u16_at(34)),
      data: bytes[LENGTH..].to_vec(),
    };
    (usize::from(u16_at(18)) == packet.data.len()).then_some(packet)
  }
}
