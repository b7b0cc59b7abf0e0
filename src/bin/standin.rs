//! `fallwell-standin`: runs one stand-in for a part of the environment, for tests and benchmarks.

use {
  fallwell::{
    code::{Code, Fault},
    process,
    standin::{Fabric, Front, Platform, Relay, Upstream},
  },
  pico_args::Arguments,
  std::{net::SocketAddr, process::ExitCode},
};

const HELP: &str = "\
usage: fallwell-standin platform --listen ADDRESS
       fallwell-standin relay --listen ADDRESS --to ADDRESS
       fallwell-standin upstream --listen ADDRESS --name NAME [--slowness N]
       fallwell-standin fabric --listen ADDRESS [--seed N] --front ADDRESS=BACK[,BACK]...
";

fn main() -> ExitCode {
  process::finish("fallwell-standin", run())
}

fn run() -> Result<(), Fault> {
  let mut arguments = Arguments::from_env();
  if arguments.contains(["-h", "--help"]) {
    print!("{HELP}");
    return Ok(());
  }
  let invalid = |error: pico_args::Error| Fault::new(Code::ArgumentInvalid, error);
  let verb = arguments.subcommand().map_err(invalid)?;
  let listen: SocketAddr = arguments.value_from_str("--listen").map_err(invalid)?;
  let runtime = tokio::runtime::Builder::new_multi_thread()
    .worker_threads(2)
    .enable_all()
    .build()
    .map_err(|error| Fault::new(Code::ChildFailed, error))?;
  match verb.as_deref() {
    Some("fabric") => {
      let seed = arguments.opt_value_from_str("--seed").map_err(invalid)?;
      let fronts = arguments
        .values_from_fn("--front", |text| {
          parse_front(text).ok_or("expected ADDRESS=BACK[,BACK]...")
        })
        .map_err(invalid)?;
      runtime.block_on(Fabric::run(listen, fronts, seed.unwrap_or(1)))
    }
    Some("platform") => runtime.block_on(Platform::run(listen)),
    Some("relay") => {
      let to = arguments.value_from_str("--to").map_err(invalid)?;
      Relay::run(listen, to)
    }
    Some("upstream") => {
      let name = arguments.value_from_str("--name").map_err(invalid)?;
      let slowness = arguments
        .opt_value_from_str("--slowness")
        .map_err(invalid)?;
      runtime.block_on(Upstream::run(listen, name, slowness.unwrap_or(1)))
    }
    other => Err(Fault::new(
      Code::ArgumentInvalid,
      format!("found `{}`, expected a verb", other.unwrap_or_default()),
    )),
  }
}

fn parse_front(text: &str) -> Option<Front> {
  let (listen, backs) = text.split_once('=')?;
  let backs = backs.split(',').map(str::parse).collect::<Result<_, _>>();
  Some(Front {
    backs: backs.ok()?,
    listen: listen.parse().ok()?,
  })
}
