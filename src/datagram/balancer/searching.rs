//! Searches for the agents of unknown flows, and determines which flows are lost.

use {
  super::{
    machine::Machine,
    place::{Place, State},
    queries::Digests,
    search::Search,
  },
  crate::{
    Code,
    datagram::{
      Codec, Flow, Head, Outbox, Service,
      frame::{Handling, Known},
      service::Digest,
    },
  },
  std::{collections::BTreeMap, net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// Queries the agents that may own a flow, first those of this data centre, and buffers the
  /// packet until one of them confirms that it owns the flow.
  pub(super) fn search(
    &mut self,
    now: Instant,
    head: &Head,
    packet: &[u8],
    except: Option<SocketAddrV4>,
  ) {
    let flow = head.flow;
    if !self.searches.contains_key(&flow) {
      let services = self.gossip.catalog().services(&flow.route);
      let mut search = Search::new(now, head.acknowledges, except);
      let mut queried = search.add_queried(self.targets.local_holders(&services));
      if queried.is_empty() {
        search.is_wide = true;
        queried = search.add_queried(self.targets.holders(&services));
      }
      if queried.is_empty() {
        // With no agent to deny the flow, it is not proved to be lost.
        log::info!(
          flow:% = flow, services = services.len();
          "balancer: flow has no agent to query."
        );
        self.counter.count(Code::FlowUnknown);
        return;
      }
      log::info!(flow:% = flow, queried = queried.len(); "balancer: flow is searched for.");
      // A service may have a hundred agents, and there may be a search for each open flow.
      log::debug!(
        flow:% = flow, queried:? = queried, services:? = names(&services);
        "balancer: agents are queried."
      );
      let wait = if search.is_wide {
        self.tuning.search
      } else {
        self.tuning.search_local
      };
      search.deadline = now + wait;
      self.search_deadlines.insert((search.deadline, flow));
      self.query(now, flow, head.acknowledges, &queried);
      self.searches.insert(flow, search);
    }
    if self.buffered_bytes >= self.tuning.search_bytes {
      self.counter.count(Code::QueueFull);
      return;
    }
    if let Some(search) = self.searches.get_mut(&flow) {
      search.acknowledges = head.acknowledges;
      self.buffered_bytes += search.buffer(packet);
    }
  }

  /// Records that an agent does not own some flows. A `packet` that it returned is searched for
  /// elsewhere.
  pub(super) fn record_denials(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flows: &[Flow],
    known: &Known,
    packet: &[u8],
    out: &mut Outbox,
  ) {
    self.gossip.is_behind(now, from, known.synced);
    self.add_removed_targets(now, known);
    for flow in flows {
      let place = self.flows.get(flow);
      let was_at_sender =
        place.is_some_and(|place| place.agent == from && !matches!(place.state, State::Dead));
      if was_at_sender {
        self.flows.remove(flow);
      }
      if let Some(search) = self.searches.get_mut(flow) {
        search.record_denial(from);
        // A target that is not known here yet may own the flow.
        search.required_revision = search.required_revision.max(known.synced);
        self.advance_search(now, *flow, out);
      }
    }
    if let (false, [flow]) = (packet.is_empty(), flows) {
      self.search_elsewhere(now, from, *flow, packet);
    }
  }

  /// Records that an agent could not answer for some flows, since the query did not name its
  /// `service`.
  pub(super) fn record_foreign(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flows: &[Flow],
    service: Digest,
    out: &mut Outbox,
  ) {
    for flow in flows {
      if let Some(search) = self.searches.get_mut(flow) {
        search.record_foreign(from, service);
        self.advance_search(now, *flow, out);
      }
    }
  }

  /// Adds the removed targets that an agent reports.
  fn add_removed_targets(&mut self, now: Instant, known: &Known) {
    let unknown = known.tombstones.iter();
    let unknown = unknown.filter(|(address, _)| !self.targets.has(&known.service, *address.ip()));
    let unknown = unknown.copied().collect::<Vec<_>>();
    if self.gossip.import_removed(now, &known.service, &unknown) {
      self.update_targets(now);
    }
  }

  /// Searches for the owner of a flow whose packet an agent has returned.
  fn search_elsewhere(&mut self, now: Instant, from: SocketAddrV4, flow: Flow, packet: &[u8]) {
    log::info!(
      flow:% = flow, from:% = from;
      "balancer: agent returned a packet of a flow that it does not own."
    );
    let Ok(head) = self.codec.read_from_caller(packet) else {
      self.counter.count(Code::PacketTooShort);
      return;
    };
    let routed = self.gossip.catalog().route(&flow.route).is_some();
    if routed && !self.flows.contains_key(&flow) {
      self.search(now, &head, packet, Some(from));
    }
  }

  /// Continues a search with the answers so far: tests the flow, widens the search or resets the
  /// flow.
  pub(super) fn advance_search(&mut self, now: Instant, flow: Flow, out: &mut Outbox) {
    let Some(search) = self.searches.get(&flow) else {
      return;
    };
    if search.is_wide && !search.pending.is_empty() {
      self.test_unsure(now, flow, out);
    } else if !search.has_unanswered_queries() {
      self.query_rest(now, flow, out);
    }
  }

  /// Queries the agents that were not queried yet, in all data centres. If all have denied the flow,
  /// it is lost and is reset, unless this process may not know all targets yet.
  fn query_rest(&mut self, now: Instant, flow: Flow, out: &mut Outbox) {
    let Some(search) = self.searches.get_mut(&flow) else {
      return;
    };
    search.is_wide = true;
    let services = self.gossip.catalog().services(&flow.route);
    let holders = self.targets.holders(&services);
    // Agents and services that have become known meanwhile are included.
    let (mut new, acknowledges) = (search.add_queried(holders), search.acknowledges);
    new.extend(search.retry_foreign(&digests(&services)));
    let is_up_to_date = self.gossip.catalog().synced() >= search.required_revision;
    if !search.pending.is_empty() {
      self.query(now, flow, acknowledges, &new);
      self.test_unsure(now, flow, out);
      return;
    }
    if !is_up_to_date || !self.gossip.is_history_complete(now) {
      self.denied.insert(flow);
      return;
    }
    if !self.is_proven_lost(now, flow) {
      self.unproven.insert(flow);
      return;
    }
    let Some(search) = self.end_search(&flow) else {
      return;
    };
    if self.flows.contains_key(&flow) {
      return;
    }
    log::info!(
      flow:% = flow, denied = search.denied.len(), foreign = search.foreign.len(),
      lost:? = search.lost, services:? = names(&services), acknowledges = acknowledges,
      history_known = self.gossip.is_history_known(),
      synced:% = self.gossip.catalog().synced(), confirmed:? = self.gossip.confirmed(now);
      "balancer: flow is denied by all agents and is reset."
    );
    log::debug!(
      flow:% = flow, denied:? = search.denied, foreign:? = search.foreign;
      "balancer: agents have denied the flow."
    );
    self.mark_dead(now, flow, acknowledges, out);
  }

  /// Records that a flow is open at an agent, and sends the packets that were buffered for it.
  pub(super) fn complete_search(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flow: Flow,
    service: Digest,
    out: &mut Outbox,
  ) {
    // The flow may be queued here; the place that is replaced holds what identifies it in the queue.
    self.dequeue(&flow);
    self.flows.insert(
      flow,
      Place {
        agent: from,
        last_packet: now,
        service,
        state: State::Open,
      },
    );
    let Some(search) = self.end_search(&flow) else {
      return;
    };
    let time = now.saturating_duration_since(search.started);
    self.counter.observe("search", time);
    log::info!(flow:% = flow, at:% = from; "balancer: flow is found.");
    if self.gossip.catalog().route(&flow.route).is_none() {
      return;
    }
    for packet in search.packets_for(from) {
      let head = self.codec.read_from_caller(packet).ok();
      let head = head.filter(|head| self.egress.is_paced(head));
      if head.is_none_or(|head| !self.egress.push(head, packet)) {
        self.carry(from, Handling::Deliver, service, packet, out);
      }
    }
  }

  /// Widens a search that has timed out, repeats its queries or ends it.
  pub(super) fn retry_search(&mut self, now: Instant, flow: Flow, out: &mut Outbox) {
    let targets = &self.targets;
    let Some(search) = self.searches.get_mut(&flow) else {
      return;
    };
    let was_narrow = !search.is_wide;
    // An agent that exchanges no statuses with this balancer gets time to answer before it counts
    // as lost.
    let started = search.started;
    let is_early = now.saturating_duration_since(started) < self.tuning.peer_timeout;
    let may_answer = is_early && !self.gossip.is_full_mesh();
    search.record_lost(|agent| !may_answer && targets.is_lost(now, agent, started));
    self.query_rest(now, flow, out);
    let Some(search) = self.searches.get_mut(&flow) else {
      return;
    };
    if was_narrow {
      search.deadline = now + self.tuning.search;
      self.search_deadlines.insert((search.deadline, flow));
      return;
    }
    if search.is_first_round() {
      log::info!(
        flow:% = flow, unanswered:? = search.pending, required:% = search.required_revision;
        "balancer: search timed out; unanswered queries are repeated."
      );
    }
    if !search.schedule_retry(now, self.tuning.search) {
      self.unproven.remove(&flow);
      self.end_search(&flow);
      return;
    }
    self.search_deadlines.insert((search.deadline, flow));
    let (pending, acknowledges) = (search.pending.clone(), search.acknowledges);
    self.query(now, flow, acknowledges, &pending);
  }

  /// Queries an agent that has restarted about all flows for which its answer is missing.
  pub(super) fn query_restarted(&mut self, now: Instant, agent: SocketAddrV4) {
    let searches = self.searches.iter_mut();
    let affected = searches.filter(|(_, search)| search.pending.contains(&agent));
    let affected = affected.map(|(flow, search)| {
      search.test_again(agent);
      (*flow, search.acknowledges)
    });
    for (flow, acknowledges) in affected.collect::<BTreeMap<_, _>>() {
      self.query(now, flow, acknowledges, &[agent]);
    }
  }

  /// Removes a search and its buffered packets.
  pub(super) fn end_search(&mut self, flow: &Flow) -> Option<Search> {
    let search = self.searches.remove(flow)?;
    self.buffered_bytes -= search.buffered_bytes();
    self.search_deadlines.remove(&(search.deadline, *flow));
    Some(search)
  }

  /// Adds queries, which are sent with the next timer.
  pub(super) fn query(
    &mut self,
    now: Instant,
    flow: Flow,
    acknowledges: u32,
    agents: &[SocketAddrV4],
  ) {
    let services = digests(&self.gossip.catalog().services(&flow.route));
    for agent in agents {
      self.queries.add(now, *agent, &services, flow, acknowledges);
    }
  }
}

fn digests(services: &[Service]) -> Digests {
  services.iter().map(Service::digest).collect()
}

/// The names of services, for the log.
fn names(services: &[Service]) -> Vec<String> {
  services.iter().map(Service::to_string).collect()
}
