//! How a balancer finds flows that it does not know, and when it believes that one is nowhere.

use {
  super::{
    machine::Machine,
    place::{Place, State},
    questions::Digests,
    search::Search,
  },
  crate::{
    Code,
    datagram::{
      Codec, Flow, Head, Outbox, Service,
      frame::{Known, Purpose},
      service::Digest,
    },
  },
  std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    time::Instant,
  },
};

impl<C: Codec> Machine<C> {
  /// Asks those that may have a flow, and holds the packet until one of them says that it has:
  /// first those of this data centre, where most flows are, and then all.
  pub(super) fn search(
    &mut self,
    now: Instant,
    head: &Head,
    packet: &[u8],
    except: Option<SocketAddrV4>,
  ) {
    let flow = head.flow;
    if !self.searches.contains_key(&flow) {
      let services = self.spread.catalog().services(&flow.route);
      let mut search = Search::new(now, head.acknowledges, except);
      let mut asked = search.extend(self.targets.near_holders(&services));
      if asked.is_empty() {
        search.wide = true;
        asked = search.extend(self.targets.holders(&services));
      }
      if asked.is_empty() {
        // Nobody who could say no is no proof either.
        log::info!(flow:% = flow, services = services.len(); "balancer: flow has nobody to be asked.");
        self.counter.count(Code::FlowUnknown);
        return;
      }
      log::info!(flow:% = flow, asked = asked.len(); "balancer: flow is searched for.");
      let wait = if search.wide {
        self.tuning.search
      } else {
        self.tuning.search_near
      };
      search.deadline = now + wait;
      self.searching.insert((search.deadline, flow));
      self.ask(now, flow, head.acknowledges, &asked);
      self.searches.insert(flow, search);
    }
    if self.held_bytes >= self.tuning.search_bytes {
      self.counter.count(Code::QueueFull);
      return;
    }
    if let Some(search) = self.searches.get_mut(&flow) {
      search.acknowledges = head.acknowledges;
      self.held_bytes += search.hold(packet);
    }
  }

  /// Agents do not have flows.
  pub(super) fn absent(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flows: &[Flow],
    known: &Known,
    packet: &[u8],
    out: &mut Outbox,
  ) {
    self.spread.is_behind(now, from, known.complete);
    self.learn_past(now, from, flows, known);
    for flow in flows {
      let here = self.flows.get(flow);
      let here =
        here.is_some_and(|place| place.agent == from && !matches!(place.state, State::Dead));
      if here {
        self.flows.remove(flow);
      }
      if let Some(search) = self.searches.get_mut(flow) {
        search.said_no(from);
        // A target that is not known here yet may have the flow.
        search.needs = search.needs.max(known.complete);
        self.conclude(now, *flow, out);
      }
    }
    if let (false, [flow]) = (packet.is_empty(), flows) {
      self.search_returned(now, from, *flow, packet);
    }
  }

  /// An agent names targets of its service that have left the list. Where the service is not known here
  /// it is one of those that the flows may be at.
  fn learn_past(&mut self, now: Instant, from: SocketAddrV4, flows: &[Flow], known: &Known) {
    if known.past.is_empty() {
      return;
    }
    let services = match self.targets.service(from) {
      Some(own) => BTreeSet::from([own.clone()]),
      None => self.services_of(flows),
    };
    for service in &services {
      self.targets.learn(now, service, &known.past);
    }
  }

  /// The services that may have flows.
  fn services_of(&self, flows: &[Flow]) -> BTreeSet<Service> {
    let routes = flows.iter().map(|flow| flow.route);
    let routes = routes.collect::<BTreeSet<_>>();
    let catalog = self.spread.catalog();
    let services = routes.iter().flat_map(|route| catalog.services(route));
    services.collect()
  }

  /// A packet was sent where its flow is not.
  fn search_returned(&mut self, now: Instant, from: SocketAddrV4, flow: Flow, packet: &[u8]) {
    log::info!(flow:% = flow, from:% = from; "balancer: flow is not where it was.");
    let Ok(head) = self.codec.read_from_caller(packet) else {
      self.counter.count(Code::PacketTooShort);
      return;
    };
    let routed = self.spread.catalog().route(&flow.route).is_some();
    if routed && !self.flows.contains_key(&flow) {
      self.search(now, &head, packet, Some(from));
    }
  }

  /// Goes on with a search as far as what was said allows.
  pub(super) fn conclude(&mut self, now: Instant, flow: Flow, out: &mut Outbox) {
    let Some(search) = self.searches.get(&flow) else {
      return;
    };
    if search.wide && !search.waiting.is_empty() {
      self.try_unsure(now, flow, out);
    } else if !search.has_silent_asked() {
      self.ask_rest(now, flow, out);
    }
  }

