//! `fallwell-balancer`: takes callers' packets from the fabric to the targets.

use {
  fallwell::{balancer, code::Fault, process, settings},
  std::process::ExitCode,
};

const HELP: &str = "\
usage: fallwell-balancer --settings FILE [--check]

Takes callers' packets from the fabric and hands each to the target that has its flow.

  --settings FILE   read settings from FILE; samples/balancer.toml shows them all
  --check           read and check the settings, and stop
";

fn main() -> ExitCode {
  process::finish("fallwell-balancer", run())
}

fn run() -> Result<(), Fault> {
  match process::start(HELP, settings::Balancer::check)? {
    Some(settings) => balancer::run(&settings),
    None => Ok(()),
  }
}
