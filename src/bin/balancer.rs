//! `fallwell-balancer`: forwards callers' packets to the targets that own their flows.

use {
  fallwell::{balancer, code::Fault, process, settings},
  std::process::ExitCode,
};

const HELP: &str = "\
usage: fallwell-balancer --settings FILE [--check]

Receives callers' packets from the fabric and forwards each to the target that owns its flow.

  --settings FILE   read settings from FILE; samples/balancer.toml shows them all
  --check           read and check the settings, and exit
";

fn main() -> ExitCode {
  process::finish("fallwell-balancer", run())
}

fn run() -> Result<(), Fault> {
  match process::load_settings(HELP, settings::Balancer::check)? {
    Some(settings) => balancer::run(&settings),
    None => Ok(()),
  }
}
