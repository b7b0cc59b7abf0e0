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

/// What is asked of the kernel for each direction, in bytes.
const BUFFER: usize = 4 << 20;

/// A non-blocking datagram socket whose address several workers may share.
#[derive(Debug)]
pub struct Socket {
  inner: UdpSocket,
  state: UdpSocketState,
}

impl Socket {
  /// Binds `address`; with `shared`, other sockets of the same process may bind it too.
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
    // The kernel grants what its limits allow; less is no error.
    let _ = socket.set_recv_buffer_size(BUFFER);
    let _ = socket.set_send_buffer_size(BUFFER);
    socket.bind(&address.into())?;
    let inner = UdpSocket::from(socket);
    let state = UdpSocketState::new(UdpSockRef::from(&inner))?;
    inner.set_nonblocking(true)?;
    Ok(Self { inner, state })
  }

  /// The address bound.
  pub fn address(&self) -> io::Result<SocketAddr> {
    self.inner.local_addr()
  }

  /// The descriptor, for batched sends.
  pub fn descriptor(&self) -> RawFd {
    self.inner.as_raw_fd()
  }

  /// Receives as many datagrams as wait and fit; false when none wait.
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

  /// Wakes the poll when datagrams wait.
  pub fn register(&self, registry: &Registry, token: Token) -> io::Result<()> {
    registry.register(
      &mut SourceFd(&self.inner.as_raw_fd()),
      token,
      Interest::READABLE,
    )
  }

  /// Ends what `register` began.
  pub fn deregister(&self, registry: &Registry) -> io::Result<()> {
    registry.deregister(&mut SourceFd(&self.inner.as_raw_fd()))
  }

  /// Sends one datagram at once, or fails.
  pub fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()> {
    self.inner.send_to(bytes, to).map(|_| ())
  }
}
