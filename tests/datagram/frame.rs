//! Encoding of frames: decoding restores them, and rejects anything else.

use {
  crate::support::{configured, flow, found, update},
  fallwell::{
    Code, Revision,
    datagram::{Frame, Version, frame::Handling, service::Digest},
  },
  proptest::prelude::*,
};

#[test]
fn a_frame_and_its_packet_are_decoded() {
  let frame = Frame::Carry {
    synced: Revision(4),
    handling: Handling::Test,
    service: Digest(77),
    version: Version(3),
  };
  let mut bytes = Vec::new();
  frame.encode(&mut bytes);
  bytes.extend_from_slice(b"packet");
  assert_eq!(Frame::decode(&bytes), Ok((frame, &b"packet"[..])));
}

#[test]
fn truncated_frames_are_rejected() {
  let frame = Frame::Update(update(Some(4), 5, &[configured(5, 7, &[(1, "a")])]));
  let mut bytes = Vec::new();
  frame.encode(&mut bytes);
  for length in 0..bytes.len() {
    assert_eq!(Frame::decode(&bytes[..length]), Err(Code::FrameTruncated));
  }
}

#[test]
fn another_version_is_rejected() {
  let mut bytes = Vec::new();
  found(flow(1, 1)).encode(&mut bytes);
  bytes[0] ^= 1;
  assert_eq!(Frame::decode(&bytes), Err(Code::FrameVersionUnknown));
}

proptest! {
  #[test]
  fn decoding_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
    let _ = Frame::decode(&bytes);
  }
}
