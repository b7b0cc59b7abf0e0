use {
  super::{ask, finish, invalid, output::Output},
  crate::code::Fault,
  pico_args::Arguments,
  std::net::SocketAddr,
};

/// The help of the verb.
pub const HELP: &str = "\
usage: fallwell drain-status --api ADDRESS [--output json|table]

Shows what a target's agent still holds: once it leaves, both numbers fall to zero as its callers
move.

  --api ADDRESS   the resource API of the agent
";

/// Shows what an agent still holds.
pub async fn run(mut arguments: Arguments) -> Result<(), Fault> {
  let api: SocketAddr = arguments.value_from_str("--api").map_err(invalid)?;
  let output = Output::take(&mut arguments)?;
  finish(arguments)?;
  let state = ask(api, "/v1/state").await?;
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
