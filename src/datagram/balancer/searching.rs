//! How a balancer finds flows that it does not know, and when it believes that one is nowhere.

use {
  super::{
    machine::Machine,
    place::{Place, State},
    search::Search,
  },
  crate::{
    Code,
    datagram::{
      Codec, Flow, Head, Outbox, Service,
      frame::{Known, Purpose},
    },
  },
  smallvec::SmallVec,
  std::{net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  /// Asks all that may have a flow.
  pub(super) fn search(
    &mut self,
    now: Instant,
    head: &Head,
    service: &Service,
    packet: &[u8],
    except: Option<SocketAddrV4>,
    out: &mut Outbox,
  ) {
    let holders = self.targets.holders(service).iter().copied();
    let asked = holders
      .filter(|agent| Some(*agent) != except)
      .collect::<SmallVec<[SocketAddrV4; 12]>>();
    if asked.is_empty() {
      // Nobody who could say no is no proof either.
      log::info!(flow:% = head.flow, service:% = service; "balancer: flow has nobody to be asked.");
      self.counter.count(Code::FlowUnknown);
      return;
    }
    let deadline = now + self.tuning.search;
    let searching = &mut self.searching;
    let search = self.searches.entry(head.flow).or_insert_with(|| {
      searching.push_back((deadline, head.flow));
      log::info!(flow:% = head.flow, asked = asked.len(); "balancer: flow is searched for.");
      Search {
        asked: asked.iter().copied().chain(except).collect(),
        acknowledges: head.acknowledges,
        deadline,
        bytes: 0,
        waiting: asked.clone(),
      }
    });
    search.acknowledges = head.acknowledges;
    if search.bytes >= self.tuning.search_bytes {
      return;
    }
    search.bytes += asked.len() * packet.len();
    for agent in asked {
      self.carry(agent, Purpose::Search, service, packet, out);
    }
  }

  /// An agent does not have a flow.
  pub(super) fn absent(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flow: Flow,
    known: &Known,
    packet: &[u8],
    out: &mut Outbox,
  ) {
    let here = self.flows.get(&flow);
    let here = here.is_some_and(|place| place.agent == from && !matches!(place.state, State::Dead));
    if here {
      self.flows.remove(&flow);
    }
    let mut behind = self.spread.is_behind(now, from, known.complete);
    if let Some(service) = self.spread.catalog().service(&flow.route) {
      behind |= self.targets.learn(now, service, &known.past);
    }
    if let Some(search) = self.searches.get_mut(&flow) {
      search.waiting.retain(|agent| *agent != from);
      if behind {
        // A target that is not known here may have the flow.
        self.searches.remove(&flow);
      } else {
        self.conclude(now, flow, out);
      }
    }
    if packet.is_empty() {
      return;
    }
    log::info!(flow:% = flow, from:% = from; "balancer: flow is not where it was.");
    let Ok(head) = self.codec.read_from_caller(packet) else {
      self.counter.count(Code::PacketTooShort);
      return;
    };
    let service = self.spread.catalog().service(&flow.route).cloned();
    if let (Some(service), false) = (service, self.flows.contains_key(&flow)) {
      self.search(now, &head, &service, packet, Some(from), out);
    }
  }

  /// Ends a search that nobody is left to answer: the flow is nowhere, and its caller is told.
  pub(super) fn conclude(&mut self, now: Instant, flow: Flow, out: &mut Outbox) {
    let Some(search) = self.searches.get(&flow) else {
      return;
    };
    if !search.waiting.is_empty() {
      return;
    }
    let service = self.spread.catalog().service(&flow.route);
    let holders = service.map_or(&[][..], |service| self.targets.holders(service));
    if !holders.iter().all(|holder| search.asked.contains(holder)) {
      // Somebody is known now who was not asked: the next packet of the flow asks again.
      self.searches.remove(&flow);
      return;
    }
    let (acknowledges, asked) = (search.acknowledges, search.asked.len());
    self.searches.remove(&flow);
    if self.flows.contains_key(&flow) {
      return;
    }
    log::info!(
      flow:% = flow, asked = asked, acknowledges = acknowledges,
      complete:% = self.spread.catalog().complete(), confirmed:? = self.spread.confirmed(now);
      "balancer: flow is nowhere and is reset."
    );
    self.counter.count(Code::FlowUnknown);
    self.flows.insert(
      flow,
      Place {
        agent: self.spread.address(),
        seen: now,
        state: State::Dead,
      },
    );
    self.reset(&flow, acknowledges, out);
  }

  pub(super) fn found(&mut self, now: Instant, from: SocketAddrV4, flow: Flow) {
    if let Some(search) = self.searches.remove(&flow) {
      let began = search.deadline.checked_sub(self.tuning.search);
      let time = now.saturating_duration_since(began.unwrap_or(now));
      self.counter.observe("search", time);
      log::info!(flow:% = flow, at:% = from; "balancer: flow is found.");
    }
    self.flows.insert(
      flow,
      Place {
        agent: from,
        seen: now,
        state: State::Open,
      },
    );
  }

  pub(super) fn search_over(
    &mut self,
    now: Instant,
    deadline: Instant,
    flow: Flow,
    out: &mut Outbox,
  ) {
    let search = self.searches.get(&flow);
    if search.is_none_or(|search| search.deadline != deadline) {
      return;
    }
    let targets = &self.targets;
    if let Some(search) = self.searches.get_mut(&flow) {
      search.waiting.retain(|agent| !targets.is_lost(now, *agent));
    }
    self.conclude(now, flow, out);
    if let Some(search) = self.searches.remove(&flow) {
      log::info!(flow:% = flow, silent:? = search.waiting; "balancer: search has no answer.");
    }
  }
}
