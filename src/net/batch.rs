use {
  quinn_udp::{BATCH_SIZE, RecvMeta},
  std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
  },
};

/// The size of one receive buffer, in bytes: with receive offload (GRO) the kernel merges
/// datagrams of one sender into up to 64 KiB.
const BUFFER_BYTES: usize = 1 << 16;

/// Buffers for one batched receive. Their content is overwritten by the next one.
#[derive(Debug)]
pub struct Batch {
  buffers: Vec<Vec<u8>>,
  filled_count: usize,
  metas: Vec<RecvMeta>,
}

impl Default for Batch {
  fn default() -> Self {
    Self {
      buffers: vec![vec![0; BUFFER_BYTES]; BATCH_SIZE],
      filled_count: 0,
      metas: vec![RecvMeta::default(); BATCH_SIZE],
    }
  }
}

impl Batch {
  /// The received datagrams, each with the address of its sender.
  pub fn datagrams(&self) -> impl Iterator<Item = (SocketAddr, &[u8])> {
    let filled = self.metas.iter().zip(&self.buffers).take(self.filled_count);
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
    self.filled_count = 0;
    let mut slices = self
      .buffers
      .iter_mut()
      .map(|buffer| IoSliceMut::new(buffer))
      .collect::<Vec<_>>();
    self.filled_count = receive(&mut slices, &mut self.metas)?;
    Ok(())
  }
}