  /// Asks whoever was not asked yet. Where nobody is left the flow is nowhere, and its caller is
  /// told.
  fn ask_rest(&mut self, now: Instant, flow: Flow, out: &mut Outbox) {
    let Some(search) = self.searches.get_mut(&flow) else {
      return;
    };
    search.wide = true;
    let services = self.spread.catalog().services(&flow.route);
    let holders = self.targets.holders(&services);
    // Whoever has become known since is asked too.
    let (new, acknowledges) = (search.extend(holders), search.acknowledges);
    let known = self.spread.catalog().complete() >= search.needs;
    if !search.waiting.is_empty() {
      self.ask(now, flow, acknowledges, &new);
      self.try_unsure(now, flow, out);
      return;
    }
    let asked = search.asked.len();
    if !known || !self.is_past_told(now) {
      self.answered.insert(flow);
      return;
    }
    self.end_search(&flow);
    if self.flows.contains_key(&flow) {
      return;
    }
    log::info!(
      flow:% = flow, asked = asked, acknowledges = acknowledges,
      complete:% = self.spread.catalog().complete(), confirmed:? = self.spread.confirmed(now);
      "balancer: flow is nowhere and is reset."
    );
    self.bury(now, flow, acknowledges, out);
  }

  pub(super) fn found(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    flow: Flow,
    service: Digest,
    out: &mut Outbox,
  ) {
    self.flows.insert(
      flow,
      Place {
        agent: from,
        seen: now,
        service,
        state: State::Open,
      },
    );
    let Some(search) = self.end_search(&flow) else {
      return;
    };
    let time = now.saturating_duration_since(search.began);
    self.counter.observe("search", time);
    log::info!(flow:% = flow, at:% = from; "balancer: flow is found.");
    if self.spread.catalog().route(&flow.route).is_none() {
      return;
    }
    for packet in search.packets_for(from) {
      let held = self.codec.read_from_caller(packet).ok();
      let held = held.filter(|head| self.egress.paces(head));
      if held.is_none_or(|head| !self.egress.push(head, packet)) {
        self.carry(from, Purpose::Deliver, service, packet, out);
      }
    }
  }

  pub(super) fn search_over(&mut self, now: Instant, flow: Flow, out: &mut Outbox) {
    let targets = &self.targets;
    let Some(search) = self.searches.get_mut(&flow) else {
      return;
    };
    let narrow = !search.wide;
    // One that does not keep in touch is not silent before it has had time to answer.
    let early = now.saturating_duration_since(search.began) < self.tuning.silent;
    let waits = early && !self.spread.knows_all();
    search.keep(|agent| waits || !targets.is_lost(now, agent));
    self.ask_rest(now, flow, out);
    let Some(search) = self.searches.get_mut(&flow) else {
      return;
    };
    if narrow {
      search.deadline = now + self.tuning.search;
      self.searching.insert((search.deadline, flow));
      return;
    }
    if search.is_first() {
      log::info!(
        flow:% = flow, silent:? = search.waiting, needs:% = search.needs;
        "balancer: search has no answer."
      );
    }
    if !search.ask_again(now, self.tuning.search) {
      self.end_search(&flow);
      return;
    }
    self.searching.insert((search.deadline, flow));
    let (waiting, acknowledges) = (search.waiting.clone(), search.acknowledges);
    self.ask(now, flow, acknowledges, &waiting);
  }

  /// Asks an agent that has just started for all flows that its word is awaited of.
  pub(super) fn ask_new(&mut self, now: Instant, agent: SocketAddrV4) {
    let searches = self.searches.iter_mut();
    let awaited = searches.filter(|(_, search)| search.waiting.contains(&agent));
    let awaited = awaited.map(|(flow, search)| {
      search.try_again(agent);
      (*flow, search.acknowledges)
    });
    for (flow, acknowledges) in awaited.collect::<BTreeMap<_, _>>() {
      self.ask(now, flow, acknowledges, &[agent]);
    }
  }

  /// Forgets a search, and what it holds.
  pub(super) fn end_search(&mut self, flow: &Flow) -> Option<Search> {
    let search = self.searches.remove(flow)?;
    self.held_bytes -= search.bytes();
    self.searching.remove(&(search.deadline, *flow));
    Some(search)
  }

  /// Puts questions to those that wait for the next tick.
  fn ask(&mut self, now: Instant, flow: Flow, acknowledges: u32, agents: &[SocketAddrV4]) {
    let services = self.spread.catalog().services(&flow.route);
    let services = services.iter().map(Service::digest).collect::<Digests>();
    for agent in agents {
      self
        .questions
        .add(now, *agent, &services, flow, acknowledges);
    }
  }
}
