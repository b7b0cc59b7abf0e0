use {
  super::{Route, Target},
  crate::{
    code::{Code, Fault},
    id,
  },
  serde::{Deserialize, Serialize},
  std::{collections::HashSet, net::SocketAddr},
};

/// The maximum number of targets of a service.
const TARGETS_MAX: usize = 4096;

/// A set of targets that callers reach at one address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
  /// The address to which callers send their packets (UDP).
  pub address: SocketAddr,
  /// The longest time that a leaving target keeps its flows, in seconds.
  #[serde(default = "drain_s")]
  pub drain_s: u64,
  /// The operator's version number of the document.
  pub generation: u64,
  /// The service's id, equal to the one in its key.
  pub id: id::Service,
  /// The name shown to operators.
  pub name: String,
  /// The length of the warm-up (slow start), during which a target that has started gets fewer new
  /// flows, in seconds.
  #[serde(default = "ramp_s")]
  pub ramp_s: u64,
  /// How long the idempotency key of a request that may not be repeated is remembered, in seconds.
  #[serde(default = "repeat_window_s")]
  pub repeat_window_s: u64,
  /// Settings of its requests; the first route that matches applies.
  #[serde(default)]
  pub routes: Vec<Route>,
  /// Its targets; at least one.
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
  /// Fails when the service has no targets, a target's id or an agent address occurs twice, or a
  /// value is out of range.
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

  fn check_range(&self, field: &str, found: u64, max: u64) -> Result<(), Fault> {
    if found <= max {
      return Ok(());
    }
    Err(Fault::new(
      Code::DocumentOutOfRange,
      format!(
        "service {}: found {found}, expected at most {max}, in `{field}`",
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
            "service {}: target {} at {} occurs twice in `targets`, by its id or its agent address",
            self.id, target.id, target.agent
          ),
        ));
      }
      self.check_range("slots", target.slots.into(), 100_000)?;
      self.check_range("connections", target.connections.into(), 1_000_000)?;
    }
    Ok(())
  }

  /// The target with this id, if the service has one.
  pub fn target(&self, id: id::Target) -> Option<&Target> {
    self.targets.iter().find(|target| target.id == id)
  }
}
