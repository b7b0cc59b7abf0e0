use {
  super::{fetch, get, invalid_argument, output::Output, reject_unused},
  crate::code::Fault,
  pico_args::Arguments,
  std::net::SocketAddr,
};

/// The help text of `watch`.
pub const HELP: &str = "\
usage: fallwell watch --api ADDRESS [--count N] [--output json|table]

Lists the services of a process, and lists them again after each change.

  --api ADDRESS   the resource API of a process
  --count N       exit after N lists
";

/// Prints the services of a process after each change of its configuration.
pub async fn run(mut arguments: Arguments) -> Result<(), Fault> {
  let api: SocketAddr = arguments
    .value_from_str("--api")
    .map_err(invalid_argument)?;
  let count: Option<u64> = arguments
    .opt_value_from_str("--count")
    .map_err(invalid_argument)?;
  let output = Output::from_arguments(&mut arguments)?;
  reject_unused(arguments)?;
  let mut print_count = 0;
  let mut version = 0;
  while count.is_none_or(|count| print_count < count) {
    let answer = fetch_change(api, version).await?;
    let latest = answer["version"].as_u64().unwrap_or_default();
    if latest > version {
      version = latest;
      print_count += 1;
      get::print_services(&answer["services"], output);
    }
  }
  Ok(())
}

/// Waits up to four seconds for a change after version `after`, and fetches the services.
async fn fetch_change(api: SocketAddr, after: u64) -> Result<serde_json::Value, Fault> {
  let path = format!("/v1/watch?after={after}&wait_ms=4000");
  fetch(api, &path).await
}
