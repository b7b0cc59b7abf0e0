use {
  super::Batch,
  crate::code::{Code, Fault},
  mio::{Interest, Registry, Token, unix::SourceFd},
  quinn_udp::{UdpSockRef, UdpSocketState},
  socket2::{Domain, Protocol, Type},
  std::{
    io,
    net::{SocketAddr, UdpSocket},
    os::fd::{AsRawFd, RawFd},
  },
};

/// The requested size of each socket buffer, in bytes.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// A non-blocking UDP socket.
#[derive(Debug)]
pub struct Socket {
  inner: UdpSocket,
  state: UdpSocketState,
}

impl Socket {
  /// Binds a socket to `address`. If `shared`, other such sockets may bind the same address, and
  /// the kernel distributes flows over them (`SO_REUSEPORT`).
  pub fn bind(address: SocketAddr, shared: bool) -> Result<Self, Fault> {
    Self::open(address, shared)
      .map_err(|error| Fault::new(Code::AddressUnavailable, format!("{address}: {error}")))
  }

  fn open(address: SocketAddr, shared: bool) -> io::Result<Self> {
    let socket = socket2::Socket::new(
      Domain::for_address(address),
      Type::DGRAM,
      Some(Protocol::UDP),
    )?;
    if shared {
      socket.set_reuse_port(true)?;
    }
    // The kernel may limit the size; a smaller buffer is acceptable.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.bind(&address.into())?;
    let inner = UdpSocket::from(socket);
    let state = UdpSocketState::new(UdpSockRef::from(&inner))?;
    inner.set_nonblocking(true)?;
    Ok(Self { inner, state })
  }

  /// The local address.
  pub fn address(&self) -> io::Result<SocketAddr> {
    self.inner.local_addr()
  }

  /// The file descriptor, for system calls that the standard library lacks.
  pub fn descriptor(&self) -> RawFd {
    self.inner.as_raw_fd()
  }

  /// Fills `batch` with the datagrams that are available; returns false if there are none.
  pub fn receive(&self, batch: &mut Batch) -> io::Result<bool> {
    match batch.fill(|buffers, metas| {
      self
        .state
        .recv(UdpSockRef::from(&self.inner), buffers, metas)
    }) {
      Ok(()) => Ok(true),
      Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
      Err(error) => Err(error),
    }
  }

  /// Registers the socket with a poll, to be notified when it becomes readable.
  pub fn register(&self, registry: &Registry, token: Token) -> io::Result<()> {
    registry.register(
      &mut SourceFd(&self.inner.as_raw_fd()),
      token,
      Interest::READABLE,
    )
  }

  /// Removes the socket from a poll.
  pub fn deregister(&self, registry: &Registry) -> io::Result<()> {
    registry.deregister(&mut SourceFd(&self.inner.as_raw_fd()))
  }

  /// Sends one datagram without blocking; fails if the socket buffer is full.
  pub fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()> {
    self.inner.send_to(bytes, to).map(|_| ())
  }
}
