//! Forwards a flow test to other agents for a balancer, whose link may be too slow to send the
//! packet to each of them.

use {
  super::machine::{CallerPacket, Machine},
  crate::{
    Code,
    datagram::{Codec, Frame, Outbox, service::Digest},
  },
  std::{net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// Forwards a packet to the other `agents`, and tests its flow here where this agent is one of
  /// them.
  ///
  /// # Errors
  ///
  /// `Code::FrameWrongService` where `agents` names another service for this agent.
  pub(super) fn fan_out(
    &mut self,
    now: Instant,
    packet: &CallerPacket,
    agents: &[(SocketAddrV4, Digest)],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    for (agent, service) in agents {
      if *agent == self.gossip.address() {
        self.take_caller_packet(now, packet, *service, out)?;
        continue;
      }
      let frame = Frame::Test {
        balancer: packet.balancer,
        synced: packet.synced,
        service: *service,
        version: packet.version,
      };
      out.frame(*agent, &frame, packet.bytes);
    }
    Ok(())
  }
}
