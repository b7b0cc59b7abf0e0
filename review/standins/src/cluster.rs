//! The project's own programs as separate processes, each on a loopback address of its own, with the
//! settings files that DEPLOY.md describes.

use {
  crate::{fabric::Fabric, record::Record, requester::Requesters, store::Store, target::Target},
  std::{
    collections::{BTreeMap, BTreeSet},
    fs::{self, File},
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
  },
};

/// The bounds and limits of the site `chakravala-kochi`.
pub const CONTACT: Duration = Duration::from_millis(4000);
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(15_000);
pub const FLOW_MAX: Duration = Duration::from_secs(60);

const GRACE: Duration = Duration::from_secs(6);
const DATAGRAM: u16 = 8172;
const READINESS: u16 = 8167;
const CONTROL: u16 = 8166;
const OUTBOUND: u16 = 8162;
const APP: u16 = 8165;
const STORE: u16 = 8169;
const INTERNAL: (u16, u16) = (7720, 7735);
/// The delay after which a process that has ended is started again.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);
const PROGRAM: &str = "target/deploy/fallwell-platform";
const ZONES: [&str; 4] = ["ernakulam", "edappally", "kakkanad", "vyttila"];

/// The process ids of all children that run.
static CHILDREN: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Kills all children, where the case itself cannot.
pub fn kill_children() {
  for child in CHILDREN.lock().unwrap().iter() {
    let _ = Command::new("kill")
      .args(["-KILL", &child.to_string()])
      .status();
  }
}

/// A machine with one process.
struct Machine {
  child: Option<Child>,
  first_start: bool,
  /// When its process was last started, stopped, killed, frozen or woken.
  last_trouble: Instant,
  role: &'static str,
  /// The service of the target on it.
  service: Option<String>,
  zone: usize,
}

pub struct Cluster {
  pub fabric: Fabric,
  folder: PathBuf,
  machines: Mutex<BTreeMap<u8, Machine>>,
  net: (u8, u8),
  pub record: Record,
  /// The balancers whose addresses the settings name as seeds.
  seeds: &'static [u8],
  pub store: Store,
  targets: Mutex<BTreeMap<u8, Target>>,
}

impl Cluster {
  pub fn new(record: &Record, seeds: &'static [u8]) -> Result<Self, String> {
    if !fs::exists(PROGRAM).unwrap_or(false) {
      return Err(format!(
        "{PROGRAM} is missing: run the build of deploy/system.toml first"
      ));
    }
    let seed = std::process::id();
    let nets = (0..200).map(|i| {
      (
        64 + ((seed / 251 + i) % 120) as u8,
        1 + ((seed + i) % 251) as u8,
      )
    });
    let is_free = |(a, b): &(u8, u8)| {
      let ip = Ipv4Addr::new(127, *a, *b, 1);
      let free = |port| UdpSocket::bind((ip, port)).is_ok();
      free(DATAGRAM) && free(INTERNAL.0)
    };
    let net = nets
      .into_iter()
      .find(is_free)
      .ok_or("no free loopback addresses")?;
    let folder = std::env::temp_dir().join(format!("fallwell-review-{seed}"));
    fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    let address = SocketAddrV4::new(Ipv4Addr::new(127, net.0, net.1, 200), STORE);
    let store = Store::start(address).map_err(|error| error.to_string())?;
    Ok(Self {
      fabric: Fabric::new(record),
      folder,
      machines: Mutex::default(),
      net,
      record: record.clone(),
      seeds,
      store,
      targets: Mutex::default(),
    })
  }

