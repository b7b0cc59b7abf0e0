use {
  super::{Route, Target},
  crate::{
    code::{Code, Fault},
    id,
  },
  serde::{Deserialize, Serialize},
  std::{collections::HashSet, net::SocketAddr},
};

/// How many targets a service may name.
const TARGETS_MAX: usize = 4096;

/// A service: a set of targets that callers reach through one address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
  /// The address that callers reach (UDP).
  pub address: SocketAddr,
  /// How long a leaving target keeps its flows, in seconds.
  #[serde(default = "drain_s")]
  pub drain_s: u64,
  /// The operator's own count of the document's versions.
  pub generation: u64,
  /// The service's id, the same as in its key.
  pub id: id::Service,
  /// What people call it.
  pub name: String,
  /// How long a target that has just started is given fewer new flows, in seconds.
  #[serde(default = "ramp_s")]
  pub ramp_s: u64,
  /// How long a key of a request that may not be repeated counts, in seconds.
  #[serde(default = "repeat_window_s")]
  pub repeat_window_s: u64,
  /// What the operator says of its requests; the first that fits counts.
  #[serde(default)]
  pub routes: Vec<Route>,
  /// Its back ends.
  pub targets: Vec<Target>,
}

fn drain_s() -> u64 {
  3600
}

fn ramp_s() -> u64 {
  10
}

fn repeat_window_s() -> u64 {
  600
}

impl Service {
  /// Checks what the types alone do not.
  pub fn check(&self) -> Result<(), Fault> {
    if self.targets.is_empty() {
      return Err(Fault::new(
        Code::DocumentWithoutTargets,
        format!("service {}: found 0 targets, expected 1 or more", self.id),
      ));
    }
    self.check_range("targets", self.targets.len() as u64, TARGETS_MAX as u64)?;
    self.check_range("drain_s", self.drain_s, 7 * 24 * 3600)?;
    self.check_range("ramp_s", self.ramp_s, 3600)?;
    self.check_range("repeat_window_s", self.repeat_window_s, 24 * 3600)?;
    self.check_targets()?;
    self.check_routes()
  }

  fn check_range(&self, what: &str, found: u64, most: u64) -> Result<(), Fault> {
    if found <= most {
      return Ok(());
    }
    Err(Fault::new(
      Code::DocumentOutOfRange,
      format!(
        "service {}: found {found}, expected {most} at most, in `{what}`",
        self.id
      ),
    ))
  }

  fn check_routes(&self) -> Result<(), Fault> {
    for route in &self.routes {
      if !route.path.starts_with('/') {
        return Err(Fault::new(
          Code::DocumentOutOfRange,
          format!(
            "service {}: found path `{}`, expected a leading `/`, in `routes`",
            self.id, route.path
          ),
        ));
      }
      self.check_range("weight", route.weight.into(), 1000)?;
      self.check_range("deadline_ms", route.deadline_ms, 24 * 3600 * 1000)?;
    }
    Ok(())
  }

  fn check_targets(&self) -> Result<(), Fault> {
    let mut ids = HashSet::new();
    let mut agents = HashSet::new();
    for target in &self.targets {
      if !ids.insert(target.id) || !agents.insert(target.agent) {
        return Err(Fault::new(
          Code::DocumentTargetTwice,
          format!(
            "service {}: target {} at {} stands twice in `targets`",
            self.id, target.id, target.agent
          ),
        ));
      }
      self.check_range("slots", target.slots.into(), 100_000)?;
      self.check_range("connections", target.connections.into(), 1_000_000)?;
    }
    Ok(())
  }

  /// The target with this id.
  pub fn target(&self, id: id::Target) -> Option<&Target> {
    self.targets.iter().find(|target| target.id == id)
  }
}
