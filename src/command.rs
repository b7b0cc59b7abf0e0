//! The command line of `fallwell`, with one module per verb.

mod check;
mod demand;
mod drain_status;
mod get;
mod output;
mod probe;
mod wait;
mod watch;

pub use demand::Demand;

use {
  crate::{
    code::{Code, Fault},
    peer::Client,
    web,
  },
  http::Method,
  pico_args::Arguments,
  serde_json::Value,
  std::{net::SocketAddr, time::Duration},
};

const HELP: &str = "\
usage: fallwell VERB [OPTIONS]

  check         validate documents and settings
  describe      show the configuration and conditions of one service
  drain-status  show the remaining flows and requests of a draining target
  dump          print the state of a process as JSON
  get           list the services
  probe         open flows, send requests, and report broken flows and latencies
  wait          wait until a configuration is in force everywhere
  watch         list the services after each change

`fallwell VERB --help` shows the options of a verb. Exit codes: 0 success, 1 failure, 2 an argument,
a document or settings are not valid, 3 a wait has timed out.
";

const DUMP_HELP: &str = "\
usage: fallwell dump (--api ADDRESS | --control ADDRESS)

  --api ADDRESS      the resource API of the process
  --control ADDRESS  the control address of the process, which its peers connect to
";

/// How long one request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the verb in the program's arguments.
pub fn run() -> Result<(), Fault> {
  let mut arguments = Arguments::from_env();
  let verb = arguments.subcommand().map_err(invalid_argument)?;
  let help = arguments.contains(["-h", "--help"]);
  let runtime = tokio::runtime::Builder::new_multi_thread()
    .worker_threads(2)
    .enable_all()
    .build()
    .map_err(|error| Fault::new(Code::ChildFailed, error))?;
  let verb = verb.unwrap_or_default();
  if help || verb.is_empty() {
    return show_help(&verb);
  }
  match verb.as_str() {
    "check" => check::run(arguments),
    "describe" => runtime.block_on(get::describe(arguments)),
    "drain-status" => runtime.block_on(drain_status::run(arguments)),
    "dump" => runtime.block_on(dump(arguments)),
    "get" => runtime.block_on(get::run(arguments)),
    "probe" => runtime.block_on(probe::run(arguments)),
    "wait" => runtime.block_on(wait::run(arguments)),
    "watch" => runtime.block_on(watch::run(arguments)),
    _ => Err(unknown_verb(&verb)),
  }
}

fn show_help(verb: &str) -> Result<(), Fault> {
  let help = match verb {
    "" => HELP,
    "check" => check::HELP,
    "describe" => get::DESCRIBE_HELP,
    "drain-status" => drain_status::HELP,
    "dump" => DUMP_HELP,
    "get" => get::HELP,
    "probe" => probe::HELP,
    "wait" => wait::HELP,
    "watch" => watch::HELP,
    _ => return Err(unknown_verb(verb)),
  };
  print!("{help}");
  Ok(())
}

async fn dump(mut arguments: Arguments) -> Result<(), Fault> {
  let api: Option<SocketAddr> = arguments
    .opt_value_from_str("--api")
    .map_err(invalid_argument)?;
  let control = arguments
    .opt_value_from_str("--control")
    .map_err(invalid_argument)?;
  reject_unused(arguments)?;
  let text = match (api, control) {
    (Some(api), None) => fetch(api, "/v1/state").await?.to_string(),
    (None, Some(control)) => Client::new(None).dump(control).await?,
    _ => {
      return Err(Fault::new(
        Code::ArgumentInvalid,
        "expected one of `--api` and `--control`",
      ));
    }
  };
  println!("{text}");
  Ok(())
}

/// Fetches JSON from the resource API of a process; a failure has the result code of its response.
async fn fetch(api: SocketAddr, path: &str) -> Result<Value, Fault> {
  let (status, body) = web::request(api, Method::GET, path, "", REQUEST_TIMEOUT).await?;
  let value: Value = serde_json::from_slice(&body)
    .map_err(|error| Fault::new(Code::PeerUnreachable, format!("{api}: {error}")))?;
  if status.is_success() {
    return Ok(value);
  }
  let code = value["code"].as_u64().unwrap_or_default() as u16;
  let code = Code::from_number(code).unwrap_or(Code::PeerUnreachable);
  let detail = value["detail"].as_str().unwrap_or_default();
  Err(Fault::new(code, format!("{api}: {detail}")))
}

/// Fails if there are arguments that no option has consumed.
fn reject_unused(arguments: Arguments) -> Result<(), Fault> {
  match arguments.finish().first() {
    Some(unused) => Err(Fault::new(
      Code::ArgumentInvalid,
      format!(
        "found `{}`, expected an option that `--help` lists",
        unused.display()
      ),
    )),
    None => Ok(()),
  }
}

fn invalid_argument(error: pico_args::Error) -> Fault {
  Fault::new(Code::ArgumentInvalid, error)
}

fn unknown_verb(verb: &str) -> Fault {
  Fault::new(
    Code::ArgumentInvalid,
    format!("found verb `{verb}`, expected one that `fallwell --help` lists"),
  )
}
