//! What the tests of a balancer share.

use {
  crate::{
    plain::{Kind, Packet, Plain},
    support::{Sent, Stepped, configured, flow, listed, news},
  },
  fallwell::{
    Revision,
    config::Presence,
    datagram::{
      Flow, Frame, Load, Rate, balancer,
      frame::{Known, Purpose, Role, Status},
    },
  },
  std::time::Duration,
};

/// A balancer that is stepped by hand.
pub type Balancer = Stepped<balancer::Machine<Plain>>;

/// A balancer before two targets of service `a` and one of service `b`.
pub fn balancer() -> Balancer {
  balancer_with(None)
}

/// The same, on an instance whose link carries so much.
pub fn balancer_with(link: Option<Rate>) -> Balancer {
  let mut balancer = Stepped::balancer(1, link);
  let live = Presence::Live;
  let records = [
    configured(1, 1, &[(1, "a"), (2, "b")]),
    listed(2, "up-11", 11, "a", live),
    listed(3, "up-12", 12, "a", live),
    listed(4, "up-21", 21, "b", live),
  ];
  balancer.platform(news(None, 4, &records));
  for host in [11, 12, 21] {
    tell(&mut balancer, host, 1, Load::default());
  }
  balancer
}

/// An agent's run tells of itself.
pub fn tell(balancer: &mut Balancer, host: u8, incarnation: u32, load: Load) -> Vec<Sent> {
  let status = Frame::Status(Status {
    balancers: vec![],
    complete: Revision(1),
    confirmed_ms: None,
    data_centre: 0,
    incarnation,
    link: 0,
    role: Role::Agent(load),
    stopping: false,
  });
  balancer.frame(host, &status, &[])
}

/// A balancer tells of itself.
pub fn told(balancer: &mut Balancer, host: u8) -> Vec<Sent> {
  let status = Status {
    balancers: vec![],
    complete: Revision(4),
    confirmed_ms: Some(10),
    data_centre: 0,
    incarnation: 1,
    link: 0,
    role: Role::Balancer,
    stopping: false,
  };
  balancer.frame(host, &Frame::Status(status), &[])
}

/// Who a packet was carried to, and what for.
pub fn carried(sent: &[Sent]) -> Vec<(u8, Purpose)> {
  let frames = sent.iter().filter_map(|sent| match sent {
    Sent::Frame(to, Frame::Carry { purpose, .. }, _) => Some((to.ip().octets()[3], *purpose)),
    _ => None,
  });
  frames.collect()
}

/// Whether a caller is told that a flow is over, with a sequence number.
pub fn is_reset(sent: &[Sent], flow: Flow, sequence: u32) -> bool {
  sent.iter().any(|sent| {
    matches!(sent, Sent::Caller(packet)
      if packet.kind == Kind::Reset && packet.flow == flow && packet.sequence == sequence)
  })
}

/// Who was asked for the flow `flow(1, 1)`.
pub fn asked(sent: &[Sent]) -> Vec<u8> {
  let frames = sent.iter().filter_map(|sent| match sent {
    Sent::Frame(to, Frame::Ask { flows, .. }, _) if flows[..] == [(flow(1, 1), 100)] => {
      Some(to.ip().octets()[3])
    }
    _ => None,
  });
  frames.collect()
}

/// A packet of the flow `flow(1, 1)` that the balancer does not know, and who it asks.
pub fn search(balancer: &mut Balancer) -> Vec<u8> {
  assert_eq!(balancer.packet(Packet::data(flow(1, 1), 2, 100)), []);
  asked(&balancer.pass(Duration::ZERO))
}

/// The flow `flow(1, 1)` is not at the sender, who knows the list up to a revision.
pub fn absent(complete: u64) -> Frame {
  Frame::Absent {
    flows: vec![flow(1, 1)],
    known: Known {
      complete: Revision(complete),
      past: vec![],
    },
    lost: false,
  }
}

/// A load of so many requests.
pub fn busy(work: u16) -> Load {
  Load {
    work,
    ..Load::default()
  }
}

/// What is sent besides the word that flows wait.
pub fn but_backlog(sent: Vec<Sent>) -> Vec<Sent> {
  let sent = sent.into_iter();
  sent
    .filter(|sent| !matches!(sent, Sent::Frame(_, Frame::Backlog { .. }, _)))
    .collect()
}
