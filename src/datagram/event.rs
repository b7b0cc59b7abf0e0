use {
  super::News,
  std::{net::SocketAddrV4, time::Instant},
};

/// Where news comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
  /// Another process.
  Peer(SocketAddrV4),
  /// The platform.
  Platform,
}

/// What a machine is told.
#[derive(Debug)]
pub enum Event<'a> {
  /// A frame came from another process.
  Frame {
    /// Who sent it.
    from: SocketAddrV4,
    /// The frame and what follows it.
    bytes: &'a [u8],
  },
  /// What was asked for has come, or was read or watched.
  News(Origin, News),
  /// A packet came: a caller's at a balancer, the upstream's at an agent.
  Packet(&'a mut [u8]),
  /// A peer could not be asked.
  Unreachable(SocketAddrV4),
  /// The process is to stop as planned.
  Stop,
  /// A deadline that the machine gave may have passed.
  Tick,
}

/// Decides; it has no clock, socket or thread.
pub trait Machine {
  /// Takes an event and puts what is to be sent into `out`.
  fn step(&mut self, now: Instant, event: Event, out: &mut super::Outbox);

  /// When the machine wants to be told of the time next.
  fn deadline(&self) -> Instant;

  /// What it knows and remembers, for an operator.
  fn dump(&self, now: Instant) -> serde_json::Value;

  /// Takes other seeds, as new settings name them.
  fn reseed(&mut self, now: Instant, seeds: &[SocketAddrV4]) {
    self.spread().reseed(now, seeds);
  }

  /// What it shares with the other role: the list, the peers and what is to be read.
  fn spread(&mut self) -> &mut super::Spread;
}
