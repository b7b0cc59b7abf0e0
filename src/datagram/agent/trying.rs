//! How an agent has a caller's packet tried at others, for a balancer whose link is thin.

use {
  super::machine::{Carried, Machine},
  crate::{
    Code, Revision,
    datagram::{Codec, Frame, Outbox, Version, frame::Purpose, service::Digest},
  },
  std::{net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// Sends a packet on to other agents, and tries it here where this agent is one of them. `known` is
  /// the list's revision and the configuration that the balancer knows.
  pub(super) fn fan_out(
    &mut self,
    now: Instant,
    balancer: SocketAddrV4,
    agents: &[(SocketAddrV4, Digest)],
    known: (Revision, Version),
    packet: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let (complete, version) = known;
    for (agent, service) in agents {
      if *agent == self.spread.address() {
        self.try_for(now, balancer, *service, known, packet, out)?;
        continue;
      }
      let frame = Frame::Try {
        balancer,
        complete,
        service: *service,
        version,
      };
      out.frame(*agent, &frame, packet);
    }
    Ok(())
  }

  /// Tries a packet here, and tells the balancer.
  pub(super) fn try_for(
    &mut self,
    now: Instant,
    balancer: SocketAddrV4,
    service: Digest,
    (complete, version): (Revision, Version),
    packet: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    let carried = Carried {
      complete,
      from: balancer,
      head: self.codec.read_from_caller(packet)?,
      packet,
      purpose: Purpose::Test,
      version,
    };
    self.carry(now, &carried, service, out)
  }
}
