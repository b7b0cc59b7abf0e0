use {
  super::{Datagram, Outbox, Via},
  crate::Code,
  std::net::SocketAddrV4,
};

/// The first byte of a bundle, which distinguishes it from a frame.
const BUNDLE_MARK: u8 = 0xb1;

/// The largest bundle, in bytes: it fits in a datagram of 1,500 bytes.
const SIZE_MAX: usize = 1200;

/// The most bytes that the length of a frame takes in a bundle.
const LENGTH_MAX: usize = 2;

/// Packs the frames that are sent to one process at the same time into one datagram, since each
/// datagram has a fixed cost for sender and receiver.
#[derive(Debug, Default)]
pub struct Bundler {
  bytes: Vec<u8>,
}

impl Bundler {
  /// Passes all frames in `out` to `send`, in as few datagrams as possible; frames to the same
  /// process keep their order.
  pub fn send(&mut self, out: &Outbox, mut send: impl FnMut(SocketAddrV4, &[u8])) {
    let frames = out.datagrams().iter();
    let frames = frames.filter(|datagram| datagram.via == Via::Peers);
    let mut frames = frames.collect::<Vec<_>>();
    frames.sort_by_key(|frame| frame.to);
    for run in frames.chunk_by(|one, next| one.to == next.to) {
      self.send_to_one(out, run, &mut send);
    }
  }

  fn send_to_one(
    &mut self,
    out: &Outbox,
    mut run: &[&Datagram],
    send: &mut impl FnMut(SocketAddrV4, &[u8]),
  ) {
    while let Some(first) = run.first() {
      let mut size = 0;
      let fits = run.iter().take_while(|frame| {
        size += LENGTH_MAX + out.bytes(frame).len();
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
      self.bytes.push(BUNDLE_MARK);
      let buffer = std::mem::take(&mut self.bytes);
      // Appending to a vector can't fail.
      self.bytes =
        postcard::to_extend(&frames.collect::<Vec<_>>(), buffer).expect("bundle can be encoded");
      send(first.to, &self.bytes);
    }
  }
}

/// Splits a datagram into frames; one that isn't a bundle is a single frame. Fails if a bundle is
/// malformed.
pub fn frames(datagram: &[u8]) -> Result<Vec<&[u8]>, Code> {
  match datagram.split_first() {
    Some((&BUNDLE_MARK, body)) => postcard::from_bytes(body).map_err(|_| Code::FrameTruncated),
    _ => Ok(vec![datagram]),
  }
}
