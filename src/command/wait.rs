use {
  super::{fetch, invalid_argument, reject_unused},
  crate::{
    code::{Code, Fault},
    id,
  },
  pico_args::Arguments,
  serde_json::Value,
  std::{
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// The help text of `wait`.
pub const HELP: &str = "\
usage: fallwell wait --api ADDRESS... --service ID --generation N [--timeout SECONDS]
       fallwell wait --api ADDRESS... --version N [--timeout SECONDS]
       fallwell wait --api ADDRESS... --closed NAME [--timeout SECONDS]

Waits until all given processes have a generation of a service in force, or a version of the
configuration of datagram services, or the closing of a data centre to new flows. After the timeout
it fails and lists the processes that do not, with the reason.

  --api ADDRESS       the resource API of a process; may be repeated
  --closed NAME       the name of the closed data centre
  --generation N      the generation in the service's document
  --service ID        the id of the service
  --timeout SECONDS   how long to wait (10)
  --version N         the version of the configuration
";

/// Reported for a process that does not serve datagram services.
const NO_DATAGRAM_SERVICES: &str = "found no datagram services";

/// How often the processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls the processes until the condition is met everywhere; fails with [`Code::WaitTimedOut`].
pub async fn run(mut arguments: Arguments) -> Result<(), Fault> {
  let apis: Vec<SocketAddr> = arguments
    .values_from_str("--api")
    .map_err(invalid_argument)?;
  let condition = Condition::from_arguments(&mut arguments)?;
  let timeout: Option<u64> = arguments
    .opt_value_from_str("--timeout")
    .map_err(invalid_argument)?;
  reject_unused(arguments)?;
  if apis.is_empty() {
    return Err(Fault::new(
      Code::ArgumentInvalid,
      "expected `--api` once or more",
    ));
  }
  let started = Instant::now();
  let timeout = Duration::from_secs(timeout.unwrap_or(10));
  loop {
    let mut unmet = Vec::new();
    for api in &apis {
      if let Some(reason) = condition.unmet_reason(*api).await {
        unmet.push(format!("{api}: {reason}"));
      }
    }
    if unmet.is_empty() {
      let elapsed_ms = started.elapsed().as_millis();
      println!("{condition} is in force after {elapsed_ms} ms");
      return Ok(());
    }
    if started.elapsed() >= timeout {
      return Err(Fault::new(Code::WaitTimedOut, unmet.join("; ")));
    }
    tokio::time::sleep(POLL_INTERVAL).await;
  }
}

/// What has to be in force at every process.
enum Condition {
  Closed(String),
  Generation(id::Service, u64),
  Version(u64),
}

impl Condition {
  fn from_arguments(arguments: &mut Arguments) -> Result<Self, Fault> {
    if let Some(closed) = arguments
      .opt_value_from_str("--closed")
      .map_err(invalid_argument)?
    {
      return Ok(Self::Closed(closed));
    }
    if let Some(version) = arguments
      .opt_value_from_str("--version")
      .map_err(invalid_argument)?
    {
      return Ok(Self::Version(version));
    }
    let service = arguments
      .value_from_str("--service")
      .map_err(invalid_argument)?;
    let generation = arguments
      .value_from_str("--generation")
      .map_err(invalid_argument)?;
    Ok(Self::Generation(service, generation))
  }

  /// Why a process does not meet the condition; none if it does.
  async fn unmet_reason(&self, api: SocketAddr) -> Option<String> {
    match self {
      Self::Closed(data_centre) => closing_unmet_reason(api, data_centre).await,
      Self::Generation(service, generation) => {
        generation_unmet_reason(api, *service, *generation).await
      }
      Self::Version(version) => version_unmet_reason(api, *version).await,
    }
  }
}

impl Display for Condition {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Closed(data_centre) => write!(f, "closing of data centre {data_centre}"),
      Self::Generation(service, generation) => {
        write!(f, "generation {generation} of service {service}")
      }
      Self::Version(version) => write!(f, "version {version}"),
    }
  }
}

/// Why a process does not treat a data centre as closed to new flows; none if it does.
async fn closing_unmet_reason(api: SocketAddr, data_centre: &str) -> Option<String> {
  let state = match fetch(api, "/v1/state").await {
    Ok(state) => state,
    Err(fault) => return Some(fault.to_string()),
  };
  let spread = &state["spread"];
  let Some(closed) = spread["closed"].as_array() else {
    return Some(NO_DATAGRAM_SERVICES.into());
  };
  let is_closed = closed.iter().any(|name| name == data_centre);
  (!is_closed).then(|| {
    format!(
      "found it open, last answer of the platform {}",
      confirmation_age(spread)
    )
  })
}

/// The time since the platform last confirmed a process's configuration, as text.
fn confirmation_age(spread: &Value) -> String {
  let age = spread["confirmed_ms"].as_u64();
  age.map_or("never".into(), |ms| format!("{ms} ms ago"))
}

/// Why a process does not have a version in force; none if it does.
async fn version_unmet_reason(api: SocketAddr, version: u64) -> Option<String> {
  let state = match fetch(api, "/v1/state").await {
    Ok(state) => state,
    Err(fault) => return Some(fault.to_string()),
  };
  let spread = &state["spread"];
  let Some(found) = spread["version"].as_u64() else {
    return Some(NO_DATAGRAM_SERVICES.into());
  };
  let age = confirmation_age(spread);
  (found < version).then(|| format!("found version {found}, last answer of the platform {age}"))
}

/// Why a process does not have the generation in force; none if it does.
async fn generation_unmet_reason(
  api: SocketAddr,
  service: id::Service,
  generation: u64,
) -> Option<String> {
  let resource = match fetch(api, &format!("/v1/services/{service}")).await {
    Ok(resource) => resource,
    Err(fault) => return Some(fault.to_string()),
  };
  if let Some(reason) = resource["conditions"]["accepted"]["reason"].as_str() {
    return Some(reason.to_owned());
  }
  let found = resource["generation"].as_u64().unwrap_or_default();
  if found < generation {
    return Some(format!("found generation {found}"));
  }
  let in_force = resource["conditions"]["in_force"]["status"] == true;
  (!in_force).then(|| "accepted, but not yet in force at all workers".to_owned())
}
