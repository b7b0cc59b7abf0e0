use {
  super::{Demand, fetch, invalid_argument, output::Output, reject_unused},
  crate::code::Fault,
  pico_args::Arguments,
  serde_json::Value,
  std::net::SocketAddr,
};

/// The help text of `get`.
pub const HELP: &str = "\
usage: fallwell get --api ADDRESS [--output json|table]

Lists the services in the configuration of a balancer or an agent, and the datagram flows that wait
there for a target, by service and priority.

  --api ADDRESS         the resource API of a process
  --output json|table   the output format (table)
";

/// The help text of `describe`.
pub const DESCRIBE_HELP: &str = "\
usage: fallwell describe --api ADDRESS --service ID|NAME

Shows one service as JSON: its document, its conditions, and why a document was refused. For each
class of datagram flows that wait for it, a line under `waiting` says how many and why.
";

/// Prints the services of a process.
pub async fn run(mut arguments: Arguments) -> Result<(), Fault> {
  let api: SocketAddr = arguments
    .value_from_str("--api")
    .map_err(invalid_argument)?;
  let output = Output::from_arguments(&mut arguments)?;
  reject_unused(arguments)?;
  let services = fetch(api, "/v1/services").await?;
  print_services(&services, output);
  if output == Output::Table {
    for class in fetch_demand(api).await {
      println!("{class}");
    }
  }
  Ok(())
}

/// Prints one service as JSON.
pub async fn describe(mut arguments: Arguments) -> Result<(), Fault> {
  let api: SocketAddr = arguments
    .value_from_str("--api")
    .map_err(invalid_argument)?;
  let service: String = arguments
    .value_from_str("--service")
    .map_err(invalid_argument)?;
  reject_unused(arguments)?;
  let mut resource = fetch(api, &format!("/v1/services/{service}")).await?;
  let waiting = fetch_demand(api).await.into_iter();
  let waiting = waiting.filter(|class| resource["document"]["name"] == *class.service);
  let lines = waiting.map(|class| class.to_string()).collect::<Vec<_>>();
  if !lines.is_empty() {
    resource["waiting"] = lines.into();
  }
  println!("{resource:#}");
  Ok(())
}

/// Fetches which flows wait at a process. A process too busy to show its state still shows its
/// services, so that its failure is only reported.
async fn fetch_demand(api: SocketAddr) -> Vec<Demand> {
  match fetch(api, "/v1/state").await {
    Ok(state) => Demand::of_state(&state),
    Err(fault) => {
      eprintln!("fallwell: state is not shown: {fault}");
      Vec::new()
    }
  }
}

/// Prints a list of services in the output format.
pub fn print_services(services: &Value, output: Output) {
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
      table_cell(&service["id"]),
      table_cell(&service["generation"]),
      table_cell(&service["revision"]),
      service["conditions"]["accepted"]["status"],
      service["conditions"]["in_force"]["status"],
      document["targets"].as_array().map_or(0, Vec::len),
      document["name"].as_str().unwrap_or_default(),
    );
  }
}

/// Formats a value for a table; datagram services have no id.
fn table_cell(value: &Value) -> String {
  match value {
    Value::Null => "-".into(),
    value => value.to_string(),
  }
}
