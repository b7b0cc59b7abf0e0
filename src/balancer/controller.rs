use {
  super::{Snapshot, WorkerReport},
  crate::{
    Code, Revision,
    code::Fault,
    config::{self, Presence},
    counter::Counter,
    id,
    membership::{self, Action, Event, Member},
    net::{Batch, Socket},
    peer::{ConfigView, ServiceInForce},
    routing::Table,
    state::Registry,
    supervisor::Stop,
    wire::{Frame, HEADER_MAX, Probe, Tagger},
  },
  crossbeam::{
    channel::{self, Receiver, Sender},
    select,
  },
  serde_json::json,
  std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// How often answers to probes are read and due probes are sent.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How often the state is published and the age of target sets is checked.
const DUMP_INTERVAL: Duration = Duration::from_millis(500);

/// Opening packets are also routed by target sets that were replaced within this time: the packet
/// may be a retransmission, and a target of such a set may own its flow already.
const OPENING_WINDOW: Duration = Duration::from_mins(1);

/// Builds the workers' routing tables from the configuration and from the targets' health, which it
/// infers from the workers' reports and its own probes.
pub struct Controller {
  batch: Batch,
  registry: Registry,
  counter: Arc<Counter>,
  membership: membership::Machine,
  /// When each set of targets came into force in this process.
  in_force_since: HashMap<(id::Service, Revision), Instant>,
  last_dump: Instant,
  /// The oldest version that a worker routed by at the last dump.
  dumped_version: Option<u64>,
  snapshot: Snapshot,
  /// The version that each worker routes by, by the worker's number.
  worker_versions: HashMap<usize, u64>,
  packets_in: u64,
  packets_out: u64,
  tunnel: Socket,
  view: Arc<ConfigView>,
  workers: Vec<Sender<Arc<Snapshot>>>,
}

impl Controller {
  /// Binds a socket for probes and sends the workers their first snapshot.
  pub fn new(
    tunnel: SocketAddr,
    view: Arc<ConfigView>,
    counter: Arc<Counter>,
    registry: Registry,
    workers: Vec<Sender<Arc<Snapshot>>>,
  ) -> Result<Self, Fault> {
    let mut controller = Self {
      batch: Batch::default(),
      registry,
      counter,
      membership: membership::Machine::new(membership::Settings::default()),
      in_force_since: HashMap::new(),
      last_dump: Instant::now(),
      dumped_version: None,
      snapshot: Snapshot::default(),
      worker_versions: HashMap::new(),
      packets_in: 0,
      packets_out: 0,
      tunnel: Socket::bind(SocketAddr::new(tunnel.ip(), 0), false)?,
      view: Arc::default(),
      workers,
    };
    controller.apply_view(view)?;
    Ok(controller)
  }

  /// Processes views and reports until the supervisor stops it. Fails if a keyring is unusable.
  pub fn run(
    &mut self,
    views: &Receiver<Arc<ConfigView>>,
    reports: &Receiver<WorkerReport>,
    stop: &Stop,
  ) -> Result<(), Fault> {
    let ticks = channel::tick(POLL_INTERVAL);
    while !stop.is_set() {
      select! {
        recv(views) -> view => {
          let newest = views.try_iter().last();
          if let Some(view) = newest.or(view.ok()) {
            self.apply_view(view)?;
          }
        }
        recv(reports) -> report => {
          if let Ok(report) = report {
            self.apply_report(report);
          }
        }
        recv(ticks) -> _ => self.tick(),
      }
    }
    Ok(())
  }

  fn apply_view(&mut self, view: Arc<ConfigView>) -> Result<(), Fault> {
    let now = Instant::now();
    self.view = view;
    for in_force in &self.view.services {
      self
        .in_force_since
        .entry((in_force.service.id, in_force.revision))
        .or_insert(now);
    }
    let view = Arc::clone(&self.view);
    self.in_force_since.retain(|(service, revision), _| {
      view.service(*service).is_some_and(|in_force| {
        in_force.revision == *revision
          || in_force.history.iter().any(|set| set.revision == *revision)
      })
    });
    self.snapshot.tagger = view.keyring.as_ref().map(Tagger::new).transpose()?;
    let listed = self.listed();
    self.step_membership(now, Event::Listed(listed));
    self.rebuild(now, None);
    Ok(())
  }

  /// All targets of the current and previous sets. A target of the current set is draining if the
  /// configuration of its service or of its agent's instance says so.
  fn listed(&self) -> Vec<(Member, SocketAddr, bool)> {
    let leaving = self
      .view
      .instances
      .iter()
      .filter(|instance| instance.presence == Presence::Leaving)
      .map(|instance| instance.tunnel)
      .collect::<Vec<_>>();
    let mut listed = Vec::new();
    for ServiceInForce {
      history, service, ..
    } in &self.view.services
    {
      for target in &service.targets {
        let is_leaving = target.leaving || leaving.contains(&target.agent);
        listed.push(((service.id, target.id), target.agent, is_leaving));
      }
      // Targets of previous sets are probed, too: a dead one would end a chain.
      for target in history.iter().flat_map(|set| &set.targets) {
        if service.target(target.id).is_none() {
          listed.push(((service.id, target.id), target.agent, false));
        }
      }
    }
    listed
  }

  fn apply_report(&mut self, report: WorkerReport) {
    let now = Instant::now();
    self.packets_in += report.packets_in;
    self.packets_out += report.packets_out;
    self.worker_versions.insert(report.worker, report.version);
    if report.version < self.snapshot.version {
      // The worker may have restarted, so that it has no snapshot.
      let _ = self.workers[report.worker].send(Arc::new(self.snapshot.clone()));
    }
    for member in report.heard {
      self.step_membership(now, Event::Heard(member));
    }
    for member in report.sent {
      self.step_membership(now, Event::Sent(member));
    }
    for (member, code) in report.refused {
      self.step_membership(now, Event::Refused(member, code));
    }
    let previous = self.dumped_version;
    self.dumped_version = self.common_version();
    if previous != self.dumped_version {
      self.dump();
    }
  }

  fn tick(&mut self) {
    let now = Instant::now();
    self.receive_answers(now);
    self.step_membership(now, Event::Tick);
    if now.duration_since(self.last_dump) < DUMP_INTERVAL {
      return;
    }
    self.last_dump = now;
    let changed = self
      .view
      .services
      .iter()
      .filter(|in_force| {
        let table = self.snapshot.services.get(&in_force.service.id);
        table.is_some_and(|(_, table)| table.recent() != self.recent_sets(now, in_force))
      })
      .map(|in_force| in_force.service.id)
      .collect::<Vec<_>>();
    for service in changed {
      self.rebuild(now, Some(service));
    }
    self.dump();
  }

  /// Reads the answers to probes: echoes and refusals.
  fn receive_answers(&mut self, now: Instant) {
    let Some(tagger) = self.snapshot.tagger.clone() else {
      return;
    };
    let mut batch = std::mem::take(&mut self.batch);
    while matches!(self.tunnel.receive(&mut batch), Ok(true)) {
      for (_, datagram) in batch.datagrams() {
        match Frame::decode(datagram, &tagger) {
          Ok((Frame::Echo(echo), _)) => {
            if let Some(target) = echo.target {
              self.step_membership(now, Event::Heard((echo.service, target)));
            }
          }
          Ok((Frame::Refusal(refusal), _)) => {
            let code = refusal.code();
            let member = (refusal.service, refusal.target);
            self.step_membership(now, Event::Refused(member, code));
          }
          Ok(_) => self.counter.count(Code::FrameWrongTarget),
          Err(code) => self.counter.count(code),
        }
      }
    }
    self.batch = batch;
  }

  fn step_membership(&mut self, now: Instant, event: Event) {
    for action in self.membership.step(now, event) {
      match action {
        Action::Changed((service, target), health) => {
          log::info!("membership: target {target} of service {service} is now {health:?}.");
          self.rebuild(now, Some(service));
        }
        Action::Probe {
          address,
          member,
          nonce,
        } => self.probe(address, member, nonce),
      }
    }
  }

  fn probe(&self, address: SocketAddr, (service, target): Member, nonce: u32) {
    let Some(tagger) = &self.snapshot.tagger else {
      return;
    };
    let probe = Frame::Probe(Probe {
      nonce,
      revision: self.snapshot.revision(service),
      service,
      target: Some(target),
    });
    let mut header = [0; HEADER_MAX];
    if let Ok(length) = probe.encode(0, tagger, &mut header) {
      self.counter.add("control.out.probe", length as u64);
      let _ = self.tunnel.send(address, &header[..length]);
    }
  }

  /// Rebuilds the table of one service, or of all, and sends the workers a new snapshot.
  fn rebuild(&mut self, now: Instant, only: Option<id::Service>) {
    let view = Arc::clone(&self.view);
    if only.is_none() {
      self.snapshot.services.clear();
    }
    for in_force in &view.services {
      let service = &in_force.service;
      if only.is_some_and(|only| only != service.id) {
        continue;
      }
      let recent = self.recent_sets(now, in_force);
      let health = |target: &config::Target| self.membership.health((service.id, target.id));
      let table = Table::new(
        in_force.revision,
        service,
        &in_force.history,
        recent,
        health,
      );
      self
        .snapshot
        .services
        .insert(service.id, (service.address, Arc::new(table)));
    }
    self.snapshot.version = view.version;
    let snapshot = Arc::new(self.snapshot.clone());
    for worker in &self.workers {
      let _ = worker.send(Arc::clone(&snapshot));
    }
  }

  /// The number of sets, the current one included, that opening packets are routed by.
  fn recent_sets(&self, now: Instant, in_force: &ServiceInForce) -> usize {
    let mut successor = in_force.revision;
    let mut recent = 1;
    for set in &in_force.history {
      let replaced_at = self.in_force_since.get(&(in_force.service.id, successor));
      if replaced_at.is_some_and(|at| now.duration_since(*at) >= OPENING_WINDOW) {
        break;
      }
      recent += 1;
      successor = set.revision;
    }
    recent
  }

  /// The oldest version that a worker routes by; none while one has no snapshot.
  fn common_version(&self) -> Option<u64> {
    let all = self.worker_versions.len() == self.workers.len();
    let version = self.worker_versions.values().min().copied();
    version.filter(|version| all && *version > 0)
  }

  /// Publishes the state that the resource API serves.
  fn dump(&self) {
    let avoided = self
      .membership
      .avoided()
      .into_iter()
      .map(|((service, target), health)| {
        json!({ "service": service, "standing": health, "target": target })
      });
    self.registry.set(
      "path",
      json!({
        "avoided": avoided.collect::<Vec<_>>(),
        "packets_in": self.packets_in,
        "packets_out": self.packets_out,
        "targets": self.membership.len(),
        "version": self.common_version(),
      }),
    );
    self
      .registry
      .set("counters", json!(self.counter.snapshot()));
    debug_assert_eq!(self.counter.of(Code::InvariantBroken), 0);
  }
}
