use {
  super::{Datagram, Outbox, Via},
  crate::Code,
  std::net::SocketAddrV4,
};

/// The first byte of a bundle; a frame begins with another one.
const BUNDLE: u8 = 0xb1;

/// The largest bundle, in bytes: it fits a common datagram.
const SIZE_MAX: usize = 1200;

/// What a frame in a bundle takes besides its own bytes, at most.
const HEAD: usize = 2;

/// Frames to one process that leave at the same time, as one datagram: each datagram costs its
/// sender and its receiver more than its bytes do.
#[derive(Debug, Default)]
pub struct Bundler {
  bytes: Vec<u8>,
}

impl Bundler {
  /// Hands all frames in `out` to `send`, as few datagrams; those to one process stay in order.
  pub fn send(&mut self, out: &Outbox, mut send: impl FnMut(SocketAddrV4, &[u8])) {
    let frames = out.datagrams().iter();
    let frames = frames.filter(|datagram| datagram.via == Via::Peers);
    let mut frames = frames.collect::<Vec<_>>();
    frames.sort_by_key(|frame| frame.to);
    for run in frames.chunk_by(|one, next| one.to == next.to) {
      self.send_run(out, run, &mut send);
    }
  }

  fn send_run(
    &mut self,
    out: &Outbox,
    mut run: &[&Datagram],
    send: &mut impl FnMut(SocketAddrV4, &[u8]),
  ) {
    while let Some(first) = run.first() {
      let mut size = 0;
      let fits = run.iter().take_while(|frame| {
        size += HEAD + out.bytes(frame).len();
        size < SIZE_MAX
      });
      let (part, rest) = run.split_at(fits.count().max(1));
      run = rest;
      if let [frame] = part {
        send(frame.to, out.bytes(frame));
        continue;
      }
      let frames = part.iter().map(|frame| out.bytes(frame));
      self.bytes.clear();
      self.bytes.push(BUNDLE);
      let room = std::mem::take(&mut self.bytes);
      // Growing a vector cannot fail.
      self.bytes =
        postcard::to_extend(&frames.collect::<Vec<_>>(), room).expect("bundle is written");
      send(first.to, &self.bytes);
    }
  }
}

/// The frames in a datagram, of which there is one where it is no bundle.
pub fn frames(datagram: &[u8]) -> Result<Vec<&[u8]>, Code> {
  match datagram.split_first() {
    Some((&BUNDLE, body)) => postcard::from_bytes(body).map_err(|_| Code::FrameTruncated),
    _ => Ok(vec![datagram]),
  }
}
