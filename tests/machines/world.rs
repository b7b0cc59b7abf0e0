//! A simulated service: balancers and agents as state machines that forward packets to each other.

use {
  fallwell::{
    Code, Revision,
    config::{self, Key, Record, Store, Verdict},
    flow::{self, Action, Event},
    id,
    routing::{self, Health, Hop, Loads, Route, Table},
    wire::{Carry, Chain, Flow},
  },
  serde_json::json,
  std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

pub const SERVICE: id::Service = id::Service(1);

/// No target has reported a load.
pub struct NoLoads;

impl Loads for NoLoads {
  fn load(&self, _: id::Service, _: id::Target) -> u8 {
    0
  }
}

pub fn address(target: u32) -> SocketAddr {
  SocketAddr::from(([127, 9, (target / 250) as u8, (target % 250) as u8], 7200))
}

pub fn target(id: u32) -> config::Target {
  config::Target {
    agent: address(id),
    connections: 100,
    id: id::Target(id),
    leaving: false,
    slots: 5,
  }
}

pub fn service(targets: impl IntoIterator<Item = config::Target>) -> config::Service {
  config::Service {
    address: SocketAddr::from(([127, 9, 9, 9], 4433)),
    drain_s: 60,
    generation: 1,
    id: SERVICE,
    name: "dispatch".into(),
    ramp_s: 0,
    repeat_window_s: 600,
    routes: Vec::new(),
    targets: targets.into_iter().collect(),
  }
}

pub fn record(revision: u64, service: &config::Service) -> Record {
  Record::new(
    Key::Service(service.id),
    Revision(revision),
    Some(json!(service).to_string()),
  )
}

pub fn table(store: &Store, silent: &BTreeSet<u32>) -> Option<Table> {
  let service = store.service(SERVICE)?;
  let revision = store.in_force(Key::Service(SERVICE))?;
  let health = |target: &config::Target| {
    if silent.contains(&target.id.0) {
      Health::Silent
    } else if target.leaving {
      Health::Leaving
    } else {
      Health::Live
    }
  };
  Some(Table::new(
    revision,
    service,
    store.history(SERVICE),
    usize::MAX,
    health,
  ))
}

/// The configuration of a balancer, and the targets that it considers silent.
#[derive(Clone, Default)]
pub struct Balancer {
  pub silent: BTreeSet<u32>,
  pub store: Store,
}

pub struct Agent {
  pub alive: bool,
  pub machine: flow::Machine,
  pub store: Store,
}

/// The result of sending a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
  /// It reached the owner of its flow: the target, and the number of hops between agents.
  Delivered(u32, u32),
  /// It opened its flow at this target.
  Opened(u32),
  /// It was sent to a dead target.
  Lost(u32),
  /// It was refused.
  Refused(Code),
}

pub struct World {
  pub agents: BTreeMap<u32, Agent>,
  pub balancers: Vec<Balancer>,
  /// The owner of each flow.
  pub flows: HashMap<u64, u32>,
  pub newest: Record,
  pub now: Instant,
  pub revision: u64,
  pub targets: BTreeMap<u32, config::Target>,
  /// The route and the actions of the last packet, for the message of a failure.
  pub trace: Vec<String>,
}

impl World {
  pub fn new(targets: u32, balancers: usize) -> Self {
    let targets = (1..=targets)
      .map(|id| (id, target(id)))
      .collect::<BTreeMap<_, _>>();
    let newest = record(1, &service(targets.values().cloned()));
    let mut world = Self {
      agents: BTreeMap::new(),
      balancers: vec![Balancer::default(); balancers],
      flows: HashMap::new(),
      newest,
      now: Instant::now(),
      revision: 1,
      targets,
      trace: Vec::new(),
    };
    for id in world.targets.keys().copied().collect::<Vec<_>>() {
      world.start_agent(id);
    }
    for balancer in 0..balancers {
      world.update_balancer(balancer);
    }
    world
  }

  pub fn start_agent(&mut self, id: u32) {
    let machine = flow::Machine::new(
      SERVICE,
      id::Target(id),
      id::Incarnation(1),
      flow::Settings {
        idle_timeout: Duration::from_hours(1000),
        searches_per_second: u32::MAX,
        ..flow::Settings::default()
      },
    );
    let mut store = Store::default();
    let known = self.agents.values().find(|agent| agent.alive);
    for record in known.map_or_else(Vec::new, |agent| agent.store.records(Key::Service(SERVICE))) {
      store.offer(record);
    }
    store.offer(self.newest.clone());
    let agent = Agent {
      alive: true,
      machine,
      store,
    };
    self.agents.insert(id, agent);
  }

  /// Publishes the current targets. Agents receive them at once, a balancer by `update_balancer`.
  pub fn publish(&mut self) {
    self.revision += 1;
    self.newest = record(self.revision, &service(self.targets.values().cloned()));
    for (id, agent) in &mut self.agents {
      let verdict = agent.store.offer(self.newest.clone());
      assert_eq!(verdict, Verdict::Accepted);
      let leaving = self.targets.get(id).is_none_or(|target| target.leaving);
      agent.machine.step(self.now, None, Event::Leaving(leaving));
    }
  }

  pub fn update_balancer(&mut self, balancer: usize) {
    let before = self.balancers[balancer]
      .store
      .in_force(Key::Service(SERVICE));
    self.balancers[balancer].store.offer(self.newest.clone());
    let after = self.balancers[balancer]
      .store
      .in_force(Key::Service(SERVICE));
    assert!(before <= after, "a balancer returned to an older revision");
  }

