use {
  super::{Gossip, Outbox, Update},
  crate::{Code, counter::Counter},
  std::{net::SocketAddrV4, time::Instant},
};

/// Where an update comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
  /// Another process.
  Peer(SocketAddrV4),
  /// The platform.
  Platform,
}

/// An input of a machine.
#[derive(Debug)]
pub enum Event<'a> {
  /// The process ends now: nothing is handled after this, and what is sent now is its final
  /// message.
  End,
  /// A frame arrived from another process.
  Frame {
    /// The sender.
    from: SocketAddrV4,
    /// The frame and the packet that follows it.
    bytes: &'a [u8],
  },
  /// An update was read from the platform or pulled from a peer.
  Update(Origin, Update),
  /// A packet arrived: a caller's at a balancer, the upstream's at an agent.
  Packet(&'a mut [u8]),
  /// A peer could not be reached to pull an update.
  Unreachable(SocketAddrV4),
  /// The process starts a graceful shutdown.
  Stop,
  /// The machine's deadline may have passed.
  Tick,
}

/// The logic of a process. It has no clock, socket or thread of its own.
pub trait Machine {
  /// Handles an event and appends what is to be sent to `out`. Errors are counted.
  fn step(&mut self, now: Instant, event: Event, out: &mut Outbox) {
    let handled = match event {
      Event::End => {
        self.end(now, out);
        Ok(())
      }
      Event::Frame { from, bytes } => self.frame(now, from, bytes, out),
      Event::Update(origin, update) => {
        self.update(now, origin, update, out);
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
        self.gossip().cancel_pull(peer);
        Ok(())
      }
    };
    if let Err(code) = handled {
      self.counter().count(code);
    }
  }

  /// The counter of errors and other occurrences.
  fn counter(&self) -> &Counter;

  /// When the next `Event::Tick` is due.
  fn deadline(&self) -> Instant;

  /// The state as JSON, for operators.
  fn dump(&self, now: Instant) -> serde_json::Value;

  /// Sends the final message, after `stop`.
  fn end(&mut self, now: Instant, out: &mut Outbox);

  /// A frame arrived from another process.
  fn frame(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    bytes: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code>;

  /// Whether no request is in flight that the end of the process would interrupt.
  fn is_idle(&self) -> bool;

  /// Applies an update.
  fn update(&mut self, now: Instant, origin: Origin, update: Update, out: &mut Outbox);

  /// A packet arrived: a caller's at a balancer, the upstream's at an agent.
  fn packet(&mut self, now: Instant, packet: &mut [u8], out: &mut Outbox) -> Result<(), Code>;

  /// Adds the seeds of reloaded settings.
  fn add_seeds(&mut self, now: Instant, seeds: &[SocketAddrV4]) {
    self.gossip().add_seeds(now, seeds);
  }

  /// The gossip state: the catalog, the peers and which updates are to be read or pulled.
  fn gossip(&mut self) -> &mut Gossip;

  /// The process starts a graceful shutdown.
  fn stop(&mut self, now: Instant, out: &mut Outbox);

  /// Does what is due.
  fn tick(&mut self, now: Instant, out: &mut Outbox);
}
