//! `fallwell-agent`: runs on the same instance as an upstream and terminates its flows.

use {
  fallwell::{agent, code::Fault, process, settings},
  std::process::ExitCode,
};

const HELP: &str = "\
usage: fallwell-agent --settings FILE [--check]

Runs on the same instance as an upstream, terminates callers' flows, and forwards their requests to
the upstream. On SIGHUP it reloads its certificate. On SIGTERM it drains: it accepts no new flows,
and exits once its callers have moved to other targets, or when the time to drain is over.

  --settings FILE   read settings from FILE; samples/agent.toml shows them all
  --check           read and check the settings, and exit
";

fn main() -> ExitCode {
  process::finish("fallwell-agent", run())
}

fn run() -> Result<(), Fault> {
  match process::load_settings(HELP, settings::Agent::check)? {
    Some(settings) => agent::run(&settings),
    None => Ok(()),
  }
}