  /// Restarts a balancer, which then gets its configuration from a peer.
  pub fn restart_balancer(&mut self, balancer: usize, peer: usize) {
    let records = self.balancers[peer].store.records(Key::Service(SERVICE));
    let mut fresh = Balancer::default();
    for record in records {
      fresh.store.offer(record);
    }
    self.balancers[balancer] = fresh;
  }

  /// Whether every target in a balancer's configuration, with its history, is dead.
  pub fn knows_only_dead_targets(&self, balancer: usize) -> bool {
    let view = &self.balancers[balancer];
    let table = table(&view.store, &view.silent);
    table.is_none_or(|table| {
      let mut entries = table.entries().iter();
      entries.all(|entry| !self.agents[&entry.id.0].alive)
    })
  }

  /// Sends a packet and retransmits it while it is lost; after each loss, the balancer considers
  /// the dead target silent.
  pub fn send_with_retries(&mut self, balancer: usize, flow: Flow) -> Fate {
    let mut fate = Fate::Refused(Code::PacketUnroutable);
    for _ in 0..60 {
      fate = self.send(balancer, flow);
      let Fate::Lost(dead) = fate else {
        break;
      };
      self.balancers[balancer].silent.insert(dead);
    }
    fate
  }

  /// Sends a packet of a flow through a balancer.
  pub fn send(&mut self, balancer: usize, flow: Flow) -> Fate {
    let view = &self.balancers[balancer];
    let Some(table) = table(&view.store, &view.silent) else {
      return Fate::Refused(Code::NotReady);
    };
    let route = match routing::Machine::step(&table, flow, &NoLoads) {
      Ok(route) => route,
      Err(code) => return Fate::Refused(code),
    };
    let carry = |hop: Hop, chain, may_open| Carry {
      balancer: None,
      caller: SocketAddr::from(([127, 0, 0, 1], 9)),
      chain,
      flow,
      hops: 0,
      redirects: 0,
      revision: table.revision(),
      service: SERVICE,
      target: hop.target,
      may_open,
    };
    self.trace = vec![format!("{route:?}")];
    match route {
      Route::Chain {
        chain,
        copies,
        first,
        search,
      } => {
        for copy in copies {
          let fate = self.forward(carry(copy, Chain::new(), search));
          if let Fate::Delivered(..) = fate {
            return fate;
          }
        }
        self.forward(carry(first, chain, true))
      }
      Route::Named(hop) | Route::Relay(hop) => self.forward(carry(hop, Chain::new(), false)),
    }
  }

  /// Forwards a packet from agent to agent until one delivers it, opens its flow or drops it.
  fn forward(&mut self, mut carry: Carry) -> Fate {
    let mut hops = 0;
    let mut forwarded_by = None;
    loop {
      let id = carry.target.0;
      let Some(agent) = self.agents.get_mut(&id).filter(|agent| agent.alive) else {
        return Fate::Lost(id);
      };
      let table = table(&agent.store, &BTreeSet::new());
      let flows = agent.machine.key_counts().0 as u32;
      let event = Event::Carry {
        carry: &carry,
        flows,
      };
      let action = agent.machine.step(self.now, table.as_ref(), event);
      self.trace.push(format!("{id}: {action:?}"));
      match action.expect("an action") {
        Action::Deliver => {
          self.send_found(forwarded_by, &carry);
          return Fate::Delivered(id, hops);
        }
        Action::Open => {
          self.send_found(forwarded_by, &carry);
          return Fate::Opened(id);
        }
        Action::Forward(forward) => {
          hops += 1;
          forwarded_by = Some(id);
          carry = Carry {
            chain: forward.chain,
            hops: carry.hops + 1,
            redirects: forward.redirects,
            target: forward.to.target,
            may_open: forward.may_open,
            ..carry
          };
        }
        Action::Search(others) => return self.search(id, &carry, others),
        Action::Refuse(code) => return Fate::Refused(code),
        Action::Reset => return Fate::Refused(Code::FrameWrongIncarnation),
        Action::Skip => return Fate::Refused(Code::FlowUnknown),
      }
    }
  }

  /// Sends copies to other agents, one after the other, until the owner of the flow accepts one.
  fn search(&mut self, from: u32, carry: &Carry, others: Vec<Hop>) -> Fate {
    for to in others {
      let copy = Carry {
        chain: Chain::new(),
        hops: carry.hops + 1,
        target: to.target,
        may_open: false,
        ..carry.clone()
      };
      if let Fate::Delivered(at, hops) = self.forward(copy.clone()) {
        self.send_found(Some(from), &copy);
        return Fate::Delivered(at, hops + 1);
      }
    }
    Fate::Refused(Code::FlowUnknown)
  }

  /// Confirms to the agent that forwarded a packet that its target owns the flow.
  fn send_found(&mut self, forwarded_by: Option<u32>, carry: &Carry) {
    let Flow::Keyed { key, .. } = carry.flow else {
      return;
    };
    let Some(agent) = forwarded_by.and_then(|id| self.agents.get_mut(&id)) else {
      return;
    };
    let event = Event::Found {
      key,
      target: carry.target,
    };
    agent.machine.step(self.now, None, event);
  }
}
