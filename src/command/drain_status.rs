use {
  super::{fetch, invalid_argument, output::Output, reject_unused},
  crate::code::Fault,
  pico_args::Arguments,
  std::net::SocketAddr,
};

/// The help text of `drain-status`.
pub const HELP: &str = "\
usage: fallwell drain-status --api ADDRESS [--output json|table]

Shows the open flows and unfinished requests of a target's agent. While the target drains, both
fall to zero as its callers move to other targets.

  --api ADDRESS   the resource API of the agent
";

/// Prints the number of flows and requests of an agent.
pub async fn run(mut arguments: Arguments) -> Result<(), Fault> {
  let api: SocketAddr = arguments
    .value_from_str("--api")
    .map_err(invalid_argument)?;
  let output = Output::from_arguments(&mut arguments)?;
  reject_unused(arguments)?;
  let state = fetch(api, "/v1/state").await?;
  let path = &state["path"];
  if output == Output::Json {
    println!("{path:#}");
    return Ok(());
  }
  println!(
    "leaving {}, {} flows, {} requests",
    path["leaving"], path["flows"], path["requests"]
  );
  Ok(())
}
