use {
  super::Shared,
  crate::{
    Code,
    net::Outbox,
    wire::{Frame, HEADER_MAX, Return},
  },
  quinn::{
    AsyncUdpSocket, UdpPoller,
    udp::{RecvMeta, Transmit},
  },
  rand::{SeedableRng, rngs::SmallRng},
  std::{
    fmt::Debug,
    io::{self, IoSliceMut},
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::Instant,
  },
};

/// The maximum number of packets that the transport sends in one call.
const SEGMENTS_MAX: usize = 16;

/// The UDP socket of the QUIC transport. Its packets are received from and sent through the tunnel
/// to a balancer.
#[derive(Debug)]
pub struct TunnelSocket {
  rng: Mutex<SmallRng>,
  shared: Arc<Shared>,
}

impl TunnelSocket {
  /// Creates a socket on the agent's tunnel.
  pub fn new(shared: Arc<Shared>) -> Self {
    Self {
      rng: Mutex::new(SmallRng::seed_from_u64(rand::random())),
      shared,
    }
  }

  /// Sends packets to a caller, in one `Return` frame each, through one balancer.
  fn send(&self, caller: SocketAddr, contents: &[u8], segment_size: usize) -> Result<(), Code> {
    let tagger = self.shared.tagger().ok_or(Code::NotReady)?;
    let balancer = {
      let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
      let path = self.shared.path();
      path
        .choose(Instant::now(), caller, &mut rng)
        .ok_or(Code::PacketUnroutable)?
    };
    let settings = &self.shared.settings;
    let revision = self.shared.revision().ok_or(Code::NotReady)?;
    let frame = Frame::Return(Return {
      caller,
      load: self.shared.load(),
      revision,
      service: settings.service,
      target: settings.target,
    });
    let mut outbox = Outbox::default();
    for packet in contents.chunks(segment_size.max(1)) {
      let mut header = [0; HEADER_MAX];
      let length = frame.encode(packet.len(), &tagger, &mut header)?;
      outbox.push(balancer, header, length, packet);
    }
    match outbox.flush(&self.shared.tunnel) {
      0 => Ok(()),
      _ => Err(Code::SendFailed),
    }
  }
}

impl AsyncUdpSocket for TunnelSocket {
  fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
    Box::pin(AlwaysWritable)
  }

  fn try_send(&self, transmit: &Transmit) -> io::Result<()> {
    let segment_size = transmit.segment_size.unwrap_or(transmit.contents.len());
    // Counted but not reported: the transport retransmits lost packets.
    if let Err(code) = self.send(transmit.destination, transmit.contents, segment_size) {
      self.shared.counter.count(code);
    }
    Ok(())
  }

  fn poll_recv(
    &self,
    context: &mut Context,
    buffers: &mut [IoSliceMut<'_>],
    metas: &mut [RecvMeta],
  ) -> Poll<io::Result<usize>> {
    self.shared.waker.register(context.waker());
    let mut count = 0;
    for (buffer, meta) in buffers.iter_mut().zip(metas) {
      let Some(delivery) = self.shared.queue.pop() else {
        break;
      };
      let length = delivery.packet.len().min(buffer.len());
      buffer[..length].copy_from_slice(&delivery.packet[..length]);
      *meta = RecvMeta {
        addr: delivery.caller,
        len: length,
        stride: length,
        ..RecvMeta::default()
      };
      count += 1;
    }
    if count == 0 {
      return Poll::Pending;
    }
    Poll::Ready(Ok(count))
  }

  fn local_addr(&self) -> io::Result<SocketAddr> {
    self.shared.tunnel.address()
  }

  fn max_transmit_segments(&self) -> usize {
    SEGMENTS_MAX
  }

  fn may_fragment(&self) -> bool {
    false
  }
}

/// A poller that is always writable, since packets that cannot be sent are dropped.
#[derive(Debug)]
struct AlwaysWritable;

impl UdpPoller for AlwaysWritable {
  fn poll_writable(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
    Poll::Ready(Ok(()))
  }
}
