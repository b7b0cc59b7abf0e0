//! The project's own programs as separate processes, on loopback addresses.

use {
  crate::{record::Record, store::Path as StorePath, store::Store},
  std::{
    fs::{self, File},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
  },
};

/// The ports that are alike on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
  pub packets: u16,
  pub outbound: u16,
  pub app: u16,
  pub readiness: u16,
  pub control: u16,
  pub inner: u16,
  pub store: u16,
}

/// The program of a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
  Balancer,
  Agent,
}

/// A machine of the system with its process.
pub struct Machine {
  pub ip: Ipv4Addr,
  pub name: String,
  pub role: Role,
  pub service: String,
  pub path: Arc<StorePath>,
  store: SocketAddrV4,
  child: Mutex<Option<Child>>,
  starts: Mutex<u32>,
}

pub struct Cluster {
  pub folder: PathBuf,
  pub program: PathBuf,
  pub ports: Ports,
  pub machines: Vec<Arc<Machine>>,
  pub record: Arc<Record>,
  net: u8,
}

impl Cluster {
  /// A cluster without machines, in a block of loopback addresses and with ports that are free.
  pub fn new(program: PathBuf, folder: PathBuf, record: Arc<Record>) -> Option<Self> {
    fs::create_dir_all(&folder).ok()?;
    let pid = std::process::id();
    let net = (20 + pid % 200) as u8;
    let first = Ipv4Addr::new(127, net, 0, 1);
    for attempt in 0..200 {
      let base = 21_000 + ((pid * 37 + attempt * 61) % 9_000) as u16;
      let ports = Ports {
        packets: base,
        outbound: base + 1,
        app: base + 2,
        readiness: base + 3,
        control: base + 4,
        inner: base + 5,
        store: base + 9,
      };
      let is_free = (0..10).all(|offset| {
        let address = SocketAddrV4::new(first, base + offset);
        let other = SocketAddrV4::new(Ipv4Addr::LOCALHOST, base + offset);
        TcpListener::bind(address).is_ok()
          && UdpSocket::bind(address).is_ok()
          && TcpListener::bind(other).is_ok()
      });
      if is_free {
        return Some(Self {
          folder,
          program,
          ports,
          machines: Vec::new(),
          record,
          net,
        });
      }
    }
    None
  }