  pub fn ip(&self, machine: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, self.net.0, self.net.1, machine)
  }

  fn at(&self, machine: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(self.ip(machine), port)
  }

  /// Adds a machine with a balancer; its process is started by `start`.
  pub fn add_balancer(&self, machine: u8, zone: usize) {
    self.add(machine, "balancer", zone, None);
    self.fabric.add(
      zone,
      self.at(machine, DATAGRAM),
      self.at(machine, READINESS),
    );
  }

  /// Adds a machine with a target and an agent, and lists the target in the store.
  pub fn add_target(&self, machine: u8, zone: usize, service: &str) -> Result<(), String> {
    self.add(machine, "agent", zone, Some(service.into()));
    let id = format!("i-{machine}");
    let target = Target::start(
      &id,
      self.at(machine, APP),
      self.at(machine, OUTBOUND),
      &self.record,
    );
    let target = target.map_err(|error| error.to_string())?;
    self.targets.lock().unwrap().insert(machine, target);
    self.list_target(machine);
    Ok(())
  }

  /// Lets the next start of a machine's process not be the first of the whole system.
  pub fn add_later(&self, machine: u8, zone: usize) {
    self.add_balancer(machine, zone);
    self
      .machines
      .lock()
      .unwrap()
      .get_mut(&machine)
      .expect("a machine")
      .first_start = false;
  }

  fn add(&self, machine: u8, role: &'static str, zone: usize, service: Option<String>) {
    let machine_state = Machine {
      child: None,
      first_start: true,
      last_trouble: Instant::now(),
      role,
      service,
      zone,
    };
    self.machines.lock().unwrap().insert(machine, machine_state);
  }

  pub fn target(&self, machine: u8) -> Target {
    self.targets.lock().unwrap()[&machine].clone()
  }

  /// The target with an id.
  pub fn target_of(&self, id: &str) -> Option<Target> {
    let targets = self.targets.lock().unwrap();
    targets.values().find(|target| target.id == id).cloned()
  }

  fn list_target(&self, machine: u8) {
    let machines = self.machines.lock().unwrap();
    let state = &machines[&machine];
    let service = state.service.as_deref().unwrap_or_default();
    let entry = format!(
      "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
       \"Capacity\":5,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":1}}",
      self.at(machine, APP),
      ZONES[state.zone]
    );
    self.store.put(&format!("servers/i-{machine}"), &entry);
  }

  /// Removes a target's entry; the target serves on.
  pub fn unlist_target(&self, machine: u8) {
    self.store.remove(&format!("servers/i-{machine}"));
    self
      .record
      .line(&format!("store: the entry of target i-{machine} is gone"));
  }

  /// Starts the requesters of a zone.
  pub fn requesters(&self, zone: usize) -> Result<Requesters, String> {
    let address = self.at(100 + zone as u8, DATAGRAM);
    let requesters = Requesters::start(zone, address, &self.fabric, &self.record);
    requesters.map_err(|error| error.to_string())
  }

  pub fn machines(&self) -> Vec<u8> {
    self.machines.lock().unwrap().keys().copied().collect()
  }

  /// Starts the processes of these machines.
  pub fn start(&self, machines: &[u8]) -> Result<(), String> {
    for machine in machines {
      self
        .start_one(*machine)
        .map_err(|error| error.to_string())?;
    }
    Ok(())
  }

  /// Kills the processes of these machines at the same moment.
  pub fn kill(&self, machines: &[u8]) {
    let mut states = self.machines.lock().unwrap();
    let now = Instant::now();
    for machine in machines {
      if let Some(child) = states
        .get_mut(machine)
        .and_then(|state| state.child.as_mut())
      {
        let _ = child.kill();
      }
    }
    for machine in machines {
      if let Some(state) = states.get_mut(machine) {
        state.last_trouble = now;
        if let Some(mut child) = state.child.take() {
          let _ = child.wait();
          CHILDREN.lock().unwrap().remove(&child.id());
        }
      }
    }
    self.record.line(&format!(
      "SIGKILL to the processes of machines {machines:?}"
    ));
  }

  /// Sends SIGTERM to the process of a machine and waits until it has ended.
  pub fn terminate(&self, machine: u8) -> Result<(), String> {
    let child = self
      .machines
      .lock()
      .unwrap()
      .get_mut(&machine)
      .and_then(|state| state.child.take());
    let mut child = child.ok_or("no process")?;
    let sent = Command::new("kill")
      .args(["-TERM", &child.id().to_string()])
      .status();
    sent.map_err(|error| error.to_string())?;
    self
      .record
      .line(&format!("SIGTERM to the process of machine {machine}"));
    let asked = Instant::now();
    while matches!(child.try_wait(), Ok(None)) {
      if asked.elapsed() >= GRACE {
        let _ = child.kill();
      }
      thread::sleep(Duration::from_millis(2));
    }
    CHILDREN.lock().unwrap().remove(&child.id());
    if let Some(state) = self.machines.lock().unwrap().get_mut(&machine) {
      state.last_trouble = Instant::now();
    }
    let after = asked.elapsed();
    self.record.line(&format!(
      "process of machine {machine} has ended after {after:?}"
    ));
    Ok(())
  }

  /// Freezes the process of a machine, or lets it go on.
  pub fn freeze(&self, machine: u8, frozen: bool) -> Result<(), String> {
    let mut states = self.machines.lock().unwrap();
    let state = states.get_mut(&machine).ok_or("no such machine")?;
    let child = state.child.as_ref().ok_or("no process")?;
    let signal = if frozen { "-STOP" } else { "-CONT" };
    let sent = Command::new("kill")
      .args([signal, &child.id().to_string()])
      .status();
    sent.map_err(|error| error.to_string())?;
    state.last_trouble = Instant::now();
    self.record.line(&format!(
      "SIG{} to the process of machine {machine}",
      &signal[1..]
    ));
    Ok(())
  }

  /// How long ago the latest start, kill or freeze of any process was.
  pub fn calm(&self) -> Duration {
    let machines = self.machines.lock().unwrap();
    let latest = machines.values().map(|machine| machine.last_trouble).max();
    latest.map_or(Duration::ZERO, |latest| latest.elapsed())
  }

  /// The machines whose processes have ended by themselves.
  pub fn ended(&self) -> Vec<u8> {
    let mut machines = self.machines.lock().unwrap();
    let ended = machines.iter_mut().filter_map(|(number, machine)| {
      let child = machine.child.as_mut()?;
      matches!(child.try_wait(), Ok(Some(_))).then_some(*number)
    });
    ended.collect()
  }

  /// Waits until all balancers are ready.
  pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
    let end = Instant::now() + limit;
    while !self.fabric.all_in() {
      if Instant::now() >= end {
        return Err("the balancers did not become ready".into());
      }
      thread::sleep(Duration::from_millis(20));
    }
    Ok(())
  }

  fn start_one(&self, number: u8) -> std::io::Result<()> {
    let mut machines = self.machines.lock().unwrap();
    let machine = machines.get_mut(&number).expect("a known machine");
    let path = self.folder.join(format!("boot-{number}.json"));
    fs::write(&path, self.settings(number, machine))?;
    let log = self.folder.join(format!("{}-{number}.log", machine.role));
    let log = File::options().create(true).append(true).open(log)?;
    let kept = ["PATH", "HOME", "LANG"].into_iter();
    let kept = kept.filter_map(|name| Some((name, std::env::var_os(name)?)));
    let child = Command::new(PROGRAM)
      .arg(machine.role)
      .env_clear()
      .envs(kept)
      .env("FALLWELL_SETTINGS", &path)
      .stdin(Stdio::null())
      .stdout(log.try_clone()?)
      .stderr(log)
      .spawn()?;
    self.record.line(&format!(
      "process of machine {number} ({}) starts, Bootstrap {}",
      machine.role, machine.first_start
    ));
    machine.first_start = false;
    machine.last_trouble = Instant::now();
    CHILDREN.lock().unwrap().insert(child.id());
    machine.child = Some(child);
    Ok(())
  }

  fn settings(&self, number: u8, machine: &Machine) -> String {
    let ip = self.ip(number);
    let is_agent = machine.role == "agent";
    let (class, serves) = if is_agent {
      ("side", "\"side\"")
    } else {
      ("frontend", "\"frontend\",\"control_plane\"")
    };
    let own = if is_agent {
      format!("\"outbound\":\"{ip}:{OUTBOUND}\"")
    } else {
      format!("\"Control\":\"{ip}:{CONTROL}\"")
    };
    let target = machine.service.as_ref().map_or(String::new(), |service| {
      format!("\"app\":\"{ip}:{APP}\",\"Service\":\"{service}\",")
    });
    let zones = ZONES.map(|zone| format!("\"{zone}\":\"kochi\"")).join(",");
    let seeds = self
      .seeds
      .iter()
      .map(|seed| format!("\"{}\"", self.at(*seed, CONTROL)));
    let seeds = seeds.collect::<Vec<_>>().join(",");
    format!(
      "{{\"NodeName\":\"{class}-{number}\",\"Role\":\"{}\",\"MachineClass\":\"{class}\",\
       \"Serves\":[{serves}],\"Ip\":\"{ip}\",\"Zone\":\"{}\",\"Region\":\"kochi\",\
       \"Zones\":{{{zones}}},\
       \"BindAddrs\":{{\"DatagramAddr\":\"{ip}:{DATAGRAM}\",\"Readiness\":\"{ip}:{READINESS}\",{own}}},\
       \"InternalPorts\":[{},{}],\"Seeds\":[{seeds}],\"Bootstrap\":{},\"LossCounts\":false,\
       \"Limits\":{{\"CpuShare\":0.15,\"Cores\":1,\"MemoryMb\":260,\"MaxFds\":4100,\
       \"LinkMbps\":1000.0,\"DiskMb\":0}},\"DataDir\":null,\"Discovery\":\"platform\",\
       \"Entry\":\"announce\",\"HeartbeatMs\":1200,\
       \"Contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"platform\"],\
       \"FaultTolerance\":{{\"Machines\":2,\"Zones\":0,\"Regions\":0}},\
       \"Bounds\":{{\"SeedLagS\":3,\"ReuseAfterS\":2,\"ContactMs\":4000,\"AckMs\":5000,\
       \"CatchUpS\":4,\"DrainMs\":3000,\"GraceS\":6,\"LossSlackMs\":200,\"ConfigApplyMs\":3000,\
       \"RollbackSlackMs\":250,\"SkewMaxMs\":12000,\"RecoveryS\":12,\"FlowReorderMs\":2000,\
       \"FlowMaxS\":60}},\"Hash\":\"mod\",\"Forwarding\":\"agent\",{target}\
       \"platform\":{{\"Address\":\"{}\",\"Forwarding\":\"read\",\"WritesPerS\":400,\
       \"ReadsPerS\":2000,\"HistoryS\":20,\"ValueBytes\":1048576,\"TtlMinMs\":1000}}}}",
      machine.role,
      ZONES[machine.zone],
      INTERNAL.0,
      INTERNAL.1,
      machine.first_start,
      self.at(200, STORE),
    )
  }
}

impl Drop for Cluster {
  fn drop(&mut self) {
    let machines = self.machines();
    self.kill(&machines);
    for target in self.targets.lock().unwrap().values() {
      target.stop();
    }
    if std::env::var_os("KEEP_LOGS").is_none() {
      let _ = fs::remove_dir_all(&self.folder);
    }
  }
}
