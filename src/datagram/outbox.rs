use {
  super::Frame,
  std::{net::SocketAddrV4, ops::Range},
};

/// The kind of receiver of a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Via {
  /// A caller.
  Callers,
  /// Another process of the system.
  Peers,
  /// The upstream on the agent's instance.
  Upstream,
}

/// A datagram that is to be sent.
#[derive(Clone, Debug)]
pub struct Datagram {
  range: Range<usize>,
  /// The receiver's address.
  pub to: SocketAddrV4,
  /// The kind of receiver.
  pub via: Via,
}

/// The size of an outbox.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Size {
  /// The bytes of all datagrams.
  pub bytes: usize,
  /// The number of datagrams.
  pub datagrams: usize,
}

/// The datagrams that a machine wants sent. Its buffers are reused, so that a packet costs no
/// allocation.
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

  /// Removes all datagrams and keeps the buffers.
  pub fn clear(&mut self) {
    self.bytes.clear();
    self.datagrams.clear();
  }

  /// The number and the bytes of all datagrams.
  pub fn size(&self) -> Size {
    Size {
      bytes: self.bytes.len(),
      datagrams: self.datagrams.len(),
    }
  }

  /// The datagrams, in the order in which they are sent.
  pub fn datagrams(&self) -> &[Datagram] {
    &self.datagrams
  }

  /// Adds a frame to a process, and the packet that follows it.
  pub fn frame(&mut self, to: SocketAddrV4, frame: &Frame, packet: &[u8]) {
    let start = self.bytes.len();
    frame.encode(&mut self.bytes);
    self.bytes.extend_from_slice(packet);
    self.push(Via::Peers, to, start);
  }

  /// Whether nothing is to be sent.
  pub fn is_empty(&self) -> bool {
    self.datagrams.is_empty()
  }

  /// Adds a packet as it is.
  pub fn packet(&mut self, via: Via, to: SocketAddrV4, packet: &[u8]) {
    self.write(via, to, |out| out.extend_from_slice(packet));
  }

  /// Adds a datagram whose bytes `write` appends.
  pub fn write(&mut self, via: Via, to: SocketAddrV4, write: impl FnOnce(&mut Vec<u8>)) {
    let start = self.bytes.len();
    write(&mut self.bytes);
    self.push(via, to, start);
  }

  fn push(&mut self, via: Via, to: SocketAddrV4, start: usize) {
    self.datagrams.push(Datagram {
      range: start..self.bytes.len(),
      to,
      via,
    });
  }
}
