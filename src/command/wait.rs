use {
  super::{ask, finish, invalid},
  crate::{
    code::{Code, Fault},
    id,
  },
  pico_args::Arguments,
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// The help of the verb.
pub const HELP: &str = "\
usage: fallwell wait --api ADDRESS... --service ID --generation N [--timeout SECONDS]

Waits until a generation of a service is in force at every process named, and fails with who lags
and why when it is not in time.

  --api ADDRESS       the resource API of a process; may be given many times
  --generation N      the generation that the document states
  --service ID        the service
  --timeout SECONDS   how long to wait (10)
";

/// How often the processes are asked.
const STEP: Duration = Duration::from_millis(50);

/// Waits for a generation.
pub async fn run(mut arguments: Arguments) -> Result<(), Fault> {
  let apis: Vec<SocketAddr> = arguments.values_from_str("--api").map_err(invalid)?;
  let service: id::Service = arguments.value_from_str("--service").map_err(invalid)?;
  let generation: u64 = arguments.value_from_str("--generation").map_err(invalid)?;
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
      if let Some(why) = lag(*api, service, generation).await {
        lags.push(format!("{api}: {why}"));
      }
    }
    if lags.is_empty() {
      let took = begun.elapsed().as_millis();
      println!("generation {generation} of service {service} is in force after {took} ms");
      return Ok(());
    }
    if begun.elapsed() >= limit {
      return Err(Fault::new(Code::WaitTimedOut, lags.join("; ")));
    }
    tokio::time::sleep(STEP).await;
  }
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
