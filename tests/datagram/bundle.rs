//! Frames that are sent together are packed into one datagram and unpacked again.

use {
  crate::support::{self, flow, peer},
  fallwell::{
    Code,
    datagram::{
      Flow, Frame, Outbox,
      bundle::{self, Bundler},
    },
  },
  proptest::prelude::*,
  std::net::SocketAddrV4,
};

fn sent(out: &Outbox) -> Vec<(SocketAddrV4, Vec<u8>)> {
  let mut sent = Vec::new();
  Bundler::default().send(out, |to, bytes| sent.push((to, bytes.to_vec())));
  sent
}

/// The flows of the `Found` frames in a datagram, in order.
fn found(datagram: &[u8]) -> Vec<Flow> {
  let frames = bundle::frames(datagram).expect("frames");
  let flows = frames.iter().map(|frame| match Frame::decode(frame) {
    Ok((Frame::Found { flow, .. }, _)) => flow,
    other => panic!("{other:?}"),
  });
  flows.collect()
}

#[test]
fn frames_to_one_process_are_packed_in_order() {
  let mut out = Outbox::default();
  for port in 1..=6 {
    out.frame(peer(port % 2), &support::found(flow(port.into(), 1)), &[]);
  }
  let sent = sent(&out);
  let read = sent.iter().map(|(to, bytes)| (*to, found(bytes)));
  let flows = |ports: [u16; 3]| ports.map(|port| flow(port, 1)).to_vec();
  assert_eq!(
    read.collect::<Vec<_>>(),
    [(peer(0), flows([2, 4, 6])), (peer(1), flows([1, 3, 5]))]
  );
}

#[test]
fn a_bundle_fits_a_datagram() {
  let mut out = Outbox::default();
  for port in 1..=500 {
    out.frame(peer(1), &support::found(flow(port, 1)), &[7; 30]);
  }
  let sent = sent(&out);
  assert!(sent.iter().all(|(_, bytes)| bytes.len() <= 1200));
  let frames = sent.iter().map(|(_, bytes)| found(bytes).len());
  assert_eq!(frames.sum::<usize>(), 500);
}

#[test]
fn a_single_frame_is_not_packed() {
  let mut out = Outbox::default();
  out.frame(peer(1), &support::found(flow(1, 1)), &[7; 3000]);
  let expected = out.bytes(&out.datagrams()[0]).to_vec();
  assert_eq!(sent(&out), [(peer(1), expected)]);
}

#[test]
fn truncated_bundles_are_rejected() {
  let mut out = Outbox::default();
  for port in 1..=3 {
    out.frame(peer(1), &support::found(flow(port, 1)), &[]);
  }
  let (_, whole) = &sent(&out)[0];
  for length in 1..whole.len() {
    assert_eq!(
      bundle::frames(&whole[..length]),
      Err(Code::FrameTruncated),
      "{length} bytes"
    );
  }
}

proptest! {
  #[test]
  fn unpacking_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
    if let Ok(frames) = bundle::frames(&bytes) {
      for frame in frames {
        let _ = Frame::decode(frame);
      }
    }
  }
}
