use {
  fallwell::{
    Code,
    datagram::{Codec, Flow, Head},
  },
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// A packet's header in these tests; its data is left out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Packet {
  /// The acknowledgement number; in an opening packet, the number of the attempt.
  pub acknowledges: u32,
  /// The length of the data that it stands for, in bytes.
  pub data: u16,
  /// The flow.
  pub flow: Flow,
  /// Its kind.
  pub kind: Kind,
  /// Whether an upstream returned it.
  pub returned: bool,
  /// The sequence number.
  pub sequence: u32,
}

/// The kind of a packet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
  /// Carries data or an acknowledgement.
  Data,
  /// Opens a flow, or answers an opening packet.
  Open,
  /// Resets a flow.
  Reset,
}

impl Packet {
  /// A caller's opening packet, by the number of the attempt.
  pub fn open(flow: Flow, attempt: u32) -> Self {
    Self {
      acknowledges: attempt,
      data: 0,
      flow,
      kind: Kind::Open,
      returned: false,
      sequence: 1,
    }
  }

  /// A packet with data in an open flow.
  pub fn data(flow: Flow, sequence: u32, acknowledges: u32) -> Self {
    Self {
      acknowledges,
      data: 10,
      flow,
      kind: Kind::Data,
      returned: false,
      sequence,
    }
  }

  /// An upstream's answer to an opening packet.
  pub fn answer(flow: Flow, sequence: u32) -> Self {
    Self {
      acknowledges: 1,
      data: 0,
      flow,
      kind: Kind::Open,
      returned: false,
      sequence,
    }
  }

  /// The packet as an upstream returns it.
  pub fn returned(self) -> Self {
    Self {
      returned: true,
      ..self
    }
  }

  /// Encodes the packet.
  pub fn write(&self) -> Vec<u8> {
    postcard::to_allocvec(self).expect("packet")
  }

  /// Decodes a packet.
  pub fn read(bytes: &[u8]) -> Result<Self, Code> {
    postcard::from_bytes(bytes).map_err(|_| Code::PacketTooShort)
  }

  fn head(&self) -> Head {
    Head {
      acknowledges: self.acknowledges,
      data: self.data,
      ends: false,
      flow: self.flow,
      opens: self.kind == Kind::Open,
      resets: self.kind == Kind::Reset,
      returned: self.returned,
      sequence: self.sequence,
    }
  }
}

/// The codec of these tests.
#[derive(Clone, Copy, Debug)]
pub struct Plain;

impl Codec for Plain {
  const OPEN_ATTEMPTS: u32 = 3;
  const INITIAL_RTO: Duration = Duration::from_millis(200);
  const CONNECT_TIMEOUT: Duration = Duration::from_millis(1400);

  fn read_from_caller(&self, packet: &[u8]) -> Result<Head, Code> {
    Packet::read(packet).map(|packet| packet.head())
  }

  fn read_from_upstream(&self, packet: &[u8]) -> Result<Head, Code> {
    Packet::read(packet).map(|packet| packet.head())
  }

  fn restore(&self, packet: &mut [u8]) {
    let mut read = Packet::read(packet).expect("own packet");
    read.returned = false;
    packet.copy_from_slice(&read.write());
  }

  fn write_reset(&self, flow: &Flow, acknowledges: u32, out: &mut Vec<u8>) {
    let reset = Packet {
      acknowledges: 0,
      data: 0,
      flow: *flow,
      kind: Kind::Reset,
      returned: false,
      sequence: acknowledges,
    };
    out.extend_from_slice(&reset.write());
  }
}
