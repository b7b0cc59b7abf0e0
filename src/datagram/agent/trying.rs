//! How an agent has a caller's packet tried at others, for a balancer whose link is thin.

use {
  super::machine::{Carried, Machine},
  crate::{
    Code,
    datagram::{Codec, Frame, Outbox, service::Digest},
  },
  std::{net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// Sends a packet on to other agents, and tries it here where this agent is one of them.
  pub(super) fn fan_out(
    &mut self,
    now: Instant,
    carried: &Carried,
    agents: &[(SocketAddrV4, Digest)],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    for (agent, service) in agents {
      if *agent == self.spread.address() {
        self.carry(now, carried, *service, out)?;
        continue;
      }
      let frame = Frame::Try {
        balancer: carried.from,
        complete: carried.complete,
        service: *service,
        version: carried.version,
      };
      out.frame(*agent, &frame, carried.packet);
    }
    Ok(())
  }
}
