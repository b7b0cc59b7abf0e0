use {
  serde::Deserialize,
  serde_json::Value,
  std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
  },
};

/// The flows of one class that wait at a datagram process, as its state shows them. Balancers show
/// more than agents do. An agent shows each balancer's flows apart; they are added up here.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct Demand {
  /// The balancer at which the flows wait; none in a balancer's own state.
  balancer: Option<String>,
  /// At how many other balancers the flows wait.
  #[serde(skip)]
  pub balancers: usize,
  /// How many callers they come from. One that is known to several balancers counts for each.
  pub callers: u64,
  /// How many a second are placed.
  pub drain_rate: Option<f64>,
  /// How many of those a second are placed too late for their objective.
  pub late_rate: Option<f64>,
  /// How many may wait.
  pub limit: Option<f64>,
  /// How long the oldest has waited, in milliseconds.
  pub oldest_ms: u64,
  /// Whether flows that cannot be served are rejected.
  pub overloaded: bool,
  /// The priority of the flows' routes; 0 is the highest.
  pub priority: u8,
  /// How many flows wait.
  pub queued: u64,
  /// The service that they wait for.
  pub service: String,
}

impl Demand {
  /// The classes of a process with flows that wait, from its state (`/v1/state`): `admission` of a
  /// balancer, `demand` of an agent. Entries that cannot be read are left out.
  pub fn of_state(state: &Value) -> Vec<Self> {
    let own_service = state["upstream"]["service"].as_str().unwrap_or_default();
    let entries = [&state["admission"], &state["demand"]];
    let entries = entries.into_iter().filter_map(Value::as_array).flatten();
    let classes = entries.filter_map(|entry| Self::deserialize(entry).ok());
    let mut waiting = BTreeMap::<(String, u8), Self>::new();
    for mut class in classes.filter(|class| class.queued > 0) {
      // An agent's entries name no service: all are of its upstream's.
      if class.service.is_empty() {
        own_service.clone_into(&mut class.service);
      }
      let key = (class.service.clone(), class.priority);
      let sum = waiting.entry(key).or_default();
      *sum = Self {
        balancers: sum.balancers + usize::from(class.balancer.is_some()),
        callers: sum.callers + class.callers,
        oldest_ms: sum.oldest_ms.max(class.oldest_ms),
        queued: sum.queued + class.queued,
        ..class
      };
    }
    waiting.into_values().collect()
  }

  /// Why flows wait.
  fn reason(&self) -> &'static str {
    match self.drain_rate {
      _ if self.overloaded => "overloaded, the rest is rejected",
      Some(0.0) => "none are placed",
      _ => "targets are busy",
    }
  }
}

/// A number with its noun, which has an "s" unless the number is 1.
fn counted(number: u64, noun: &str) -> String {
  let plural = if number == 1 { "" } else { "s" };
  format!("{number} {noun}{plural}")
}

impl Display for Demand {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(
      f,
      "{} priority {}: {} of {} {}, the oldest for {} ms",
      self.service,
      self.priority,
      counted(self.queued, "flow"),
      counted(self.callers, "caller"),
      if self.queued == 1 { "waits" } else { "wait" },
      self.oldest_ms
    )?;
    if self.balancers > 0 {
      write!(f, ", at {}", counted(self.balancers as u64, "balancer"))?;
    }
    if let Some(drain_rate) = self.drain_rate {
      write!(f, "; {drain_rate:.1} placed a second")?;
    }
    if let Some(late_rate) = self.late_rate {
      write!(f, ", {late_rate:.1} of them late")?;
    }
    if let Some(limit) = self.limit {
      write!(f, "; at most {limit:.0} may wait")?;
    }
    write!(f, "; {}", self.reason())
  }
}
