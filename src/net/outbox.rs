use {
  super::Socket,
  crate::wire::HEADER_MAX,
  nix::{
    errno::Errno,
    sys::socket::{ControlMessage, MsgFlags, MultiHeaders, SockaddrStorage, sendmmsg},
  },
  std::{io::IoSlice, net::SocketAddr},
};

/// The largest number of datagrams in one system call.
const BATCH_MAX: usize = 64;

/// Datagrams to be sent in one batch. Each consists of a header and a borrowed packet, which is not
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
  /// Adds a datagram: the first `header_len` bytes of `header`, followed by `packet`.
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

  /// The number of datagrams that have not been sent yet.
  pub fn len(&self) -> usize {
    self.datagrams.len()
  }

  /// Whether there is no datagram to send.
  pub fn is_empty(&self) -> bool {
    self.datagrams.is_empty()
  }

  /// Sends all datagrams without blocking, and returns how many the kernel did not accept; these
  /// are dropped.
  pub fn flush(&mut self, socket: &Socket) -> usize {
    let mut dropped = 0;
    for datagrams in self.datagrams.chunks(BATCH_MAX) {
      dropped += send(socket, datagrams);
    }
    self.datagrams.clear();
    dropped
  }
}

fn send(socket: &Socket, datagrams: &[Datagram]) -> usize {
  let mut dropped = 0;
  let mut remaining = datagrams;
  while !remaining.is_empty() {
    match send_batch(socket, remaining) {
      Ok(sent) => remaining = &remaining[sent.max(1)..],
      Err(Errno::EINTR) => {}
      Err(Errno::EAGAIN) => return dropped + remaining.len(),
      // The error concerns only the first datagram; it may also report an earlier ICMP error.
      Err(_) => {
        dropped += 1;
        remaining = &remaining[1..];
      }
    }
  }
  dropped
}

fn send_batch(socket: &Socket, datagrams: &[Datagram]) -> Result<usize, Errno> {
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
