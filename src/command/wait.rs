use {
  super::{ask, finish, invalid},
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

/// The help of the verb.
pub const HELP: &str = "\
usage: fallwell wait --api ADDRESS... --service ID --generation N [--timeout SECONDS]
       fallwell wait --api ADDRESS... --version N [--timeout SECONDS]
       fallwell wait --api ADDRESS... --closed NAME [--timeout SECONDS]

Waits until a generation of a service, or a version of the configuration of datagram services, is
in force at every process named, or until each knows that a data centre is closed to new flows, and
fails with who lags and why when it is not in time.

  --api ADDRESS       the resource API of a process; may be given many times
  --closed NAME       the data centre
  --generation N      the generation that the document states
  --service ID        the service
  --timeout SECONDS   how long to wait (10)
  --version N         the version of the configuration
";

/// What is said of a process of another kind.
const WITHOUT_DATAGRAMS: &str = "found no version: it carries no datagram services";

/// How often the processes are asked.
const STEP: Duration = Duration::from_millis(50);

/// Waits for a generation.
pub async fn run(mut arguments: Arguments) -> Result<(), Fault> {
  let apis: Vec<SocketAddr> = arguments.values_from_str("--api").map_err(invalid)?;
  let wanted = Wanted::take(&mut arguments)?;
  let timeout: Option<u64> = arguments.opt_value_from_str("--timeout").map_err(invalid)?;
  finish(arguments)?;
  if apis.is_empty() {
    return Err(Fault::new(
      Code::ArgumentInvalid,
      "expected `--api` once or more",
    ));
  }
  let begun = Instant::now();
  let limit = Duration::from_secs(timeout.unwrap_or(10));
  loop {
    let mut lags = Vec::new();
    for api in &apis {
      if let Some(why) = wanted.lag(*api).await {
        lags.push(format!("{api}: {why}"));
      }
    }
    if lags.is_empty() {
      let took = begun.elapsed().as_millis();
      println!("{wanted} is in force after {took} ms");
      return Ok(());
    }
    if begun.elapsed() >= limit {
      return Err(Fault::new(Code::WaitTimedOut, lags.join("; ")));
    }
    tokio::time::sleep(STEP).await;
  }
}

/// What is to be in force.
enum Wanted {
  Closed(String),
  Generation(id::Service, u64),
  Version(u64),
}

impl Wanted {
  fn take(arguments: &mut Arguments) -> Result<Self, Fault> {
    if let Some(closed) = arguments.opt_value_from_str("--closed").map_err(invalid)? {
      return Ok(Self::Closed(closed));
    }
    if let Some(version) = arguments.opt_value_from_str("--version").map_err(invalid)? {
      return Ok(Self::Version(version));
    }
    let service = arguments.value_from_str("--service").map_err(invalid)?;
    let generation = arguments.value_from_str("--generation").map_err(invalid)?;
    Ok(Self::Generation(service, generation))
  }

  /// Why a process does not have it in force; none where it has.
  async fn lag(&self, api: SocketAddr) -> Option<String> {
    match self {
      Self::Closed(data_centre) => lag_of_closing(api, data_centre).await,
      Self::Generation(service, generation) => lag(api, *service, *generation).await,
      Self::Version(version) => lag_of_version(api, *version).await,
    }
  }
}

impl Display for Wanted {
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

/// Why a process does not know that a data centre is closed; none where it does.
async fn lag_of_closing(api: SocketAddr, data_centre: &str) -> Option<String> {
  let state = match ask(api, "/v1/state").await {
    Ok(state) => state,
    Err(fault) => return Some(fault.to_string()),
  };
  let spread = &state["spread"];
  let Some(closed) = spread["closed"].as_array() else {
    return Some(WITHOUT_DATAGRAMS.into());
  };
  let known = closed.iter().any(|name| name == data_centre);
  (!known).then(|| format!("found it open, last word of the platform {}", age(spread)))
}

/// How old a process's last word of the platform is.
fn age(spread: &Value) -> String {
  let age = spread["confirmed_ms"].as_u64();
  age.map_or("never".into(), |ms| format!("{ms} ms ago"))
}

/// Why a process does not have a version in force; none where it has.
async fn lag_of_version(api: SocketAddr, version: u64) -> Option<String> {
  let state = match ask(api, "/v1/state").await {
    Ok(state) => state,
    Err(fault) => return Some(fault.to_string()),
  };
  let spread = &state["spread"];
  let Some(held) = spread["version"].as_u64() else {
    return Some(WITHOUT_DATAGRAMS.into());
  };
  let age = age(spread);
  (held < version).then(|| format!("found version {held}, last word of the platform {age}"))
}

/// Why a process does not have the generation in force; none when it has.
async fn lag(api: SocketAddr, service: id::Service, generation: u64) -> Option<String> {
  let resource = match ask(api, &format!("/v1/services/{service}")).await {
    Ok(resource) => resource,
    Err(fault) => return Some(fault.to_string()),
  };
  if let Some(reason) = resource["conditions"]["accepted"]["reason"].as_str() {
    return Some(reason.to_owned());
  }
  let held = resource["generation"].as_u64().unwrap_or_default();
  if held < generation {
    return Some(format!("found generation {held}"));
  }
  let in_force = resource["conditions"]["in_force"]["status"] == true;
  (!in_force).then(|| "taken, but not by all workers yet".to_owned())
}
