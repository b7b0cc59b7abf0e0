use {
  super::Frame,
  std::{net::SocketAddrV4, ops::Range},
};

/// Which way a datagram leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Via {
  /// To a caller.
  Callers,
  /// To another process of the system.
  Peers,
  /// To the upstream beside the agent.
  Upstream,
}

/// A datagram that waits to be sent.
#[derive(Clone, Debug)]
pub struct Datagram {
  range: Range<usize>,
  /// Who receives it.
  pub to: SocketAddrV4,
  /// Which way it leaves.
  pub via: Via,
}

/// What a machine wants sent. It is used again and again, so that a packet costs no allocation.
#[derive(Debug, Default)]
pub struct Outbox {
  bytes: Vec<u8>,
  datagrams: Vec<Datagram>,
}

impl Outbox {
  /// The bytes of a datagram.
  pub fn bytes(&self, datagram: &Datagram) -> &[u8] {
    &self.bytes[datagram.range.clone()]
  }

  /// Forgets all.
  pub fn clear(&mut self) {
    self.bytes.clear();
    self.datagrams.clear();
  }

  /// How many bytes there are.
  pub fn size(&self) -> usize {
    self.bytes.len()
  }

  /// The datagrams, the first one first.
  pub fn datagrams(&self) -> &[Datagram] {
    &self.datagrams
  }

  /// Adds a frame and the packet that follows it.
  pub fn frame(&mut self, to: SocketAddrV4, frame: &Frame, packet: &[u8]) {
    let start = self.bytes.len();
    frame.encode(&mut self.bytes);
    self.bytes.extend_from_slice(packet);
    self.close(Via::Peers, to, start);
  }

  /// Whether nothing waits.
  pub fn is_empty(&self) -> bool {
    self.datagrams.is_empty()
  }

  /// Adds a packet.
  pub fn packet(&mut self, via: Via, to: SocketAddrV4, packet: &[u8]) {
    self.write(via, to, |out| out.extend_from_slice(packet));
  }

  /// Adds what `write` appends.
  pub fn write(&mut self, via: Via, to: SocketAddrV4, write: impl FnOnce(&mut Vec<u8>)) {
    let start = self.bytes.len();
    write(&mut self.bytes);
    self.close(via, to, start);
  }

  fn close(&mut self, via: Via, to: SocketAddrV4, start: usize) {
    self.datagrams.push(Datagram {
      range: start..self.bytes.len(),
      to,
      via,
    });
  }
}
