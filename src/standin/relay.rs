use {
  crate::{
    Code,
    code::Fault,
    net::{Batch, Outbox, Socket},
    wire::HEADER_MAX,
  },
  mio::{Events, Poll, Token},
  std::{net::SocketAddr, time::Duration},
};

/// A relay that forwards datagrams unchanged without parsing them: the baseline for benchmarks of a
/// balancer.
#[derive(Debug)]
pub struct Relay;

impl Relay {
  /// Forwards the datagrams received at `listen` to `to` until the process ends.
  pub fn run(listen: SocketAddr, to: SocketAddr) -> Result<(), Fault> {
    let failed = |error| Fault::new(Code::ChildFailed, error);
    let socket = Socket::bind(listen, false)?;
    let out = Socket::bind(SocketAddr::new(listen.ip(), 0), false)?;
    let mut poll = Poll::new().map_err(failed)?;
    socket.register(poll.registry(), Token(0)).map_err(failed)?;
    let mut events = Events::with_capacity(8);
    let mut batch = Batch::default();
    loop {
      let _ = poll.poll(&mut events, Some(Duration::from_millis(100)));
      while matches!(socket.receive(&mut batch), Ok(true)) {
        let mut outbox = Outbox::default();
        for (_, datagram) in batch.datagrams() {
          outbox.push(to, [0; HEADER_MAX], 0, datagram);
        }
        outbox.flush(&out);
      }
    }
  }
}
