use {
  super::{ask, finish, invalid, output::Output},
  crate::code::Fault,
  pico_args::Arguments,
  serde_json::Value,
  std::net::SocketAddr,
};

/// The help of `get`.
pub const HELP: &str = "\
usage: fallwell get --api ADDRESS [--output json|table]

Lists the services that a balancer or an agent has in force.

  --api ADDRESS         the resource API of a process
  --output json|table   how to write them
";

/// The help of `describe`.
pub const DESCRIBE_HELP: &str = "\
usage: fallwell describe --api ADDRESS --service ID|NAME

Shows one service as JSON: its document, its conditions, and the reason of a refusal.
";

/// Lists the services.
pub async fn run(mut arguments: Arguments) -> Result<(), Fault> {
  let api: SocketAddr = arguments.value_from_str("--api").map_err(invalid)?;
  let output = Output::take(&mut arguments)?;
  finish(arguments)?;
  let services = ask(api, "/v1/services").await?;
  show(&services, output);
  Ok(())
}

/// Shows one service.
pub async fn describe(mut arguments: Arguments) -> Result<(), Fault> {
  let api: SocketAddr = arguments.value_from_str("--api").map_err(invalid)?;
  let service: String = arguments.value_from_str("--service").map_err(invalid)?;
  finish(arguments)?;
  let resource = ask(api, &format!("/v1/services/{service}")).await?;
  println!("{resource:#}");
  Ok(())
}

/// Writes a list of services.
pub fn show(services: &Value, output: Output) {
  if output == Output::Json {
    println!("{services:#}");
    return;
  }
  println!(
    "{:>6} {:>10} {:>8} {:>8} {:>8} {:>8}  name",
    "id", "generation", "revision", "accepted", "in force", "targets"
  );
  for service in services.as_array().into_iter().flatten() {
    let document = &service["document"];
    println!(
      "{:>6} {:>10} {:>8} {:>8} {:>8} {:>8}  {}",
      text(&service["id"]),
      text(&service["generation"]),
      text(&service["revision"]),
      service["conditions"]["accepted"]["status"],
      service["conditions"]["in_force"]["status"],
      document["targets"].as_array().map_or(0, Vec::len),
      document["name"].as_str().unwrap_or_default(),
    );
  }
}

/// A value in a table; datagram services have a name and no id.
fn text(value: &Value) -> String {
  match value {
    Value::Null => "-".into(),
    value => value.to_string(),
  }
}
