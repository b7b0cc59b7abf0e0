use {
  super::{ask, finish, get, invalid, output::Output},
  crate::code::Fault,
  pico_args::Arguments,
  std::net::SocketAddr,
};

/// The help of the verb.
pub const HELP: &str = "\
usage: fallwell watch --api ADDRESS [--count N] [--output json|table]

Shows the services of a process, and again with each change.

  --api ADDRESS   the resource API of a process
  --count N       stop after N times
";

/// Shows the services with each change.
pub async fn run(mut arguments: Arguments) -> Result<(), Fault> {
  let api: SocketAddr = arguments.value_from_str("--api").map_err(invalid)?;
  let count: Option<u64> = arguments.opt_value_from_str("--count").map_err(invalid)?;
  let output = Output::take(&mut arguments)?;
  finish(arguments)?;
  let mut shown = 0;
  let mut version = 0;
  while count.is_none_or(|count| shown < count) {
    let answer = ask_long(api, version).await?;
    let newer = answer["version"].as_u64().unwrap_or_default();
    if newer > version {
      version = newer;
      shown += 1;
      get::show(&answer["services"], output);
    }
  }
  Ok(())
}

async fn ask_long(api: SocketAddr, after: u64) -> Result<serde_json::Value, Fault> {
  let path = format!("/v1/watch?after={after}&wait_ms=4000");
  ask(api, &path).await
}
