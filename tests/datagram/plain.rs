use {
  fallwell::{
    Code,
    datagram::{Codec, Flow, Head},
  },
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// A head as these tests write it, in front of the data.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Packet {
  /// What the other end has said so far; of an opening packet, which copy it is.
  pub acknowledges: u32,
  /// How many bytes of data it stands for.
  pub data: u16,
  /// The flow.
  pub flow: Flow,
  /// What it does.
  pub kind: Kind,
  /// Whether an upstream sent it back.
  pub returned: bool,
  /// The sender's count.
  pub sequence: u32,
}

/// What a packet does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
  /// Carries data or acknowledges some.
  Data,
  /// Opens a flow, or answers an opening packet.
  Open,
  /// Breaks a flow off.
  Reset,
}

impl Packet {
  /// A caller's opening packet.
  pub fn open(flow: Flow, copy: u32) -> Self {
    Self {
      acknowledges: copy,
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

  /// The packet as an upstream sends it back.
  pub fn returned(self) -> Self {
    Self {
      returned: true,
      ..self
    }
  }

  /// The bytes.
  pub fn write(&self) -> Vec<u8> {
    postcard::to_allocvec(self).expect("packet")
  }

  /// What the bytes say.
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
  const COPIES: u32 = 3;
  const GAP: Duration = Duration::from_millis(200);
  const PATIENCE: Duration = Duration::from_millis(1400);

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
