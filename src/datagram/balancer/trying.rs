//! How a balancer has packets tried at agents that cannot say whether they have a flow.

use {
  super::machine::Machine,
  crate::datagram::{
    Codec, Flow, Frame, Outbox,
    frame::{Purpose, fan_max},
    service::Digest,
  },
  std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// How often a flow's packet is tried somewhere while agents that may have the flow are silent: once
/// in its life, since one that is cut off from a full link may be silent for ten seconds.
pub(super) const TRY_EVERY: Duration = Duration::from_mins(1);

impl<C: Codec> Machine<C> {
  /// An agent that has just started needs packets to say whether it has their flows.
  pub(super) fn unsure(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flows: &[Flow],
    service: Digest,
    out: &mut Outbox,
  ) {
    for flow in flows {
      if let Some(search) = self.searches.get_mut(flow) {
        search.is_unsure(from, service);
        self.conclude(now, *flow, out);
        self.try_unsure(now, *flow, out);
      }
    }
  }

  /// Gives agents that cannot say a packet to try. While others that may have the flow are silent it
  /// is one: an open flow whose own agent's word was lost had packets at three other targets, and its
  /// caller waited for an answer that none of them could give. Once nobody is silent all are tried
  /// together, the flow's own among them. Where most have just started and no balancer
  /// remembers more, all have lost power: somebody is silent for seconds then, and those that cannot
  /// say try at once.
  pub(super) fn try_unsure(&mut self, now: Instant, flow: Flow, out: &mut Outbox) {
    if self.spread.catalog().route(&flow.route).is_none() {
      return;
    }
    let Some(mut search) = self.searches.remove(&flow) else {
      return;
    };
    let mut agents = search.to_try();
    // The cheap conditions first: there is a search for each flow that was open.
    let careful = !agents.is_empty() && search.has_silent();
    let lost = careful && search.is_mostly_unsure() && self.is_past_lost(now);
    if careful && !lost {
      let recent = |at: &Instant| now.saturating_duration_since(*at) < TRY_EVERY;
      let recent = self.tried.get(&flow).is_some_and(recent);
      agents.truncate(usize::from(!recent));
    }
    if !agents.is_empty()
      && let Some(packet) = search.probe(&agents)
    {
      self.tried.insert(flow, now);
      self.try_at(now, &agents, packet, out);
    }
    self.searches.insert(flow, search);
  }

  /// Has a packet tried at agents. Several are reached through one of them: a request of 900 bytes to 65
  /// agents takes 50 ms of a link of 10 Mbit/s, and callers of 100 dead flows had gone meanwhile.
  fn try_at(
    &mut self,
    now: Instant,
    agents: &[(SocketAddrV4, Digest)],
    packet: &[u8],
    out: &mut Outbox,
  ) {
    if let [(agent, service)] = agents {
      self.questions.spend(now);
      self.carry(*agent, Purpose::Test, *service, packet, out);
      return;
    }
    for agents in agents.chunks(fan_max(packet.len())) {
      let mut near = agents
        .iter()
        .filter(|(agent, _)| self.targets.is_near(*agent));
      let Some((through, _)) = near.next().or(agents.first()) else {
        return;
      };
      self.questions.spend(now);
      let frame = Frame::Fan {
        agents: agents.to_vec(),
        complete: self.spread.catalog().complete(),
        version: self.spread.catalog().version(),
      };
      out.frame(*through, &frame, packet);
    }
  }
}
