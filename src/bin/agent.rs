//! `fallwell-agent`: stands beside an upstream and owns its flows.

use {
  fallwell::{agent, code::Fault, process, settings},
  std::process::ExitCode,
};

const HELP: &str = "\
usage: fallwell-agent --settings FILE [--check]

Stands beside an upstream and owns its flows and requests. On SIGHUP it reads its certificate
again; on SIGTERM it takes nothing new and ends once its flows have moved.

  --settings FILE   read settings from FILE; samples/agent.toml shows them all
  --check           read and check the settings, and stop
";

fn main() -> ExitCode {
  process::finish("fallwell-agent", run())
}

fn run() -> Result<(), Fault> {
  match process::start(HELP, settings::Agent::check)? {
    Some(settings) => agent::run(&settings),
    None => Ok(()),
  }
}
