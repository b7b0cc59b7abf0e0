use {
  quinn_udp::{BATCH_SIZE, RecvMeta},
  std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
  },
};

/// Room for one receive: the kernel joins datagrams of one sender up to 64 KB.
const ROOM: usize = 1 << 16;

/// A set of received datagrams, held until the next receive.
#[derive(Debug)]
pub struct Batch {
  buffers: Vec<Vec<u8>>,
  filled: usize,
  metas: Vec<RecvMeta>,
}

impl Default for Batch {
  fn default() -> Self {
    Self {
      buffers: vec![vec![0; ROOM]; BATCH_SIZE],
      filled: 0,
      metas: vec![RecvMeta::default(); BATCH_SIZE],
    }
  }
}

impl Batch {
  /// The datagrams, each with its sender.
  pub fn datagrams(&self) -> impl Iterator<Item = (SocketAddr, &[u8])> {
    let filled = self.metas.iter().zip(&self.buffers).take(self.filled);
    filled.flat_map(|(meta, buffer)| {
      buffer[..meta.len]
        .chunks(meta.stride.max(1))
        .map(move |datagram| (meta.addr, datagram))
    })
  }

  pub(super) fn fill(
    &mut self,
    receive: impl FnOnce(&mut [IoSliceMut], &mut [RecvMeta]) -> io::Result<usize>,
  ) -> io::Result<()> {
    self.filled = 0;
    let mut slices = self
      .buffers
      .iter_mut()
      .map(|buffer| IoSliceMut::new(buffer))
      .collect::<Vec<_>>();
    self.filled = receive(&mut slices, &mut self.metas)?;
    Ok(())
  }
}
