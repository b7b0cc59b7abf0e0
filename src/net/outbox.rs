use {
  super::Socket,
  crate::wire::HEADER_MAX,
  nix::{
    errno::Errno,
    sys::socket::{ControlMessage, MsgFlags, MultiHeaders, SockaddrStorage, sendmmsg},
  },
  std::{io::IoSlice, net::SocketAddr},
};

/// How many datagrams one call hands to the kernel.
const BATCH: usize = 64;

/// Datagrams that wait for one batched send. Each is a header of ours and a packet that is not
/// copied.
#[derive(Debug, Default)]
pub struct Outbox<'a> {
  datagrams: Vec<Datagram<'a>>,
}

#[derive(Debug)]
struct Datagram<'a> {
  header: [u8; HEADER_MAX],
  header_len: usize,
  packet: &'a [u8],
  to: SockaddrStorage,
}

impl<'a> Outbox<'a> {
  /// Adds a datagram.
  pub fn push(
    &mut self,
    to: SocketAddr,
    header: [u8; HEADER_MAX],
    header_len: usize,
    packet: &'a [u8],
  ) {
    self.datagrams.push(Datagram {
      header,
      header_len,
      packet,
      to: to.into(),
    });
  }

  /// How many datagrams wait.
  pub fn len(&self) -> usize {
    self.datagrams.len()
  }

  /// Whether none waits.
  pub fn is_empty(&self) -> bool {
    self.datagrams.is_empty()
  }

  /// Sends all and returns how many the kernel did not take: datagrams are never waited for.
  pub fn flush(&mut self, socket: &Socket) -> usize {
    let mut lost = 0;
    for datagrams in self.datagrams.chunks(BATCH) {
      lost += send(socket, datagrams);
    }
    self.datagrams.clear();
    lost
  }
}

fn send(socket: &Socket, datagrams: &[Datagram]) -> usize {
  let mut lost = 0;
  let mut rest = datagrams;
  while !rest.is_empty() {
    match send_some(socket, rest) {
      Ok(sent) => rest = &rest[sent.max(1)..],
      Err(Errno::EINTR) => {}
      Err(Errno::EAGAIN) => return lost + rest.len(),
      // An error of the first datagram, such as a refused earlier one: only that is given up.
      Err(_) => {
        lost += 1;
        rest = &rest[1..];
      }
    }
  }
  lost
}

fn send_some(socket: &Socket, datagrams: &[Datagram]) -> Result<usize, Errno> {
  let slices = datagrams
    .iter()
    .map(|datagram| {
      [
        IoSlice::new(&datagram.header[..datagram.header_len]),
        IoSlice::new(datagram.packet),
      ]
    })
    .collect::<Vec<_>>();
  let addresses = datagrams
    .iter()
    .map(|datagram| Some(datagram.to))
    .collect::<Vec<_>>();
  let none: [ControlMessage; 0] = [];
  let mut headers = MultiHeaders::preallocate(datagrams.len(), None);
  let sent = sendmmsg(
    socket.descriptor(),
    &mut headers,
    &slices,
    &addresses,
    none,
    MsgFlags::MSG_DONTWAIT,
  )?;
  Ok(sent.count())
}
