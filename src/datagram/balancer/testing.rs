//! Tests flows at agents that cannot answer a query without a packet of the flow.

use {
  super::machine::Machine,
  crate::datagram::{
    Codec, Flow, Frame, Outbox,
    frame::{Handling, fan_out_max},
    service::Digest,
  },
  std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
  },
};

/// How often a flow is tested while agents that may own it have not answered: about once in its
/// life, since an agent behind a congested link may not answer for a long time.
pub(super) const TEST_EVERY: Duration = Duration::from_mins(1);

impl<C: Codec> Machine<C> {
  /// Records that an agent needs packets to determine whether it owns some flows, and sends them as
  /// far as they are due.
  pub(super) fn record_unsure(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flows: &[Flow],
    service: Digest,
    out: &mut Outbox,
  ) {
    for flow in flows {
      if let Some(search) = self.searches.get_mut(flow) {
        search.mark_unsure(from, service);
        self.advance_search(now, *flow, out);
        self.test_unsure(now, *flow, out);
      }
    }
  }

  /// Sends a packet to agents as a test of whether they own its flow. While others have not
  /// answered, only one agent is tested, since most likely one of the others owns the flow: packets of
  /// an open flow have gone to three other targets while the answer of its own agent was lost. All are
  /// tested at once when everyone has answered, or when most are unsure and the history is
  /// lost, as after a loss of power everywhere.
  pub(super) fn test_unsure(&mut self, now: Instant, flow: Flow, out: &mut Outbox) {
    if self.gossip.catalog().route(&flow.route).is_none() {
      return;
    }
    let Some(mut search) = self.searches.remove(&flow) else {
      return;
    };
    let mut agents = search.to_test();
    // Cheap checks first: after a restart there is a search for each open flow.
    let is_uncertain = !agents.is_empty() && search.has_unanswered();
    let is_after_power_loss =
      is_uncertain && search.is_majority_unsure() && self.gossip.is_history_lost(now);
    if is_uncertain && !is_after_power_loss {
      let recent = |at: &Instant| now.saturating_duration_since(*at) < TEST_EVERY;
      let was_tested = self.last_tested.get(&flow).is_some_and(recent);
      agents.truncate(usize::from(!was_tested));
    }
    if !agents.is_empty()
      && let Some(packet) = search.start_test(&agents)
    {
      self.last_tested.insert(flow, now);
      self.test_at(now, &agents, packet, out);
    }
    self.searches.insert(flow, search);
  }

  /// Sends a test to agents. Several get it through one of them, so that the packet crosses this
  /// instance's link once.
  fn test_at(
    &mut self,
    now: Instant,
    agents: &[(SocketAddrV4, Digest)],
    packet: &[u8],
    out: &mut Outbox,
  ) {
    if let [(agent, service)] = agents {
      self.queries.charge(now);
      self.carry(*agent, Handling::Test, *service, packet, out);
      return;
    }
    for agents in agents.chunks(fan_out_max(packet.len())) {
      let mut local = agents
        .iter()
        .filter(|(agent, _)| self.targets.is_local(*agent));
      let Some((relay, _)) = local.next().or(agents.first()) else {
        return;
      };
      self.queries.charge(now);
      let frame = Frame::FanOut {
        agents: agents.to_vec(),
        synced: self.gossip.catalog().synced(),
        version: self.gossip.catalog().version(),
      };
      out.frame(*relay, &frame, packet);
    }
  }
}
