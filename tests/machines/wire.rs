use {
  assert_matches::assert_matches,
  fallwell::{
    Code, Revision,
    config::{Keyring, Secret},
    id,
    wire::{Carry, Cid, Flow, Frame, HEADER_MAX, Packet, Tagger},
  },
  proptest::prelude::*,
  std::net::SocketAddr,
};

fn tagger(ids: &[u8]) -> Tagger {
  let secrets = ids.iter().map(|id| Secret {
    id: *id,
    value: format!("{:032x}", u128::from(*id) * 7919),
  });
  Tagger::new(&Keyring {
    current: ids[0],
    secrets: secrets.collect(),
  })
  .unwrap()
}

fn frame(chain_length: usize) -> Frame {
  Frame::Carry(Carry {
    balancer: Some(SocketAddr::from(([127, 0, 0, 1], 65535))),
    caller: SocketAddr::from(([127, 0, 0, 1], 65535)),
    chain: std::iter::repeat_n(id::Target(u32::MAX), chain_length).collect(),
    flow: Flow::Keyed {
      key: u64::MAX,
      opens: true,
    },
    hops: 255,
    redirects: 3,
    revision: Revision(u64::MAX),
    service: id::Service(u16::MAX),
    target: id::Target(u32::MAX),
    may_open: true,
  })
}

#[test]
fn longest_header_fits_the_buffer() {
  let mut header = [0; HEADER_MAX];
  frame(fallwell::wire::CHAIN_MAX)
    .encode(1200, &tagger(&[1]), &mut header)
    .unwrap();
}

#[test]
fn frame_and_packet_survive_encoding_and_decoding() {
  let tagger = tagger(&[1]);
  let mut header = [0; HEADER_MAX];
  let length = frame(3).encode(4, &tagger, &mut header).unwrap();
  let mut datagram = header[..length].to_vec();
  datagram.extend(b"data");
  assert_eq!(
    Frame::decode(&datagram, &tagger),
    Ok((frame(3), &b"data"[..]))
  );
}

#[test]
fn previous_secret_is_accepted_while_it_is_in_the_keyring() {
  let mut header = [0; HEADER_MAX];
  let length = frame(0).encode(0, &tagger(&[1]), &mut header).unwrap();
  assert_matches!(Frame::decode(&header[..length], &tagger(&[2, 1])), Ok(_));
  assert_eq!(
    Frame::decode(&header[..length], &tagger(&[2])),
    Err(Code::FrameKeyUnknown)
  );
}

#[test]
fn connection_id_is_rejected_by_another_service() {
  let tagger = tagger(&[1]);
  let cid = Cid {
    incarnation: id::Incarnation(3),
    random: [1, 2, 3, 4, 5],
    target: id::Target(4),
  };
  let bytes = cid.encode(id::Service(1), &tagger);
  assert_eq!(Cid::decode(&bytes, id::Service(1), &tagger), Some(cid));
  assert_eq!(Cid::decode(&bytes, id::Service(2), &tagger), None);
}

proptest! {
  #[test]
  fn random_bytes_are_not_decoded_as_a_frame(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
    prop_assert!(Frame::decode(&bytes, &tagger(&[1])).is_err());
  }

  #[test]
  fn modified_or_truncated_frame_is_rejected(
    at in any::<prop::sample::Index>(),
    bit in 0..8_u8,
    truncate: bool,
  ) {
    let tagger = tagger(&[1]);
    let mut header = [0; HEADER_MAX];
    let length = frame(2).encode(10, &tagger, &mut header).unwrap();
    let mut datagram = header[..length].to_vec();
    datagram.extend([0; 10]);
    if truncate {
      datagram.truncate(at.index(datagram.len()));
    } else {
      datagram[at.index(length)] ^= 1 << bit;
    }
    prop_assert!(Frame::decode(&datagram, &tagger).is_err());
  }

  #[test]
  fn reading_arbitrary_packets_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
    if let Ok(packet) = Packet::read(&bytes) {
      prop_assert!(packet.destination.len() <= 20);
    }
  }

  #[test]
  fn random_connection_id_is_not_decoded(bytes in any::<[u8; 16]>()) {
    prop_assert_eq!(Cid::decode(&bytes, id::Service(1), &tagger(&[1])), None);
  }
}
