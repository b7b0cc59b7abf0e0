//! Helpers for the tests of a balancer.

use {
  crate::{
    plain::{Kind, Packet, Plain},
    support::{Harness, Sent, configured, confirmation, flow, listed, started, update, upstream},
  },
  fallwell::{
    Revision,
    config::Presence,
    datagram::{
      Flow, Frame, Load, Rate, balancer,
      frame::{Handling, History, Known, Role, Status},
      target::Identity,
    },
  },
  std::time::Duration,
};

/// A balancer whose clock and input the test controls.
pub type Balancer = Harness<balancer::Machine<Plain>>;

/// A balancer with two targets of service `a` and one of service `b`. Their agents do not know the
/// history either. The target of service `b` has started so late that it has no flows of other routes.
pub fn balancer() -> Balancer {
  balancer_with(None)
}

/// The same, on an instance with a link of this rate.
pub fn balancer_with(link: Option<Rate>) -> Balancer {
  let mut balancer = Harness::balancer(1, link);
  let live = Presence::Live;
  let records = [
    configured(1, 1, &[(1, "a"), (2, "b")]),
    listed(2, "up-11", 11, "a", live),
    listed(3, "up-12", 12, "a", live),
    started(4, listed(4, "up-21", 21, "b", live)),
  ];
  balancer.platform(update(None, 4, &records));
  for host in [11, 12, 21] {
    feed_status(&mut balancer, host, 1, Load::default());
    balancer.frame(host, &history(false), &[]);
  }
  balancer
}

/// Feeds the status of an agent's incarnation. The agent knows the target list up to revision 1; its
/// upstream is of service `b` on the host 21, of service `a` on others.
pub fn feed_status(balancer: &mut Balancer, host: u8, incarnation: u32, load: Load) -> Vec<Sent> {
  let service = if host == 21 { "b" } else { "a" };
  let status = Status {
    incarnation,
    ..agent_status(host, service, 1, load)
  };
  balancer.frame(host, &Frame::Status(status), &[])
}

/// The status of the agent of an upstream of `service`, whose catalog is complete up to `synced`.
pub fn agent_status(host: u8, service: &str, synced: u64, load: Load) -> Status {
  let service = service.parse().expect("a name");
  let role = Role::Agent {
    load,
    upstream: Identity::new(upstream(host), &service),
  };
  Status {
    confirmation: None,
    role,
    synced: Revision(synced),
    ..balancer_status()
  }
}

/// An empty history of a process whose catalog is complete up to revision 4, and which knows all flows
/// of its upstream; `known` if it knows all changes within a flow's lifetime.
pub fn history(known: bool) -> Frame {
  Frame::History(History {
    flows_known: true,
    known,
    parts: 1,
    synced: Revision(4),
    ..History::default()
  })
}

/// The status of a balancer whose catalog is complete up to revision 4.
pub fn balancer_status() -> Status {
  Status {
    balancers: vec![],
    synced: Revision(4),
    confirmation: Some(confirmation(10)),
    data_centre: 0,
    incarnation: 1,
    link: 0,
    role: Role::Balancer,
    stopping: false,
  }
}

/// Feeds the status of another balancer.
pub fn feed_balancer_status(balancer: &mut Balancer, host: u8) -> Vec<Sent> {
  balancer.frame(host, &Frame::Status(balancer_status()), &[])
}

/// Advances the time by seconds, while the agents on the hosts 11 and 21 send statuses.
pub fn pass_with_statuses(balancer: &mut Balancer, seconds: u32) {
  for _ in 0..2 * seconds {
    balancer.pass(Duration::from_millis(500));
    for host in [11, 21] {
      feed_status(balancer, host, 1, Load::default());
    }
  }
}

/// The hosts that packets were sent to, and what each is to do with its packet.
pub fn carried(sent: &[Sent]) -> Vec<(u8, Handling)> {
  let frames = sent.iter().filter_map(|sent| match sent {
    Sent::Frame(to, Frame::Carry { handling, .. }, _) => Some((to.ip().octets()[3], *handling)),
    _ => None,
  });
  frames.collect()
}

/// Whether a flow was reset with this sequence number.
pub fn is_reset(sent: &[Sent], flow: Flow, sequence: u32) -> bool {
  sent.iter().any(|sent| {
    matches!(sent, Sent::Caller(packet)
      if packet.kind == Kind::Reset && packet.flow == flow && packet.sequence == sequence)
  })
}

/// The hosts that were queried about `flow(1, 1)` alone.
pub fn queried(sent: &[Sent]) -> Vec<u8> {
  let frames = sent.iter().filter_map(|sent| match sent {
    Sent::Frame(to, Frame::Query { flows, .. }, _) if flows[..] == [(flow(1, 1), 100)] => {
      Some(to.ip().octets()[3])
    }
    _ => None,
  });
  frames.collect()
}

/// Feeds a packet of `flow(1, 1)`, which the balancer does not know. Returns the hosts that it
/// queries.
pub fn search(balancer: &mut Balancer) -> Vec<u8> {
  assert_eq!(balancer.packet(Packet::data(flow(1, 1), 2, 100)), []);
  queried(&balancer.pass(Duration::ZERO))
}

/// A denial of `flow(1, 1)` by an agent that knows the target list up to a revision.
pub fn absent(synced: u64) -> Frame {
  Frame::Absent {
    flows: vec![flow(1, 1)],
    known: Known {
      synced: Revision(synced),
      ..Known::default()
    },
    lost: false,
  }
}

/// A load of this many requests.
pub fn busy(work: u16) -> Load {
  Load {
    work,
    ..Load::default()
  }
}

/// The given output without the frames that announce the length of the queue.
pub fn without_backlog(sent: Vec<Sent>) -> Vec<Sent> {
  let sent = sent.into_iter();
  sent
    .filter(|sent| !matches!(sent, Sent::Frame(_, Frame::Backlog { .. }, _)))
    .collect()
}