  /// The address of a machine: `kind` 0 for balancers, 1 for agents, 2 for requesters, 3 for the
  /// store, 9 for routes.
  pub fn ip(&self, kind: u8, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, self.net, kind, number)
  }

  pub fn route(&self, number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(self.ip(9, number), 8443)
  }

  pub fn app(&self, number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(self.ip(1, number), self.ports.app)
  }

  pub fn outbound(&self, number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(self.ip(1, number), self.ports.outbound)
  }

  /// Adds a machine with a path of its own to the store.
  pub fn add(&mut self, role: Role, number: u8, service: &str, store: &Arc<Store>) -> Arc<Machine> {
    let kind = u8::from(role == Role::Agent);
    let address = SocketAddrV4::new(self.ip(3, 100 * kind + number), self.ports.store);
    let machine = Arc::new(Machine {
      ip: self.ip(kind, number),
      name: match role {
        Role::Balancer => format!("frontend-z1-{number}"),
        Role::Agent => format!("side-z1-{number}"),
      },
      role,
      service: service.to_owned(),
      path: store.serve(address),
      store: address,
      child: Mutex::default(),
      starts: Mutex::default(),
    });
    self.machines.push(Arc::clone(&machine));
    machine
  }

  fn balancers(&self) -> impl Iterator<Item = &Arc<Machine>> {
    self
      .machines
      .iter()
      .filter(|machine| machine.role == Role::Balancer)
  }

  /// The settings file of a machine, as `DEPLOY.md` shows it.
  fn settings(&self, machine: &Machine, first: bool) -> String {
    let ports = self.ports;
    let ip = machine.ip;
    let seeds = self.balancers().take(3);
    let seeds = seeds.map(|seed| format!("\"{}:{}\"", seed.ip, ports.control));
    let seeds = seeds.collect::<Vec<_>>().join(", ");
    let (class, serves, addresses, extra) = match machine.role {
      Role::Balancer => (
        "frontend",
        "\"frontend\", \"control_plane\"",
        format!(
          "\"DatagramAddr\": \"{ip}:{}\", \"Readiness\": \"{ip}:{}\", \"Control\": \"{ip}:{}\"",
          ports.packets, ports.readiness, ports.control
        ),
        String::new(),
      ),
      Role::Agent => (
        "side",
        "\"side\"",
        format!(
          "\"DatagramAddr\": \"{ip}:{}\", \"outbound\": \"{ip}:{}\", \"Readiness\": \"{ip}:{}\"",
          ports.packets, ports.outbound, ports.readiness
        ),
        format!(
          "\"Service\": \"{}\", \"app\": \"{ip}:{}\",",
          machine.service, ports.app
        ),
      ),
    };
    let (cpu, memory, files) = match machine.role {
      Role::Balancer => ("0.055", 260, 4100),
      Role::Agent => ("0.15", 128, 4096),
    };
    format!(
      r#"{{
  "NodeName": "{}", "Role": "{class}", "MachineClass": "{class}", "Serves": [{serves}],
  "Ip": "{ip}", "Zone": "z1", "Region": "r1", "Zones": {{"z1": "r1"}},
  "BindAddrs": {{{addresses}}}, {extra}
  "InternalPorts": [{}, {}], "Seeds": [{seeds}], "Bootstrap": {first}, "LossCounts": false,
  "Limits": {{"CpuShare": {cpu}, "Cores": 1, "MemoryMb": {memory}, "MaxFds": {files}, "LinkMbps": 1000.0, "DiskMb": 0}},
  "DataDir": null, "Discovery": "platform", "Entry": "announce", "HeartbeatMs": 1200,
  "Contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
  "FaultTolerance": {{"Machines": 2, "Zones": 0, "Regions": 0}},
  "Bounds": {{"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 4000, "AckMs": 5000, "CatchUpS": 4, "DrainMs": 3000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 3000, "RollbackSlackMs": 250, "SkewMaxMs": 12000, "RecoveryS": 12, "FlowReorderMs": 2000, "FlowMaxS": 60}},
  "Hash": "mod", "Forwarding": "agent",
  "platform": {{"Address": "{}", "Forwarding": "read", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000}}
}}
"#,
      machine.name,
      ports.inner,
      ports.inner + 3,
      machine.store,
    )
  }

  /// Starts the process of a machine with the command of the deploy file.
  pub fn start(&self, machine: &Machine) {
    let mut starts = machine
      .starts
      .lock()
      .unwrap_or_else(PoisonError::into_inner);
    let path = self.folder.join(format!("{}.json", machine.name));
    fs::write(&path, self.settings(machine, *starts == 0)).expect("settings file");
    *starts += 1;
    let log = self
      .folder
      .join(format!("{}-{}.log", machine.name, *starts));
    let log = File::create(log).expect("log file");
    let errors = log.try_clone().expect("log file");
    let role = match machine.role {
      Role::Balancer => "balancer",
      Role::Agent => "agent",
    };
    let child = Command::new(&self.program)
      .arg(role)
      .env("FALLWELL_SETTINGS", &path)
      .stdin(Stdio::null())
      .stdout(log)
      .stderr(errors)
      .spawn()
      .expect("program");
    self
      .record
      .note(format!("{}: process {} starts", machine.name, child.id()));
    *machine.child.lock().unwrap_or_else(PoisonError::into_inner) = Some(child);
  }

  /// Sends a signal to the process of a machine.
  pub fn signal(&self, machine: &Machine, signal: &str) {
    let child = machine.child.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(child) = child.as_ref() else { return };
    self
      .record
      .say(&format!("{}: signal {signal}", machine.name));
    let _ = Command::new("sh")
      .arg("-c")
      .arg(format!("kill -{signal} {}", child.id()))
      .status();
  }

  /// Waits for the end of a machine's process.
  pub fn wait_end(&self, machine: &Machine) {
    let child = machine.child.lock();
    if let Some(mut child) = child.unwrap_or_else(PoisonError::into_inner).take() {
      let _ = child.wait();
      self.record.note(format!("{}: process ended", machine.name));
    }
  }

  /// Whether a machine answers 200 to the readiness check.
  pub fn is_ready(&self, machine: &Machine) -> bool {
    is_ready(SocketAddrV4::new(machine.ip, self.ports.readiness))
  }

  /// Waits until all balancers are ready.
  pub fn wait_ready(&self) -> bool {
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
      if self.balancers().all(|machine| self.is_ready(machine)) {
        return true;
      }
      std::thread::sleep(Duration::from_millis(50));
    }
    false
  }
}

impl Drop for Cluster {
  fn drop(&mut self) {
    for machine in &self.machines {
      let mut child = machine.child.lock().unwrap_or_else(PoisonError::into_inner);
      if let Some(mut child) = child.take() {
        let _ = child.kill();
        let _ = child.wait();
      }
    }
    if std::env::var("KEEP").is_err() {
      let _ = fs::remove_dir_all(&self.folder);
    }
  }
}

/// One readiness check.
pub fn is_ready(address: SocketAddrV4) -> bool {
  let limit = Duration::from_millis(400);
  let Ok(mut stream) = TcpStream::connect_timeout(&address.into(), limit) else {
    return false;
  };
  let _ = stream.set_read_timeout(Some(limit));
  let request =
    format!("GET /v1/readiness HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
  if stream.write_all(request.as_bytes()).is_err() {
    return false;
  }
  let mut head = [0; 12];
  stream.read_exact(&mut head).is_ok() && &head[9..12] == b"200"
}
