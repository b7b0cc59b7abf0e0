use {
  super::{News, Outbox, Spread},
  crate::{Code, counter::Counter},
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
  /// The process ends: nothing is taken after this, and what is sent now is its last word.
  End,
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
  /// Takes an event and puts what is to be sent into `out`. What cannot be taken is counted.
  fn step(&mut self, now: Instant, event: Event, out: &mut Outbox) {
    let taken = match event {
      Event::End => {
        self.end(now, out);
        Ok(())
      }
      Event::Frame { from, bytes } => self.frame(now, from, bytes, out),
      Event::News(origin, news) => {
        self.news(now, origin, news, out);
        Ok(())
      }
      Event::Packet(packet) => self.packet(now, packet, out),
      Event::Stop => {
        self.stop(now, out);
        Ok(())
      }
      Event::Tick => {
        self.tick(now, out);
        Ok(())
      }
      Event::Unreachable(peer) => {
        self.spread().unreachable(peer);
        Ok(())
      }
    };
    if let Err(code) = taken {
      self.counter().count(code);
    }
  }

  /// Where it counts.
  fn counter(&self) -> &Counter;

  /// When the machine wants to be told of the time next.
  fn deadline(&self) -> Instant;

  /// What it knows and remembers, for an operator.
  fn dump(&self, now: Instant) -> serde_json::Value;

  /// The process ends, after it was told to stop.
  fn end(&mut self, now: Instant, out: &mut Outbox);

  /// A frame came from another process.
  fn frame(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    bytes: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code>;

  /// Whether nothing is under way that the end of the process would interrupt.
  fn is_quiet(&self) -> bool;

  /// News came.
  fn news(&mut self, now: Instant, origin: Origin, news: News, out: &mut Outbox);

  /// A packet came: a caller's at a balancer, the upstream's at an agent.
  fn packet(&mut self, now: Instant, packet: &mut [u8], out: &mut Outbox) -> Result<(), Code>;

  /// Takes other seeds, as new settings name them.
  fn reseed(&mut self, now: Instant, seeds: &[SocketAddrV4]) {
    self.spread().reseed(now, seeds);
  }

  /// What it shares with the other role: the list, the peers and what is to be read.
  fn spread(&mut self) -> &mut Spread;

  /// The process is to stop as planned.
  fn stop(&mut self, now: Instant, out: &mut Outbox);

  /// A deadline may have passed.
  fn tick(&mut self, now: Instant, out: &mut Outbox);
}
