use {
  super::{Report, Snapshot},
  crate::{
    Code, Revision,
    code::Fault,
    config::{self, Presence},
    counter::Counter,
    id,
    membership::{self, Action, Event, Member},
    net::{Batch, Socket},
    peer::{InForce, View},
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

/// How often membership is looked at.
const STEP: Duration = Duration::from_millis(100);

/// How often the state is posted and the age of target sets is looked at.
const POST: Duration = Duration::from_millis(500);

/// A flow's opening packets may be of a target set that was replaced less than this ago.
const OPENING: Duration = Duration::from_mins(1);

/// Builds what the workers route by, from the configuration and from what they report.
pub struct Controller {
  batch: Batch,
  registry: Registry,
  counter: Arc<Counter>,
  machine: membership::Machine,
  /// When each set of targets came into force here.
  since: HashMap<(id::Service, Revision), Instant>,
  posted: Instant,
  posted_version: Option<u64>,
  snapshot: Snapshot,
  taken: HashMap<usize, u64>,
  totals: (u64, u64),
  tunnel: Socket,
  view: Arc<View>,
  workers: Vec<Sender<Arc<Snapshot>>>,
}

impl Controller {
  /// A controller of workers, with a socket of its own for probes.
  pub fn new(
    tunnel: SocketAddr,
    view: Arc<View>,
    counter: Arc<Counter>,
    registry: Registry,
    workers: Vec<Sender<Arc<Snapshot>>>,
  ) -> Result<Self, Fault> {
    let mut controller = Self {
      batch: Batch::default(),
      registry,
      counter,
      machine: membership::Machine::new(membership::Settings::default()),
      since: HashMap::new(),
      posted: Instant::now(),
      posted_version: None,
      snapshot: Snapshot::default(),
      taken: HashMap::new(),
      totals: (0, 0),
      tunnel: Socket::bind(SocketAddr::new(tunnel.ip(), 0), false)?,
      view: Arc::default(),
      workers,
    };
    controller.take_view(view)?;
    Ok(controller)
  }

  /// Runs until it is told to stop.
  pub fn run(
    &mut self,
    views: &Receiver<Arc<View>>,
    reports: &Receiver<Report>,
    stop: &Stop,
  ) -> Result<(), Fault> {
    let ticks = channel::tick(STEP);
    while !stop.is_set() {
      select! {
        recv(views) -> view => {
          let newest = views.try_iter().last();
          if let Some(view) = newest.or(view.ok()) {
            self.take_view(view)?;
          }
        }
        recv(reports) -> report => {
          if let Ok(report) = report {
            self.take_report(report);
          }
        }
        recv(ticks) -> _ => self.tick(),
      }
    }
    Ok(())
  }

  fn take_view(&mut self, view: Arc<View>) -> Result<(), Fault> {
    let now = Instant::now();
    self.view = view;
    for seen in &self.view.services {
      self
        .since
        .entry((seen.service.id, seen.revision))
        .or_insert(now);
    }
    let view = Arc::clone(&self.view);
    self.since.retain(|(service, revision), _| {
      view.service(*service).is_some_and(|seen| {
        seen.revision == *revision || seen.history.iter().any(|set| set.revision == *revision)
      })
    });
    self.snapshot.tagger = view.keyring.as_ref().map(Tagger::new).transpose()?;
    let listed = self.listed();
    self.step(now, Event::Listed(listed));
    self.rebuild(now, None);
    Ok(())
  }

  /// The targets in force and whether the operator or the list of instances says that they leave.
  fn listed(&self) -> Vec<(Member, SocketAddr, bool)> {
    let leaving = self
      .view
      .instances
      .iter()
      .filter(|instance| instance.presence == Presence::Leaving)
      .map(|instance| instance.tunnel)
      .collect::<Vec<_>>();
    let mut listed = Vec::new();
    for InForce {
      history, service, ..
    } in &self.view.services
    {
      for target in &service.targets {
        let leaves = target.leaving || leaving.contains(&target.agent);
        listed.push(((service.id, target.id), target.agent, leaves));
      }
      // Those of earlier sets may be dead: then they must not hold up a chain.
      for target in history.iter().flat_map(|set| &set.targets) {
        if service.target(target.id).is_none() {
          listed.push(((service.id, target.id), target.agent, false));
        }
      }
    }
    listed
  }

  fn take_report(&mut self, report: Report) {
    let now = Instant::now();
    self.totals.0 += report.packets_in;
    self.totals.1 += report.packets_out;
    self.taken.insert(report.worker, report.version);
    if report.version < self.snapshot.version {
      // A worker that was started again has missed it.
      let _ = self.workers[report.worker].send(Arc::new(self.snapshot.clone()));
    }
    for member in report.heard {
      self.step(now, Event::Heard(member));
    }
    for member in report.sent {
      self.step(now, Event::Sent(member));
    }
    for (member, code) in report.refused {
      self.step(now, Event::Refused(member, code));
    }
    let before = self.posted_version;
    self.posted_version = self.version();
    if before != self.posted_version {
      self.post();
    }
  }

  fn tick(&mut self) {
    let now = Instant::now();
    self.receive(now);
    self.step(now, Event::Tick);
    if now.duration_since(self.posted) < POST {
      return;
    }
    self.posted = now;
    let changed = self
      .view
      .services
      .iter()
      .filter(|seen| {
        let table = self.snapshot.services.get(&seen.service.id);
        table.is_some_and(|(_, table)| table.recent() != self.recent(now, seen))
      })
      .map(|seen| seen.service.id)
      .collect::<Vec<_>>();
    for service in changed {
      self.rebuild(now, Some(service));
    }
    self.post();
  }

  /// Takes the answers to probes.
  fn receive(&mut self, now: Instant) {
    let Some(tagger) = self.snapshot.tagger.clone() else {
      return;
    };
    let mut batch = std::mem::take(&mut self.batch);
    while matches!(self.tunnel.receive(&mut batch), Ok(true)) {
      for (_, datagram) in batch.datagrams() {
        match Frame::decode(datagram, &tagger) {
          Ok((Frame::Echo(echo), _)) => {
            if let Some(target) = echo.target {
              self.step(now, Event::Heard((echo.service, target)));
            }
          }
          Ok((Frame::Refusal(refusal), _)) => {
            let code = refusal.code();
            let member = (refusal.service, refusal.target);
            self.step(now, Event::Refused(member, code));
          }
          Ok(_) => self.counter.count(Code::FrameWrongTarget),
          Err(code) => self.counter.count(code),
        }
      }
    }
    self.batch = batch;
  }

  fn step(&mut self, now: Instant, event: Event) {
    for action in self.machine.step(now, event) {
      match action {
        Action::Changed((service, target), standing) => {
          log::info!("membership: target {target} of service {service} is now {standing:?}.");
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

  /// Builds the table of one service, or of all, and hands the workers a new snapshot.
  fn rebuild(&mut self, now: Instant, only: Option<id::Service>) {
    let view = Arc::clone(&self.view);
    if only.is_none() {
      self.snapshot.services.clear();
    }
    for seen in &view.services {
      let service = &seen.service;
      if only.is_some_and(|only| only != service.id) {
        continue;
      }
      let recent = self.recent(now, seen);
      let standing = |target: &config::Target| self.machine.standing((service.id, target.id));
      let table = Table::new(seen.revision, service, &seen.history, recent, standing);
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

  /// How many sets, the current one counted, are recent enough for opening packets.
  fn recent(&self, now: Instant, seen: &InForce) -> usize {
    let mut successor = seen.revision;
    let mut recent = 1;
    for set in &seen.history {
      let replaced = self.since.get(&(seen.service.id, successor));
      if replaced.is_some_and(|at| now.duration_since(*at) >= OPENING) {
        break;
      }
      recent += 1;
      successor = set.revision;
    }
    recent
  }

  /// The version that all workers route by.
  fn version(&self) -> Option<u64> {
    let all = self.taken.len() == self.workers.len();
    let version = self.taken.values().min().copied();
    version.filter(|version| all && *version > 0)
  }

  fn post(&self) {
    let avoided = self
      .machine
      .avoided()
      .into_iter()
      .map(|((service, target), standing)| {
        json!({ "service": service, "standing": standing, "target": target })
      });
    self.registry.set(
      "path",
      json!({
        "avoided": avoided.collect::<Vec<_>>(),
        "packets_in": self.totals.0,
        "packets_out": self.totals.1,
        "targets": self.machine.len(),
        "version": self.version(),
      }),
    );
    self
      .registry
      .set("counters", json!(self.counter.snapshot()));
    debug_assert_eq!(self.counter.of(Code::InvariantBroken), 0);
  }
}
